//! News in the order in which a router learned it, of which each peer is told what it lacks.
//!
//! A message holds so much news at most; the rest goes with the next one. So a burst, as when a fleet starts
//! and all prompts are read for the first time, delays news and loses none of it as long as it fits into what
//! is kept.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};

/// From whom a router learned something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnedFrom {
    /// By its own requests.
    Itself,
    /// From another router, named by a hash of its address.
    Router(NameHash),
}

/// One life of a router: a number drawn at its start, never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewsLife(pub u64);

/// Up to where the news of one life of a router were told; each life numbers its news from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewsPosition {
    /// Whose news.
    pub life: NewsLife,
    /// The number of the last piece that was told; 0 before the first.
    pub number: u64,
}

/// How much news is kept and told.
#[derive(Clone, Copy, Debug)]
pub struct NewsLimits {
    /// Pieces that are kept.
    pub most_kept: usize,
    /// Pieces in one message.
    pub most_told: usize,
    /// How old a piece may be to be told.
    pub told_for: Duration,
    /// How old to a peer that was told nothing before: it has older ones from others.
    pub told_first_for: Duration,
}

/// The news in one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewsTold<T> {
    /// The pieces, oldest first.
    pub pieces: Vec<T>,
    /// The number of the last one that was told or passed over.
    pub up_to: u64,
    /// Pieces that the peer lacks and is not told of, since they are too old or not kept any more.
    pub dropped: u64,
}

#[derive(Debug)]
struct Piece<T> {
    what: T,
    from: LearnedFrom,
    at: Instant,
}

/// What a router learned lately, in order.
#[derive(Debug)]
pub struct NewsLog<T> {
    limits: NewsLimits,
    pieces: VecDeque<Piece<T>>,
    /// The number of the piece before the oldest that is kept.
    before: u64,
}

impl<T: Copy> NewsLog<T> {
    /// No news yet.
    #[must_use]
    pub const fn new(limits: NewsLimits) -> Self {
        Self { limits, pieces: VecDeque::new(), before: 0 }
    }

    /// Adds a piece that was learned at `now`.
    pub fn push(&mut self, what: T, from: LearnedFrom, now: Instant) {
        if self.pieces.len() >= self.limits.most_kept {
            self.pieces.pop_front();
            self.before += 1;
        }
        self.pieces.push_back(Piece { what, from, at: now });
    }

    /// What `listener` lacks that was told up to the number `told`, or nothing before; not what it told
    /// itself.
    #[must_use]
    pub fn since(&self, told: Option<u64>, listener: LearnedFrom, now: Instant) -> NewsTold<T> {
        let oldest_of = |span: Duration| self.pieces.partition_point(|piece| now.since(piece.at) > span);
        let oldest = oldest_of(self.limits.told_for);
        // A number that was never given is one of a life before.
        let (first, dropped) = match told.filter(|told| *told <= self.newest()) {
            None => (oldest_of(self.limits.told_first_for), 0),
            Some(told) => {
                let missing = self.before.saturating_sub(told);
                let next = usize::try_from(told.saturating_sub(self.before)).unwrap_or(usize::MAX);
                (next.max(oldest), missing + oldest.saturating_sub(next) as u64)
            }
        };
        let mut pieces = Vec::new();
        let mut passed = first;
        for piece in self.pieces.iter().skip(first) {
            if pieces.len() == self.limits.most_told {
                break;
            }
            passed += 1;
            if piece.from != listener {
                pieces.push(piece.what);
            }
        }
        NewsTold { pieces, up_to: self.before + passed as u64, dropped }
    }

    /// Gives up what is too old to be told.
    pub fn forget(&mut self, now: Instant) {
        let too_old = self.pieces.partition_point(|piece| now.since(piece.at) > self.limits.told_for);
        self.pieces.drain(..too_old);
        self.before += too_old as u64;
        self.pieces.shrink_to(self.limits.most_told);
    }

    fn newest(&self) -> u64 {
        self.before + self.pieces.len() as u64
    }
}
