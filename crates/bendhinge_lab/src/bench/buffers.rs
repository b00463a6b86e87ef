//! Which buffers are ended when their memory is used up, compared in virtual time.
//!
//! Messages of sound upstreams arrive beside those of upstreams that send without an end, or beside responses of callers
//! that do not read. What counts is how many sound messages are ended, and how much memory is used at most.

use std::net::SocketAddr;

use bendhinge_buffers::{Ledger, Owner, ReservationId};
use bendhinge_ids::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The limit of the process, and of a message, in bytes.
const LIMIT: usize = 65_000_000;
const MESSAGE_LIMIT: usize = 4 << 20;
const TICK_MILLIS: u64 = 2;
const TICKS: u64 = 2_500;
const SOUND_OWNERS: u8 = 12;
/// Sound messages that begin in a tick, on average.
const SOUND_PER_TICK: f64 = 0.6;
const LARGE_SHARE: f64 = 0.02;
const SMALL_BYTES: std::ops::Range<usize> = 1 << 10..64 << 10;
const LARGE_BYTES: std::ops::Range<usize> = 1 << 20..MESSAGE_LIMIT;
const SOUND_BYTES_PER_TICK: usize = 100_000;
const FLOOD_BYTES_PER_TICK: usize = 40_000;

/// A way to choose what is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// What needs more when the memory is used up.
    Newcomer,
    /// The largest message.
    Largest,
    /// What has held the most memory for the longest time, of an owner that has more than remains free: the product's way.
    OwnerHeaviest,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 3] = [Self::Newcomer, Self::Largest, Self::OwnerHeaviest];
}

/// What disturbs the sound messages.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// The name of the scene.
    pub name: &'static str,
    /// Upstreams that send without an end, among the sound ones.
    flooding: u8,
    /// Endless messages that begin in a tick at each of them, on average.
    flood_per_tick: f64,
    /// The size at which an endless message stalls.
    flood_bytes: usize,
}

/// The scenes that are compared.
pub const SCENES: [Scene; 3] = [
    Scene { name: "one upstream", flooding: 1, flood_per_tick: 0.2, flood_bytes: MESSAGE_LIMIT },
    Scene { name: "four upstreams", flooding: 4, flood_per_tick: 0.2, flood_bytes: MESSAGE_LIMIT },
    Scene { name: "unread pieces", flooding: 1, flood_per_tick: 1.5, flood_bytes: 32 << 10 },
];

/// What a run has shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Sound messages.
    pub sound: usize,
    /// Those that were ended.
    pub ended: usize,
    /// Sound messages above a megabyte.
    pub large: usize,
    /// Those that were ended.
    pub large_ended: usize,
    /// The most bytes at a time.
    pub peak: usize,
}

struct Message {
    /// The size at which it is complete, or stalls.
    size: usize,
    bytes: usize,
    is_sound: bool,
    reservation: Option<ReservationId>,
}

struct Run {
    way: Way,
    ledger: Ledger,
    messages: Vec<Message>,
    total: usize,
    figures: Figures,
}

fn owner(number: u8) -> Owner {
    Owner::Server(SocketAddr::from(([127, 0, 0, number], 80)))
}

impl Run {
    fn begin(&mut self, owner: Owner, size: usize, is_sound: bool, now: Instant) {
        let reservation = (self.way == Way::OwnerHeaviest).then(|| self.ledger.open(owner, now));
        self.messages.push(Message { size, bytes: 0, is_sound, reservation });
        if is_sound {
            self.figures.sound += 1;
            self.figures.large += usize::from(size >= LARGE_BYTES.start);
        }
    }

    fn remove(&mut self, index: usize, is_ended: bool) {
        let message = self.messages.swap_remove(index);
        self.total -= message.bytes;
        if let Some(reservation) = message.reservation {
            self.ledger.close(reservation);
        }
        if is_ended && message.is_sound {
            self.figures.ended += 1;
            self.figures.large_ended += usize::from(message.size >= LARGE_BYTES.start);
        }
    }

    /// Grows a message. Returns `false` if it is ended for that.
    fn grow(&mut self, index: usize, bytes: usize, now: Instant) -> bool {
        if let Some(reservation) = self.messages[index].reservation {
            let size = self.messages[index].bytes + bytes;
            return self.ledger.resize(reservation, size, || now, &mut Vec::new()).is_ok();
        }
        self.total + bytes <= LIMIT || self.way == Way::Largest
    }

    /// Ends messages until the memory suffices.
    fn end_revoked(&mut self) {
        match self.way {
            Way::Newcomer => {}
            Way::Largest => {
                while self.total > LIMIT {
                    let largest = (0..self.messages.len()).max_by_key(|index| self.messages[*index].bytes);
                    let Some(largest) = largest else { return };
                    self.remove(largest, true);
                }
            }
            Way::OwnerHeaviest => {
                for index in (0..self.messages.len()).rev() {
                    let reservation = self.messages[index].reservation;
                    if reservation.is_some_and(|id| self.ledger.is_revoked(id)) {
                        self.remove(index, true);
                    }
                }
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        let mut index = 0;
        while index < self.messages.len() {
            let Message { size, bytes, is_sound, .. } = self.messages[index];
            let rate = if is_sound { SOUND_BYTES_PER_TICK } else { FLOOD_BYTES_PER_TICK };
            let growth = rate.min(size - bytes);
            if growth > 0 && !self.grow(index, growth, now) {
                self.remove(index, true);
                continue;
            }
            self.messages[index].bytes += growth;
            self.total += growth;
            if is_sound && bytes + growth == size {
                self.remove(index, false);
                continue;
            }
            index += 1;
        }
        self.end_revoked();
        self.figures.peak = self.figures.peak.max(self.total);
    }
}

/// Runs a scene with a way.
#[must_use]
pub fn run(way: Way, scene: &Scene, seed: u64) -> Figures {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut run =
        Run { way, ledger: Ledger::new(LIMIT), messages: Vec::new(), total: 0, figures: Figures::default() };
    for tick in 0..TICKS {
        let now = Instant::from_millis(tick * TICK_MILLIS);
        if random.random_bool(SOUND_PER_TICK) {
            let is_large = random.random_bool(LARGE_SHARE);
            let size = random.random_range(if is_large { LARGE_BYTES } else { SMALL_BYTES });
            let number = random.random_range(0..SOUND_OWNERS);
            run.begin(owner(number), size, true, now);
        }
        for number in 0..scene.flooding {
            let mut due = scene.flood_per_tick;
            while due > 0.0 {
                if random.random_bool(due.min(1.0)) {
                    run.begin(owner(number), scene.flood_bytes, false, now);
                }
                due -= 1.0;
            }
        }
        run.tick(now);
    }
    run.figures
}
