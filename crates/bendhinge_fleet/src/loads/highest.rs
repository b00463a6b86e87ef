//! Encoding of the highest loads of a long upstream list.
//!
//! With thousands of upstreams most are nearly idle. Sharing only the highest loads bounds the size of a
//! message.

use bendhinge_ids::{Instant, NameHash};

use super::{
    LatestReport, Loads, NO_REPORT, PACKED_AGE_UNIT, UpstreamLoad, pack_age, pack_load, truncate_to_highest,
};
use crate::update_log::UpdateSource;

/// Maximum number of loads in a message.
const MAX_HIGHEST: usize = 256;
/// Encoded size of a load: two bytes of list index, one of load and one of age.
const ENTRY_BYTES: usize = 4;

/// Highest loads of a list that sender and receiver both hold, by list index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PackedHighLoads(pub Vec<u8>);

impl PackedHighLoads {
    /// Returns the number of encoded loads.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.0.len() / ENTRY_BYTES
    }
}

impl Loads {
    /// Encodes the highest recent loads for `receiver`, which holds the same list of `upstreams`.
    /// Reports that came from `receiver` are left out.
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

    /// Records the loads received from a peer that holds the same list of `upstreams`. Their ages count
    /// from `as_of`.
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
