//! What this gateway believes, each belief with its own narrow interface.

mod rules;
mod upstreams;

pub(crate) use rules::{RulesInForce, RulesKeeper};
pub(crate) use upstreams::{Chosen, PlacementQuestion, UpstreamView, observed_read};
