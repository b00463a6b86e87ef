//! The cost of the work at an upstream: what a request waits for there, and how much its own prompt delays
//! the requests that run.

use crate::{CandidateWork, CostModel};

/// Returns the cost, in tokens, of sending a request with `unread_tokens` to process to an upstream with
/// this work.
pub(crate) fn work_cost(model: &CostModel, work: &CandidateWork, unread_tokens: f32) -> f32 {
    let wait = work.pending_tokens * work.pace * model.wait_factor;
    let slow_read = unread_tokens * (work.pace - 1.0);
    let slowdown = unread_tokens * work.running * work.pace * model.slowdown_factor;
    wait + slow_read + slowdown
}
