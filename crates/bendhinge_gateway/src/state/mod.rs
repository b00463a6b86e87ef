//! The state that this gateway decides by: its replicas of the serving rules and the upstream list, and its
//! records of upstream health, load and cached prompt parts.

mod candidates;
mod choice;
mod engines;
mod links;
mod list;
mod load_limit;
mod locality;
mod overloads;
mod peers;
mod plain;
mod popular;
mod rules;
mod software;
mod upstreams;

pub(crate) use choice::{ChosenUpstream, PlacementRequest};
pub(crate) use links::LinkState;
pub(crate) use peers::{address_hash, observed_cached_part, update_source};
pub(crate) use plain::RefusedPermit;
pub(crate) use rules::{ActiveRules, RulesReplica};
pub(crate) use software::SoftwareRule;
pub(crate) use upstreams::UpstreamView;
