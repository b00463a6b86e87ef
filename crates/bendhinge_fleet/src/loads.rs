//! How many requests are believed to be at each upstream.

mod high;

use std::cmp::Reverse;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

pub use self::high::HighLoads;
use crate::directory::UpstreamList;
use crate::news::LearnedFrom;

/// After this time what an upstream said of others' requests counts for nothing in the mean.
const COUNTS_FOR: Duration = Duration::from_secs(4);
/// How long what an upstream said goes on telling of it, in units of the time that its requests take to end from
/// any moment on. Requests come and go, so that a report says ever less; but some upstreams have more than
/// others for as long as they are the homes of much that is asked for.
const OUTLASTS: f32 = 1.5;
/// Requests that last longer are counted as this: one that hangs says nothing of the others.
const LONGEST: f32 = 5.0;
/// Reports older than this are not passed on.
const TOLD_FOR: Duration = Duration::from_millis(2_500);
/// The unit of an age among [`LoadStates`]: the oldest that is passed on takes 250 of them.
const STATE_AGE: Duration = Duration::from_millis(10);
/// A load among [`LoadStates`] of which there is nothing to tell.
const NOTHING: u8 = u8::MAX;

#[derive(Clone, Copy, Debug)]
struct Report {
    in_progress: u32,
    at: Instant,
    from: LearnedFrom,
}

impl Report {
    /// Whether it is told to `listener`: not what it told itself, nor what is old.
    fn is_told_to(&self, listener: LearnedFrom, now: Instant) -> bool {
        self.from != listener && now.since(self.at) < TOLD_FOR
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// This router's requests there.
    own: u32,
    /// All requests there as it said last.
    said: Option<Report>,
    /// Others' requests there, as it said then.
    others: u32,
}

/// What an upstream said of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSaid {
    /// The upstream.
    pub upstream: NameHash,
    /// Requests there, running and waiting.
    pub in_progress: u32,
    /// When it said so.
    pub at: Instant,
}

/// The loads of all upstreams of a list that both ends hold, in its order: first the requests at each in a
/// byte, at most 254, then how old each is. A load takes two bytes so; with the upstream's hash it takes
/// some ten, of which hardly any can be compressed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadStates(pub Vec<u8>);

/// Loads as they are told to one that holds the same list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListLoads {
    /// That of each.
    Each(LoadStates),
    /// The highest, of a long list.
    Highest(HighLoads),
}

/// Lists of more upstreams are told by their highest loads.
const MOST_TOLD_EACH: usize = 512;

/// How long requests last, in seconds, with those of the past fading by each new one.
#[derive(Clone, Copy, Debug)]
struct Lasting {
    sum: f32,
    squares: f32,
}

impl Lasting {
    /// As if requests of two seconds had been seen: one second is left of those at any moment.
    const AT_FIRST: Self = Self { sum: 2.0, squares: 4.0 };
    /// What is left of the past after a request: some hundred count.
    const KEPT: f32 = 0.99;

    fn note(&mut self, lasted: Duration) {
        let lasted = lasted.as_secs_f32().min(LONGEST);
        self.sum = self.sum * Self::KEPT + lasted;
        self.squares = self.squares * Self::KEPT + lasted * lasted;
    }

    /// How long those that are there at any moment go on on average, in seconds: that is more than half of the mean,
    /// since the long ones are met more often.
    fn left(self) -> f32 {
        self.squares / (2.0 * self.sum.max(f32::MIN_POSITIVE))
    }
}

/// The loads of all upstreams.
#[derive(Debug)]
pub struct Loads {
    upstreams: FxHashMap<NameHash, Load>,
    lasting: Lasting,
}

impl Default for Loads {
    fn default() -> Self {
        Self { upstreams: FxHashMap::default(), lasting: Lasting::AT_FIRST }
    }
}

impl Loads {
    /// Notes that a request of this router goes to an upstream.
    pub fn began(&mut self, upstream: NameHash) {
        self.upstreams.entry(upstream).or_default().own += 1;
    }

    /// Notes that a request of this router has ended there after so long.
    pub fn ended(&mut self, upstream: NameHash, lasted: Duration) {
        if let Some(load) = self.upstreams.get_mut(&upstream) {
            load.own = load.own.saturating_sub(1);
            if load.said.is_some() {
                self.lasting.note(lasted);
            }
        }
    }

    /// Takes in what an upstream said, to this router or to another.
    pub fn learn(&mut self, said: LoadSaid, from: LearnedFrom) {
        let load = self.upstreams.entry(said.upstream).or_default();
        if load.said.is_none_or(|before| said.at > before.at) {
            load.said = Some(Report { in_progress: said.in_progress, at: said.at, from });
            load.others = said.in_progress.saturating_sub(load.own);
        }
    }

    /// This router's own requests at an upstream.
    #[must_use]
    pub fn own(&self, upstream: NameHash) -> f32 {
        self.upstreams.get(&upstream).map_or(0.0, |load| load.own as f32)
    }

