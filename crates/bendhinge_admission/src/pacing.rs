//! Letting in no more than a pool takes, where its upstreams turn requests away.
//!
//! The pattern it answers: a pool of a few plain upstreams, each with a handful of places and a short queue, before a
//! fleet of many routers, when one customer sends twenty times its usual or a part of the pool is lost. The
//! upstreams say nothing of their load, and a request is over before any news of it could be told. Unpaced, all
//! queues stand full: who gets in waits for most of its time, whoever does not is thrown from one full
//! upstream to the next, and the customer that sends most gets most.
//!
//! Each router paces itself by what it sees: an answer in time lets the pace rise, one that is turned away or late
//! lets it fall. Nobody waits here. What the pace leaves goes to the more urgent first, and among equals no
//! customer has more than a fair part while others want theirs; the rest is refused at once. As long as nobody is
//! turned away there is no pace, and nobody is refused.
//!
//! Before three upstreams of six places, with 78 routers and 1,000 requests a second for 8 s in place of 200, 392 are
//! answered in time a second in place of 216, and of the requests of those who send no more than usual 0.77
//! in place of 0.21 (`measure pacing`). A router that counted for the pool would give 462 and 1.0, for two messages
//! a request in the second in which there is the least time for them.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use crate::{Rate, Want, fill};

/// Within this time refusals of several upstreams say that the pool is full, and not one of them odd.
const FULL_WITHIN: Duration = Duration::from_secs(1);
/// Upstreams that must have turned a request away, if there are as many.
const WITNESSES: usize = 2;
/// The part of a route's target after which an answer counts as late: what is left of it is for the caller's way.
const LATE: f64 = 0.85;
/// What one answer in time adds to the pace, in requests a second. At a router that sends eight a second one
/// answer in four is late then when the pace stands still. With 0.25 the pool is used less, and of the usual
/// customers' requests 0.72 are answered in time and not 0.77; with 0.6 the queues are longer, 0.74.
const RISE: f64 = 0.4;
/// What is left of the pace after it fell.
const CUT: f64 = 0.85;
/// The pace falls once in this time at most: what is under way says the same several times.
const CUT_EVERY: Duration = Duration::from_millis(200);
/// The least pace, in requests a second: a router that sends nothing learns nothing.
const LEAST: f64 = 0.5;
/// The time for which the pace may be saved up.
const SAVED: Duration = Duration::from_millis(250);
/// Over what time demands are counted: a customer that sends one request in ten seconds is not taken for one
/// that sends one a second.
const DEMAND_OVER: Duration = Duration::from_secs(3);
/// So long after the last answer that was late or turned away a pace that leaves nothing out is given up.
const CALM: Duration = Duration::from_secs(2);
/// The least time after which a refused caller should come back: before that it finds the same burst.
const BACK_AFTER: Duration = Duration::from_millis(300);
/// The longest: a burst may be over.
const BACK_AT_LAST: Duration = Duration::from_secs(3);

/// Whose request it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Asker {
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Its customer.
    pub customer: NameHash,
}

/// What is decided of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Paced {
    /// It may go.
    LetIn,
    /// It is refused, and may come back after this time.
    Refused(Duration),
}

#[derive(Clone, Copy, Debug)]
struct TurnedAway {
    by: NameHash,
    at: Instant,
}

/// What is let in while there is a pace.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Requests a second.
    per_second: f64,
    /// Requests that may be let in now; below zero, they were let in ahead of it.
    saved: f64,
    /// When those were last counted.
    counted: Instant,
    /// When the pace last fell.
    fell: Instant,
    /// When an answer was last late or turned away.
    troubled: Instant,
}

impl Pace {
    fn count(&mut self, now: Instant) {
        let earned = self.per_second * now.since(self.counted).as_secs_f64();
        let most = (self.per_second * SAVED.as_secs_f64()).max(1.0);
        self.saved = (self.saved + earned).min(most);
        self.counted = now;
    }

    fn let_in(&mut self) {
        // What is let in ahead of the pace is owed for a second at most.
        self.saved = (self.saved - 1.0).max(-self.per_second);
    }

    fn fall(&mut self, now: Instant) {
        self.troubled = now;
        if now.since(self.fell) >= CUT_EVERY {
            self.per_second = (self.per_second * CUT).max(LEAST);
            self.fell = now;
        }
    }
}

