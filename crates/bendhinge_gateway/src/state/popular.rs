//! Requests in progress with one prompt, from which the number of its homes follows.

use bendhinge_fleet::{Figure, KeyRequests, TotalKey};
use bendhinge_ids::{Instant, NameHash, PoolName};
use bendhinge_placement::Prompt;

use super::upstreams::{State, UpstreamView};

impl UpstreamView {
    /// Returns this gateway's requests in progress with popular prompts, for the totals of the fleet.
    pub(crate) fn key_request_figures(&self) -> Vec<Figure> {
        self.state.lock().unwrap().key_requests.own_figures()
    }

    /// Returns the key by which requests with the prompt are counted, or `None` if a prompt has only one home.
    pub(super) fn counted_key(&self, state: &State, pool: &PoolName, prompt: &Prompt) -> Option<TotalKey> {
        if !self.load_settings.popular_prompts.is_active(state.engines.is_pace_reported) {
            return None;
        }
        Some(KeyRequests::key(NameHash::of(pool.as_str()), prompt.affinity_key()?.0))
    }

    /// Estimates the requests with `key` that all gateways together have in progress.
    pub(super) fn key_requests(&self, state: &State, key: TotalKey, now: Instant) -> f32 {
        let gateways = state.gateway_count.unwrap_or(1);
        self.totals.with(|totals| state.key_requests.estimate(key, totals, gateways, now))
    }
}
