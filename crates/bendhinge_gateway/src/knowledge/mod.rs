//! What this gateway believes, each belief with its own narrow interface.

mod rules;
mod telling;
mod upstreams;

pub(crate) use rules::{RulesInForce, RulesKeeper};
pub(crate) use telling::observed_read;
pub(crate) use upstreams::{Chosen, PlacementQuestion, UpstreamView};