/// What a router lets in of one pool's requests.
#[derive(Debug)]
pub struct Pacer {
    pace: Option<Pace>,
    /// Who turned requests away lately, each once.
    turned_away: Vec<TurnedAway>,
    /// Answers, in time or not.
    served: Rate,
    asked: FxHashMap<Asker, Rate>,
}

impl Default for Pacer {
    fn default() -> Self {
        let served = Rate::over(FULL_WITHIN);
        Self { pace: None, turned_away: Vec::new(), served, asked: FxHashMap::default() }
    }
}

impl Pacer {
    /// Requests a second that are let in; `None` is all.
    #[must_use]
    pub fn pace(&self) -> Option<f64> {
        self.pace.map(|pace| pace.per_second)
    }

    /// Decides on a request; `spread` is uniform in 0 to 1, so that those who are refused together do not come back
    /// together.
    pub fn decide(&mut self, asker: Asker, spread: f64, now: Instant) -> Paced {
        self.asked.entry(asker).or_insert(Rate::over(DEMAND_OVER)).note(now);
        let Some(mut pace) = self.pace else { return Paced::LetIn };
        let demand = self.total_demand(now);
        if now.since(pace.troubled) > CALM && demand < pace.per_second {
            self.pace = None;
            return Paced::LetIn;
        }
        pace.count(now);
        let wants_its_part_at_most = self.demand_of(asker, now) <= self.part_of(asker, pace.per_second, now);
        let is_let_in = wants_its_part_at_most || pace.saved >= 1.0;
        if is_let_in {
            pace.let_in();
        }
        self.pace = Some(pace);
        if is_let_in { Paced::LetIn } else { Paced::Refused(back_after(demand / pace.per_second, spread)) }
    }

    /// Notes an answer that came so long after its request.
    pub fn answered(&mut self, took: Duration, target: Duration, now: Instant) {
        self.served.note(now);
        let Some(pace) = &mut self.pace else { return };
        if took > target.mul_f64(LATE) {
            pace.fall(now);
        } else {
            pace.per_second += RISE;
        }
    }

    /// Notes that an upstream turned a request away for want of room, one of so many that take work.
    pub fn turned_away(&mut self, by: NameHash, upstreams: usize, now: Instant) {
        self.turned_away.retain(|before| before.by != by && now.since(before.at) < FULL_WITHIN);
        self.turned_away.push(TurnedAway { by, at: now });
        if let Some(pace) = &mut self.pace {
            return pace.fall(now);
        }
        if self.turned_away.len() >= upstreams.clamp(1, WITNESSES) {
            let per_second = f64::from(self.served.per_second(now)).max(LEAST);
            self.pace = Some(Pace { per_second, saved: 0.0, counted: now, fell: now, troubled: now });
        }
    }

    /// Forgets customers that ask for nothing.
    pub fn prune(&mut self, now: Instant) {
        /// One request in a minute and a half or less.
        const NOTHING: f32 = 0.01;
        self.asked.retain(|_, demand| demand.per_second(now) > NOTHING);
    }

    fn demand_of(&self, asker: Asker, now: Instant) -> f64 {
        self.asked.get(&asker).map_or(0.0, |demand| f64::from(demand.per_second(now)))
    }

    fn total_demand(&self, now: Instant) -> f64 {
        self.asked.values().map(|demand| f64::from(demand.per_second(now))).sum()
    }

    /// What an asker may have of the pace: of what the more urgent leave, a fair part.
    fn part_of(&self, asker: Asker, pace: f64, now: Instant) -> f64 {
        let demands = || self.asked.iter().map(|(other, demand)| (other, f64::from(demand.per_second(now))));
        let before = demands().filter(|(other, _)| other.priority < asker.priority);
        let left = (pace - before.map(|(_, demand)| demand).sum::<f64>()).max(0.0);
        let equals = || demands().filter(|(other, _)| other.priority == asker.priority);
        let wants: Vec<Want> =
            equals().map(|(_, amount)| Want { weight: 1.0, amount, growing: false }).collect();
        let own = equals().position(|(other, _)| *other == asker);
        own.map_or(left, |own| fill(&wants, left)[own])
    }
}

/// When to come back, if so many times as much is asked as is let in.
fn back_after(crowd: f64, spread: f64) -> Duration {
    let shortest = BACK_AFTER.mul_f64(crowd.max(1.0)).min(BACK_AT_LAST / 2);
    shortest.mul_f64(1.0 + spread)
}
