//! One whole version of the serving rules.

use std::time::Duration;

use bendhinge_ids::PoolName;
use rustc_hash::FxHashMap;

use crate::{CustomerTable, RouteTable};

/// What is known of a pool beside its members.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolRule {
    /// Connections that one member takes from all callers together.
    pub connections: Option<u32>,
    /// Requests that one member works on at once, where it says so.
    pub slots: Option<u32>,
    /// Whether members keep what they have read of prompts.
    pub keeps_prompts: bool,
    /// Whether one member can take what it keeps from another.
    pub moves_prompts: bool,
    /// Tokens that one member can keep.
    pub kept_tokens: u64,
    /// Requests a second that one member bears while it warms up, where there is such a limit.
    pub warming_rate: Option<f32>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// How long a request may take to arrive.
    pub arrival: Duration,
    /// How long a connection may stand idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { body_bytes: 4 << 20, arrival: Duration::from_secs(5), idle: Duration::from_secs(15) }
    }
}

/// One whole version.
#[derive(Clone, Debug, Default)]
pub struct ServingRules {
    /// Its number; a later version has a higher one.
    pub version: u64,
    /// Where requests go.
    pub routes: RouteTable,
    /// What is known of the pools.
    pub pools: FxHashMap<PoolName, PoolRule>,
    /// Who may call.
    pub customers: CustomerTable,
    /// What callers may send.
    pub limits: CallerLimits,
}
