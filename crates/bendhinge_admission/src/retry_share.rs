//! One router's share of the retries that a whole fleet may make for a pool.
//!
//! The fleet's budget counts what happened within a span. A share that counts within the same
//! span can spend at once what its requests of that span have earned, as when an upstream that
//! served a fifth of them is lost; one that saves up tokens cannot, since what it may save up is
//! its part of the slack alone.
//!
//! In a large fleet a share is less than one retry. Were it rounded up, a thousand routers would send a thousand requests
//! again whatever the budget; rounded down, none. So less than one is rounded at random: up as often as the share comes to.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::{Instant, hash_to_fraction};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a whole fleet may send again for one pool: `ratio` of the requests and `slack` besides,
/// counted within any `span`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries besides.
    pub slack: f64,
    /// The span within which both are counted.
    pub span: Duration,
}

impl FleetRetryBudget {
    /// What is kept of the ratio, for requests and retries that fall into different spans.
    const RATIO_USED: f64 = 0.8;
    /// What is kept of the slack, for routers that do not know of each other or that start anew.
    const SLACK_USED: f64 = 0.5;

    /// The share of a router whose part of the slack is `reserve`, and which has drawn `seed` at its start. Each earns by
    /// its own requests alone, so that the shares add up to the fleet's budget however requests are divided, without
    /// a message.
    #[must_use]
    pub fn share(self, reserve: f64, seed: u64) -> RetryShare {
        RetryShare {
            ratio: self.ratio * Self::RATIO_USED,
            reserve,
            rounding: Rounding { seed, period: self.span * SPANS_A_DRAW },
            slot: self.span / SLOTS,
            slots: VecDeque::new(),
        }
    }

    /// The part of one of `routers` in the slack.
    #[must_use]
    pub fn reserve(self, routers: usize) -> f64 {
        self.slack * Self::SLACK_USED / routers.max(1) as f64
    }
}

/// For how many spans a draw holds. Where it changes within a span, a router may have sent again by the one and by the
/// other; of the routers, whose draws change at different times, one in so many does.
const SPANS_A_DRAW: u32 = 6;

/// How a router rounds its share, by one draw after the other.
#[derive(Clone, Copy, Debug)]
struct Rounding {
    seed: u64,
    period: Duration,
}

impl Rounding {
    /// A number from 0 up to 1 that holds at `now`: shares above it are rounded up.
    fn draw(self, now: Instant) -> f64 {
        let period = u64::try_from(self.period.as_micros()).unwrap_or(u64::MAX).max(1);
        let number = (now.0 + self.seed % period) / period;
        hash_to_fraction(xxh3_64_with_seed(&number.to_le_bytes(), self.seed))
    }
}

/// Into how many slots the span is divided. One more than these is kept, so that no retry of the
/// span is ever left out.
const SLOTS: u32 = 20;
/// The slots over which it is seen how many requests there are now.
const RECENT_SLOTS: u32 = 5;

/// What happened within one slot of time.
#[derive(Clone, Copy, Debug)]
struct Slot {
    began: Instant,
    requests: u32,
    retries: u32,
}

/// One router's share: what it may send again by what it sent within the span.
#[derive(Clone, Debug)]
pub struct RetryShare {
    ratio: f64,
    reserve: f64,
    rounding: Rounding,
    slot: Duration,
    /// The oldest first; slots in which nothing happened are absent.
    slots: VecDeque<Slot>,
}

impl RetryShare {
    /// Notes the first send of a request.
    pub fn request(&mut self, now: Instant) {
        self.current(now).requests += 1;
    }

    /// Takes one retry; `false` if none is left.
    pub fn retry(&mut self, now: Instant) -> bool {
        self.current(now);
        let spent: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let share = self.reserve + self.ratio * self.requests_earning(now);
        let is_rounded_up = share < 1.0 && self.rounding.draw(now) < share;
        let is_allowed = f64::from(spent) + 1.0 <= if is_rounded_up { 1.0 } else { share };
        if is_allowed {
            self.current(now).retries += 1;
        }
        is_allowed
    }

    /// Changes the part of the slack.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
    }

    /// The requests that earn retries now: those of the span, but no more than there would be at
    /// the present rate, since those of a burst that is over count little within the spans to come.
    fn requests_earning(&self, now: Instant) -> f64 {
        let within = |slots: u32| -> f64 {
            let span = self.slot * slots;
            let counted = self.slots.iter().filter(|slot| now.since(slot.began) < span);
            counted.map(|slot| f64::from(slot.requests)).sum()
        };
        let at_present_rate = within(RECENT_SLOTS) * f64::from(SLOTS) / f64::from(RECENT_SLOTS);
        within(SLOTS).min(at_present_rate)
    }

    /// The slot of `now`, after those that are out of the span were dropped.
    fn current(&mut self, now: Instant) -> &mut Slot {
        let kept_for = self.slot * (SLOTS + 1);
        while self.slots.front().is_some_and(|slot| now.since(slot.began) >= kept_for) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| now.since(slot.began) >= self.slot) {
            self.slots.push_back(Slot { began: now, requests: 0, retries: 0 });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
