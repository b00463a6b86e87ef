//! What happens, and when: turns of returning chats, engines that go and come back.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bendhinge_ids::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::cache::Chat;

/// The size and the troubles of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// What it is called in figures.
    pub name: &'static str,
    /// Routers.
    pub routers: usize,
    /// Engines of the one pool.
    pub engines: usize,
    /// Turns a second.
    pub rate: f64,
    /// How long a turn takes on average.
    pub turn: Duration,
    /// Contexts that an engine holds.
    pub cache: usize,
    /// Chats that are open at a time.
    pub chats: u32,
    /// Turns of a chat on average.
    pub turns: f64,
    /// An engine is lost this often; it is back, empty, after [`Scenario::OUTAGE`].
    pub loss_every: Duration,
    /// Age of routers' knowledge of loads when they hear it.
    pub lag: Duration,
    /// How often they hear.
    pub tell_every: Duration,
    /// Part of the run in which a few chats make this much more traffic.
    pub surge: f64,
    /// The bound on load.
    pub bound: f64,
    /// Virtual time before figures are taken.
    pub warm_up: Duration,
    /// Virtual time for which they are.
    pub length: Duration,
}

impl Scenario {
    /// How long a lost engine is away.
    pub const OUTAGE: Duration = Duration::from_secs(10);
    /// Routers know of a lost or returned engine after this; before, their attempts fail.
    pub const VIEW_LAG: Duration = Duration::from_secs(2);

    /// Nine routers before forty engines, as both users have today.
    pub const TODAY: Self = Self {
        name: "today",
        routers: 9,
        engines: 40,
        rate: 40.0,
        turn: Duration::from_secs(8),
        cache: 60,
        chats: 2_400,
        turns: 12.0,
        loss_every: Duration::from_secs(20),
        lag: Duration::from_millis(750),
        tell_every: Duration::from_millis(250),
        surge: 0.5,
        bound: 1.25,
        warm_up: Duration::from_secs(180),
        length: Duration::from_secs(600),
    };

    /// The size that both users plan for within two years.
    pub const PLANNED: Self = Self {
        name: "planned",
        routers: 460,
        engines: 1_400,
        rate: 12_000.0,
        turn: Duration::from_secs(15),
        cache: 220,
        chats: 360_000,
        turns: 12.0,
        loss_every: Duration::from_secs(1),
        lag: Duration::from_secs(1),
        tell_every: Duration::from_secs(2),
        surge: 0.5,
        bound: 1.25,
        warm_up: Duration::from_secs(60),
        length: Duration::from_secs(40),
    };
}

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A turn of a chat comes in.
    Turn(Chat),
    /// A turn ends.
    Ended { ticket: u64 },
    /// Some engine is lost.
    Loss,
    /// An engine is back.
    Back { engine: u32 },
    /// Routers learn which engines are there.
    View,
    /// Counts are told to all routers.
    Tick,
}

/// Events in the order of time.
#[derive(Debug)]
pub(super) struct Workload {
    pub(super) scenario: Scenario,
    queue: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    next: u64,
    pub(super) random: ChaCha8Rng,
    next_chat: u32,
}

impl Workload {
    pub(super) fn new(scenario: Scenario, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let mut workload =
            Self { scenario, queue: BinaryHeap::new(), next: 0, random, next_chat: scenario.chats };
        for chat in 0..scenario.chats {
            let wait = workload.random.random_range(0.0..f64::from(scenario.chats) / scenario.rate);
            workload.push(Duration::from_secs_f64(wait), Instant::default(), Event::Turn(Chat(chat)));
        }
        workload.push(scenario.loss_every, Instant::default(), Event::Loss);
        workload.push(scenario.tell_every, Instant::default(), Event::Tick);
        workload
    }

    pub(super) fn push(&mut self, after: Duration, now: Instant, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((now + after, self.next, event)));
    }

    /// The next event before `end`.
    pub(super) fn next(&mut self, end: Instant) -> Option<(Instant, Event)> {
        let Reverse((at, _, event)) = self.queue.pop()?;
        (at < end).then_some((at, event))
    }

    /// A time with the given mean, exponentially distributed.
    pub(super) fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        mean.mul_f64(-uniform.ln())
    }

    /// How long a turn takes: half of the mean at the least, so that none is over at once.
    pub(super) fn turn_time(&mut self) -> Duration {
        let half = self.scenario.turn / 2;
        half + self.exponential(half)
    }

    /// Plans what a chat does after a turn: most return after a pause, some end and make room
    /// for a new one, so that the number of open chats stays.
    pub(super) fn plan_next_turn(&mut self, chat: Chat, now: Instant) {
        let ends = self.random.random_range(0.0..1.0) < 1.0 / self.scenario.turns;
        let next = if ends { self.new_chat() } else { chat };
        let pause = f64::from(self.scenario.chats) / self.scenario.rate - self.scenario.turn.as_secs_f64();
        let pause = self.exponential(Duration::from_secs_f64(pause.max(1.0)));
        // In the middle third a few chats run hot.
        let hot = chat.0.is_multiple_of(50) && self.is_surge(now);
        let pause = if hot { pause.mul_f64(1.0 / (1.0 + 50.0 * self.scenario.surge)) } else { pause };
        self.push(pause, now, Event::Turn(next));
    }

    fn new_chat(&mut self) -> Chat {
        self.next_chat += 1;
        Chat(self.next_chat)
    }

    fn is_surge(&self, now: Instant) -> bool {
        let begin = Instant::default() + self.scenario.warm_up + self.scenario.length / 3;
        now >= begin && now < begin + self.scenario.length / 3
    }

    /// The router that the balancer gives a turn to.
    pub(super) fn router(&mut self) -> usize {
        self.random.random_range(0..self.scenario.routers)
    }
}
