//! How many requests are believed to be at each upstream.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

/// After this time what an upstream said of others' requests counts for nothing.
const REPORT_FADES_AFTER: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// This gateway's requests there.
    own: u32,
    /// All requests there as it said, and when.
    said: Option<(u32, Instant)>,
    /// Others' requests there, as it said then.
    others: u32,
}

/// The loads of all upstreams.
#[derive(Debug, Default)]
pub(super) struct Loads(FxHashMap<NameHash, Load>);

/// What an upstream said of its load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Said {
    pub(super) upstream: NameHash,
    pub(super) in_progress: u32,
    pub(super) at: Instant,
}

impl Loads {
    pub(super) fn began(&mut self, upstream: NameHash) {
        self.0.entry(upstream).or_default().own += 1;
    }

    pub(super) fn ended(&mut self, upstream: NameHash) {
        if let Some(load) = self.0.get_mut(&upstream) {
            load.own = load.own.saturating_sub(1);
        }
    }

    /// Takes in what an upstream said, to this gateway or to another.
    pub(super) fn learn(&mut self, said: Said) {
        let load = self.0.entry(said.upstream).or_default();
        if load.said.is_none_or(|(_, at)| said.at > at) {
            load.said = Some((said.in_progress, said.at));
            load.others = said.in_progress.saturating_sub(load.own);
        }
    }

    /// Requests believed to be at an upstream now. What it said of others' requests fades into
    /// `mean`, what the others have at an upstream of its pool on average.
    pub(super) fn estimate(&self, upstream: NameHash, mean: f32, now: Instant) -> f32 {
        let load = self.0.get(&upstream).copied().unwrap_or_default();
        let faded = load
            .said
            .map_or(1.0, |(_, at)| (now.since(at).as_secs_f32() / REPORT_FADES_AFTER.as_secs_f32()).min(1.0));
        load.own as f32 + load.others as f32 * (1.0 - faded) + mean * faded
    }

    /// What the others have at an upstream on average, by what upstreams said lately.
    pub(super) fn mean_of_others(&self, upstreams: impl Iterator<Item = NameHash>, now: Instant) -> f32 {
        let loads = upstreams.filter_map(|upstream| self.0.get(&upstream));
        let lately = loads.filter(|load| load.said.is_some_and(|(_, at)| now.since(at) < REPORT_FADES_AFTER));
        let (count, total) =
            lately.fold((0_u32, 0_u32), |(count, total), load| (count + 1, total + load.others));
        total as f32 / count.max(1) as f32
    }

    /// What upstreams said within the last `span`.
    pub(super) fn said_within(&self, span: Duration, now: Instant) -> impl Iterator<Item = Said> {
        self.0.iter().filter_map(move |(upstream, load)| {
            let (in_progress, at) = load.said?;
            (now.since(at) < span).then_some(Said { upstream: *upstream, in_progress, at })
        })
    }

    pub(super) fn keep_only(&mut self, listed: impl Fn(NameHash) -> bool) {
        self.0.retain(|upstream, load| load.own > 0 || listed(*upstream));
    }
}
