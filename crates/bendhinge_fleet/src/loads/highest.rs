//! The highest loads alone, where there are so many upstreams that most have nothing to tell.
//!
//! With two bytes for each, a message grows with the upstreams. Of thousands, a router meets few; what it has to know is
//! which have much.

use bendhinge_ids::{Instant, NameHash};

use super::{
    LatestReport, Loads, NO_REPORT, PACKED_AGE_UNIT, UpstreamLoad, pack_age, pack_load, truncate_to_highest,
};
use crate::update_log::UpdateSource;

/// So many are told: a kilobyte a message.
const MAX_HIGHEST: usize = 256;
/// The bytes of one: its place in the list, its load and its age.
const ENTRY_BYTES: usize = 4;

/// The highest loads of the upstreams of a list that both ends hold, by their places in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PackedHighLoads(pub Vec<u8>);

impl PackedHighLoads {
    /// How many are told.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.0.len() / ENTRY_BYTES
    }
}

impl Loads {
    /// The highest loads that upstreams said lately, for telling `listener`, who holds the same list of `upstreams`:
    /// of those but what it told itself.
    pub fn pack_highest_for(
        &self,
        receiver: UpdateSource,
        upstreams: impl Iterator<Item = NameHash>,
        now: Instant,
    ) -> PackedHighLoads {
        let reports = (0..=u16::MAX).zip(upstreams).filter_map(|(index, upstream)| {
            let report = self.upstreams.get(&upstream)?.report?;
            report.is_shared_with(receiver, now).then_some((index, report))
        });
        let mut highest: Vec<(u16, LatestReport)> = reports.collect();
        truncate_to_highest(&mut highest, MAX_HIGHEST, |(_, report)| {
            (report.in_progress, report.reported_at)
        });
        highest.sort_unstable_by_key(|(index, _)| *index);
        let shared = highest.iter().flat_map(|(index, report)| {
            let [high, low] = index.to_be_bytes();
            [high, low, pack_load(report.in_progress), pack_age(now.since(report.reported_at))]
        });
        PackedHighLoads(shared.collect())
    }

    /// Takes in what a router that holds the same list of `upstreams` told, its ages counted from `as_of`.
    pub fn apply_highest(
        &mut self,
        shared: &PackedHighLoads,
        upstreams: impl Fn(usize) -> Option<NameHash>,
        source: UpdateSource,
        as_of: Instant,
    ) {
        let (entries, _) = shared.0.as_chunks::<ENTRY_BYTES>();
        for [high, low, load, age] in entries {
            let index = u16::from_be_bytes([*high, *low]);
            let Some(upstream) = upstreams(index.into()).filter(|_| *load != NO_REPORT) else { continue };
            let reported_at = as_of - PACKED_AGE_UNIT * u32::from(*age);
            self.record(UpstreamLoad { upstream, in_progress: u32::from(*load), reported_at }, source);
        }
    }
}
