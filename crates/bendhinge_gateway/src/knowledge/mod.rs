//! What this gateway believes, each belief with its own narrow interface.

mod peers;
mod rules;
mod upstreams;

pub(crate) use peers::observed_read;
pub(crate) use rules::{RulesInForce, RulesKeeper};
pub(crate) use upstreams::{Chosen, PlacementQuestion, UpstreamView};
