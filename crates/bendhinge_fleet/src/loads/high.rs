//! The highest loads alone, where there are so many upstreams that most have nothing to tell.
//!
//! With two bytes for each, a message grows with the upstreams. Of thousands, a router meets few; what it has to know is
//! which have much.

use bendhinge_ids::{Instant, NameHash};

use super::{LoadSaid, Loads, NOTHING, Report, STATE_AGE, age_state, keep_highest, load_state};
use crate::news::LearnedFrom;

/// So many are told: a kilobyte a message.
const MOST_TOLD: usize = 256;
/// The bytes of one: its place in the list, its load and its age.
const BYTES: usize = 4;

/// The highest loads of the upstreams of a list that both ends hold, by their places in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HighLoads(pub Vec<u8>);

impl HighLoads {
    /// How many are told.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.0.len() / BYTES
    }
}

impl Loads {
    /// The highest loads that upstreams said lately, for telling `listener`, who holds the same list of `upstreams`:
    /// of those but what it told itself.
    pub fn highest_for(
        &self,
        listener: LearnedFrom,
        upstreams: impl Iterator<Item = NameHash>,
        now: Instant,
    ) -> HighLoads {
        let reports = (0..=u16::MAX).zip(upstreams).filter_map(|(place, upstream)| {
            let report = self.upstreams.get(&upstream)?.said?;
            report.is_told_to(listener, now).then_some((place, report))
        });
        let mut highest: Vec<(u16, Report)> = reports.collect();
        keep_highest(&mut highest, MOST_TOLD, |(_, report)| (report.in_progress, report.at));
        highest.sort_unstable_by_key(|(place, _)| *place);
        let told = highest.iter().flat_map(|(place, report)| {
            let [high, low] = place.to_be_bytes();
            [high, low, load_state(report.in_progress), age_state(now.since(report.at))]
        });
        HighLoads(told.collect())
    }

    /// Takes in what a router that holds the same list of `upstreams` told, its ages counted from `as_of`.
    pub fn hear_highest(
        &mut self,
        told: &HighLoads,
        upstreams: impl Fn(usize) -> Option<NameHash>,
        from: LearnedFrom,
        as_of: Instant,
    ) {
        let (entries, _) = told.0.as_chunks::<BYTES>();
        for [high, low, load, age] in entries {
            let place = u16::from_be_bytes([*high, *low]);
            let Some(upstream) = upstreams(place.into()).filter(|_| *load != NOTHING) else { continue };
            let at = as_of - STATE_AGE * u32::from(*age);
            self.learn(LoadSaid { upstream, in_progress: u32::from(*load), at }, from);
        }
    }
}
