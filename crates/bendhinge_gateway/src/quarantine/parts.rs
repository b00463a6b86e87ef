//! Prompt parts under which upstreams crashed.

use std::net::SocketAddr;

use bendhinge_fleet::{Origin, PartCrash, ResponseEffect};
use bendhinge_ids::{Instant, NameHash, PartDigest};
use bendhinge_peer::ObservedPartHistory;

use super::{CrashedSend, REPORTING_THRESHOLD, SharedQuarantine};
use crate::state::update_source;

impl SharedQuarantine {
    /// Records that an upstream crashed while it processed a request, against the parts of its prompt.
    pub(super) fn record_part_crashes(&self, send: &CrashedSend<'_>) {
        let CrashedSend { upstream, .. } = *send;
        let crash = PartCrash {
            upstream: upstream.hash,
            software: upstream.software,
            request: NameHash(send.request.lower_half()),
            sent_at: send.sent_at,
            at: send.lost_at,
        };
        let now = bendhinge_clock::now();
        let mut most_crashes = None;
        for part in send.parts {
            let mut state = self.state.lock().unwrap();
            let is_new = state.parts.record_crash(*part, send.pool, crash, now);
            let evidence = state.parts.evidence_against(*part);
            let is_blamed = state.parts.is_blamed(*part, now);
            drop(state);
            if !is_new {
                continue;
            }
            most_crashes = most_crashes.max(Some(evidence.consecutive_crashes));
            if evidence.consecutive_crashes >= REPORTING_THRESHOLD {
                self.log.upstream_crashed_under_part(
                    send.request_id,
                    *part,
                    &upstream.name,
                    evidence,
                    is_blamed,
                );
            }
        }
        if let Some(crashes) = most_crashes {
            self.state.lock().unwrap().update_attributed_crashes();
            self.notify(Origin::Store, crashes);
        }
    }

    /// Records a complete successful response of `pool` to a request with `parts`.
    pub(crate) fn record_response_with_parts(&self, parts: &[PartDigest], pool: NameHash) {
        let mut state = self.state.lock().unwrap();
        let crashes = |part: &PartDigest| state.parts.evidence_against(*part).consecutive_crashes;
        let previous_crashes = parts.iter().map(crashes).max().unwrap_or_default();
        let effect = state.parts.record_response(parts, pool, bendhinge_clock::now());
        let ResponseEffect { cleared, is_enough } = effect;
        if cleared.is_empty() && !is_enough {
            return;
        }
        state.update_attributed_crashes();
        drop(state);
        if is_enough {
            self.notify(Origin::Store, REPORTING_THRESHOLD);
        }
        if previous_crashes >= REPORTING_THRESHOLD {
            for part in cleared {
                self.log.part_suspicion_cleared(part, "answered");
            }
        }
        self.notify(Origin::Store, previous_crashes);
    }

    /// Clears the crashes of prompt parts that an operator released.
    pub(crate) fn release_parts(&self, parts: &[PartDigest]) {
        for part in parts {
            let mut state = self.state.lock().unwrap();
            let was_cleared = state.parts.release(*part, bendhinge_clock::now());
            state.update_attributed_crashes();
            drop(state);
            if was_cleared {
                self.log.part_suspicion_cleared(*part, "released");
                self.notify(Origin::Store, REPORTING_THRESHOLD);
            }
        }
    }

    /// Merges the crash histories of prompt parts that the gateway at `from` reported; their ages are relative to `as_of`.
    pub(crate) fn merge_reported_parts(
        &self,
        histories: &[ObservedPartHistory],
        from: SocketAddr,
        as_of: Instant,
    ) {
        let now = bendhinge_clock::now();
        let mut max_crashes = None;
        for reported in histories {
            let mut state = self.state.lock().unwrap();
            let previous = state.parts.evidence_against(reported.part).consecutive_crashes;
            let history = reported.to_history(as_of);
            let is_changed = state.parts.merge(reported.part, &history, update_source(from), now);
            let evidence = state.parts.evidence_against(reported.part);
            let is_blamed = state.parts.is_blamed(reported.part, now);
            drop(state);
            let crashes = evidence.consecutive_crashes;
            if is_changed {
                max_crashes = max_crashes.max(Some(crashes.max(previous)));
            }
            if crashes != previous && crashes.max(previous) >= REPORTING_THRESHOLD {
                self.log.part_suspicion_received(reported.part, evidence, is_blamed, from);
            }
        }
        if let Some(crashes) = max_crashes {
            self.state.lock().unwrap().update_attributed_crashes();
            self.notify(Origin::Peer, crashes);
        }
    }

    /// The same as [`Self::histories_to_sync`] for prompt parts.
    pub(crate) fn part_histories_to_sync(
        &self,
        remote_digest: u64,
        now: Instant,
    ) -> Vec<ObservedPartHistory> {
        let state = self.state.lock().unwrap();
        let is_different = remote_digest != state.parts.digest();
        let histories = state.parts.synced_histories().filter(|_| is_different);
        histories.map(|(part, history)| ObservedPartHistory::new(part, &history, now)).collect()
    }

    /// Returns a digest that is equal for gateways with equal crash histories of prompt parts.
    pub(crate) fn part_digest(&self) -> u64 {
        self.state.lock().unwrap().parts.digest()
    }
}
