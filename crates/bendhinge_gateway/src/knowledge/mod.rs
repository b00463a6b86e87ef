//! What this gateway believes, each belief with its own narrow interface.

mod peers;
mod rules;
mod upstreams;

pub(crate) use peers::{learned_from, observed_read, router_hash};
pub(crate) use rules::{RulesInForce, RulesKeeper};
pub(crate) use upstreams::{Chosen, PlacementQuestion, UpstreamView};
