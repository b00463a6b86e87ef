//! What this gateway tells its peers of upstreams, and what it takes from what they tell.

use std::net::SocketAddr;
use std::sync::Arc;

use bendhinge_fleet::{
    ListDelta, ListLoads, ListUpdate, SuspectChange, UpdateBatch, UpdateSource, UpstreamEntry, UpstreamList,
    UpstreamLoad, Version,
};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_peer::{CachedPartsPage, ObservedCachedPart, ObservedFailureEvidence, ObservedLoad};
use bendhinge_placement::CachedPart;

use super::upstreams::{State, UpstreamView};

impl UpstreamView {
    /// What to tell the gateway at `listener` of upstreams that failed lately.
    pub(crate) fn doubts_to_tell(&self, listener: SocketAddr, now: Instant) -> Vec<ObservedFailureEvidence> {
        let state = self.state.lock().unwrap();
        let doubts = state.evidence.changes_for(learned_from(listener), now);
        doubts.map(|(upstream, doubt)| ObservedFailureEvidence::new(upstream, doubt, now)).collect()
    }

    /// Takes in what the gateway at `from` knows of upstreams that failed, as of `as_of`; gives those that
    /// rest because of it.
    pub(crate) fn hear_doubts(
        &self,
        doubts: &[ObservedFailureEvidence],
        from: SocketAddr,
        as_of: Instant,
    ) -> Vec<Arc<UpstreamEntry>> {
        let (now, from) = (bendhinge_clock::now(), learned_from(from));
        let mut state = self.state.lock().unwrap();
        let State { directory, judge, evidence, .. } = &mut *state;
        let mut resting = Vec::new();
        for heard in doubts.iter().filter(|heard| directory.contains(heard.upstream)) {
            match evidence.merge(heard.upstream, &heard.to_evidence(as_of), from, now) {
                SuspectChange::Cleared => judge.clear_suspect(heard.upstream),
                SuspectChange::Suspected if judge.eject_suspect(heard.upstream, now) => {
                    let listed = directory.get(heard.upstream);
                    resting.extend(listed.map(|listed| Arc::clone(&listed.entry)));
                }
                SuspectChange::Unchanged | SuspectChange::Suspected => {}
            }
        }
        resting
    }

    /// What to tell others of loads, whatever list they hold.
    pub(crate) fn loads_to_tell(&self, now: Instant) -> Vec<ObservedLoad> {
        let state = self.state.lock().unwrap();
        let told = state.loads.recent_reports(now).into_iter().map(|said| ObservedLoad {
            upstream: said.upstream,
            in_progress: u16::try_from(said.in_progress).unwrap_or(u16::MAX),
            age: now.since(said.reported_at),
        });
        told.collect()
    }

    /// What to tell the gateway at `listener` of loads, which holds the same list.
    pub(crate) fn list_loads_to_tell(&self, listener: SocketAddr, now: Instant) -> Option<ListLoads> {
        let state = self.state.lock().unwrap();
        let list = state.belief.value()?;
        Some(state.loads.pack_for(learned_from(listener), list, now))
    }

    /// Takes in what the gateway at `from` heard of loads, its ages counted from `as_of`.
    pub(crate) fn hear_loads(&self, loads: &[ObservedLoad], from: SocketAddr, as_of: Instant) {
        let from = learned_from(from);
        let mut state = self.state.lock().unwrap();
        for load in loads {
            let at = as_of - load.age;
            let said = UpstreamLoad {
                upstream: load.upstream,
                in_progress: load.in_progress.into(),
                reported_at: at,
            };
            state.loads.record(said, from);
        }
    }

    /// The same, of the upstreams of the list that is held as `version`; nothing is taken if it is not.
    pub(crate) fn hear_list_loads(
        &self,
        told: &ListLoads,
        version: Version,
        from: SocketAddr,
        as_of: Instant,
    ) {
        let mut state = self.state.lock().unwrap();
        let State { belief, loads, .. } = &mut *state;
        let Some(held) = belief.current().filter(|held| held.version.digest == version.digest) else {
            return;
        };
        loads.apply(told, &held.value, learned_from(from), as_of);
    }

    /// What to tell the gateway at `listener` of parts that upstreams read, which was told up to the number
    /// `told`.
    pub(crate) fn reads_to_tell(
        &self,
        listener: SocketAddr,
        told: Option<u64>,
        now: Instant,
    ) -> UpdateBatch<CachedPart> {
        self.state.lock().unwrap().news.since(told, learned_from(listener), now)
    }

    /// A part of all that upstreams are believed to have read.
    pub(crate) fn all_reads(&self, page: CachedPartsPage, now: Instant) -> Vec<ObservedCachedPart> {
        let state = self.state.lock().unwrap();
        let on_page = state.kept.iter_entries().filter(|kept| page.contains(kept.part));
        on_page.map(|kept| observed_read(kept, now)).collect()
    }

    /// Takes in what others told at once, or an upstream listed: it is not told of again.
    pub(crate) fn recover_reads(&self, reads: &[ObservedCachedPart]) {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        for read in reads {
            state.kept.record(kept_part(read, now));
        }
    }

    /// Takes in which parts upstreams read, as the gateway at `from` told in an exchange that
    /// began at `asked`.
    pub(crate) fn hear_reads(&self, reads: &[ObservedCachedPart], from: SocketAddr, asked: Instant) {
        let (now, from) = (bendhinge_clock::now(), learned_from(from));
        let mut state = self.state.lock().unwrap();
        for read in reads {
            let kept = kept_part(read, asked);
            if state.kept.record(kept) {
                state.news.push(kept, from, now);
            }
        }
    }

    /// The list that is held, as it is told to a peer that holds the one whose digest is `base`.
    pub(crate) fn list_to_tell(&self, base: Option<u64>) -> Option<ListUpdate> {
        let state = self.state.lock().unwrap();
        let list = state.belief.value()?;
        Some(state.history.update_for(list, base))
    }

    /// A list that was held lately, by its digest.
    pub(crate) fn held_lately(&self, digest: u64) -> Option<Arc<UpstreamList>> {
        self.state.lock().unwrap().history.get(digest).cloned()
    }

    /// The list that is held with `changes` made, if it is the one whose digest is `base`.
    pub(crate) fn list_with(&self, base: u64, changes: &ListDelta) -> Option<UpstreamList> {
        let state = self.state.lock().unwrap();
        let held = state.belief.current().filter(|held| held.version.digest == base)?;
        Some(held.value.apply(changes))
    }
}

/// The gateway at `address` as one from whom something is learned.
pub(crate) fn learned_from(address: SocketAddr) -> UpdateSource {
    UpdateSource::Router(router_hash(address))
}

pub(crate) fn router_hash(address: SocketAddr) -> NameHash {
    NameHash::of(&address.to_string())
}

/// What a read whose age counts from `as_of` says.
fn kept_part(read: &ObservedCachedPart, as_of: Instant) -> CachedPart {
    CachedPart { part: read.part, upstream: read.upstream, last_used: as_of - read.age }
}

pub(crate) fn observed_read(kept: CachedPart, now: Instant) -> ObservedCachedPart {
    ObservedCachedPart { part: kept.part, upstream: kept.upstream, age: now.since(kept.last_used) }
}