    /// Requests believed to be at an upstream now. What it said of others' requests fades into
    /// `mean`, what the others have at an upstream of its pool on average, as fast as requests come and go.
    /// Were it believed for longer, all routers would send to the one that had little a second ago.
    #[must_use]
    pub fn estimate(&self, upstream: NameHash, mean: f32, now: Instant) -> f32 {
        let load = self.upstreams.get(&upstream).copied().unwrap_or_default();
        let fades_within = OUTLASTS * self.lasting.left();
        let left = |report: Report| (-now.since(report.at).as_secs_f32() / fades_within).exp();
        let left = load.said.map_or(0.0, left);
        load.own as f32 + load.others as f32 * left + mean * (1.0 - left)
    }

    /// What the others have at an upstream on average, by what upstreams said lately.
    pub fn mean_of_others(&self, upstreams: impl Iterator<Item = NameHash>, now: Instant) -> f32 {
        let loads = upstreams.filter_map(|upstream| self.upstreams.get(&upstream));
        let lately = loads.filter(|load| load.said.is_some_and(|said| now.since(said.at) < COUNTS_FOR));
        let (count, total) =
            lately.fold((0_u32, 0_u32), |(count, total), load| (count + 1, total + load.others));
        total as f32 / count.max(1) as f32
    }

    /// What upstreams said lately, for telling others; of many the highest.
    #[must_use]
    pub fn to_tell(&self, now: Instant) -> Vec<LoadSaid> {
        let said = self.upstreams.iter().filter_map(|(upstream, load)| {
            let Report { in_progress, at, .. } = load.said?;
            (now.since(at) < TOLD_FOR).then_some(LoadSaid { upstream: *upstream, in_progress, at })
        });
        let mut told: Vec<LoadSaid> = said.collect();
        keep_highest(&mut told, MOST_TOLD_EACH, |said| (said.in_progress, said.at));
        told
    }

    /// What upstreams said lately, for telling `listener`, who holds the same `list` of them.
    #[must_use]
    pub fn told_to(&self, listener: LearnedFrom, list: &UpstreamList, now: Instant) -> ListLoads {
        let upstreams = list.entries.iter().map(|entry| entry.hash);
        if upstreams.len() > MOST_TOLD_EACH {
            ListLoads::Highest(self.highest_for(listener, upstreams, now))
        } else {
            ListLoads::Each(self.states_for(listener, upstreams, now))
        }
    }

    /// Takes in what a router that holds the same `list` told, its ages counted from `as_of`.
    pub fn hear(&mut self, told: &ListLoads, list: &UpstreamList, from: LearnedFrom, as_of: Instant) {
        match told {
            ListLoads::Each(states) => {
                self.hear_states(states, list.entries.iter().map(|entry| entry.hash), from, as_of);
            }
            ListLoads::Highest(loads) => {
                self.hear_highest(
                    loads,
                    |place| list.entries.get(place).map(|entry| entry.hash),
                    from,
                    as_of,
                );
            }
        }
    }

    /// What upstreams said lately, for telling `listener`, who holds the same list of `upstreams`: of each
    /// but what it told itself.
    pub fn states_for(
        &self,
        listener: LearnedFrom,
        upstreams: impl Iterator<Item = NameHash>,
        now: Instant,
    ) -> LoadStates {
        let reports = upstreams.map(|upstream| {
            self.upstreams.get(&upstream)?.said.filter(|report| report.is_told_to(listener, now))
        });
        let (mut loads, mut ages) = (Vec::new(), Vec::new());
        for report in reports {
            loads.push(report.map_or(NOTHING, |report| load_state(report.in_progress)));
            ages.push(report.map_or(NOTHING, |report| age_state(now.since(report.at))));
        }
        loads.append(&mut ages);
        LoadStates(loads)
    }

    /// Takes in what a router that holds the same list of `upstreams` told, its ages counted from `as_of`.
    /// States of another length are of another list: nothing is taken of them.
    pub fn hear_states(
        &mut self,
        states: &LoadStates,
        upstreams: impl ExactSizeIterator<Item = NameHash>,
        from: LearnedFrom,
        as_of: Instant,
    ) {
        let (loads, ages) = states.0.split_at(states.0.len() / 2);
        if loads.len() != upstreams.len() || ages.len() != upstreams.len() {
            return;
        }
        let told = upstreams.zip(loads.iter().zip(ages)).filter(|(_, (load, _))| **load != NOTHING);
        for (upstream, (load, age)) in told {
            let at = as_of - STATE_AGE * u32::from(*age);
            self.learn(LoadSaid { upstream, in_progress: u32::from(*load), at }, from);
        }
    }

    /// Forgets upstreams that are not listed and have no request of this router.
    pub fn keep_only(&mut self, listed: impl Fn(NameHash) -> bool) {
        self.upstreams.retain(|upstream, load| load.own > 0 || listed(*upstream));
    }
}

/// Keeps the highest `most` of what was said, of equal ones the latest.
fn keep_highest<T>(told: &mut Vec<T>, most: usize, load: impl Fn(&T) -> (u32, Instant)) {
    if told.len() > most {
        told.sort_unstable_by_key(|said| Reverse(load(said)));
        told.truncate(most);
    }
}

fn load_state(in_progress: u32) -> u8 {
    u8::try_from(in_progress).unwrap_or(NOTHING).min(NOTHING - 1)
}

/// An age is never stated as less than it is.
fn age_state(age: Duration) -> u8 {
    let units = age.as_millis().div_ceil(STATE_AGE.as_millis());
    u8::try_from(units).unwrap_or(u8::MAX)
}
