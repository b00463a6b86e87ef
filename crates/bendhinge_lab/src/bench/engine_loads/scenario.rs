//! What a run plays: kinds of requests, their demand over time, and what happens to the engines.

use std::f64::consts::TAU;
use std::ops::Range;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::{PartId, Prompt, PromptPart};

/// Exponent of the popularity of subjects by rank.
pub(super) const SKEW: f64 = 0.3;

/// When the subject is popular, in milliseconds.
pub const POPULAR_MILLIS: Range<u64> = 4_000..10_000;
/// Duration of a run, in milliseconds.
pub const MILLIS: u64 = 12_000;
/// Start of the measurement, in milliseconds. All caches are empty at the start of a run.
pub const WARM_MILLIS: u64 = 3_000;

/// Data centres over which the engines are distributed evenly.
const DATA_CENTRES: usize = 3;
/// Period of the demand's wave, in milliseconds.
const WAVE_MILLIS: f64 = 11_000.0;
/// Part of the mean demand by which its wave rises and falls.
const WAVE_SWING: f64 = 0.2;

/// A drain of one data centre. Routers learn of its start and end within [`Drain::MAX_DELAY`].
#[derive(Clone, Debug)]
pub struct Drain {
    /// When the operator drains the data centre, in milliseconds.
    pub millis: Range<u64>,
    /// The drained data centre, below [`DATA_CENTRES`].
    pub data_centre: usize,
}

impl Drain {
    /// Maximum time until a router learns of the start or the end of a drain.
    pub(super) const MAX_DELAY: Duration = Duration::from_millis(800);

    fn includes(&self, engine: usize) -> bool {
        engine % DATA_CENTRES == self.data_centre
    }
}

/// What a run plays.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    /// Fraction of the long prompts that concern the popular subject, within [`POPULAR_MILLIS`].
    pub popular_fraction: f64,
    /// The drained data centres, one after the other.
    pub drains: Vec<Drain>,
    /// When the demand's wave peaks, in milliseconds; without a wave if `None`.
    pub wave_peak_millis: Option<u64>,
    /// When the demand is [`Scenario::burst_factor`] times the usual, in milliseconds.
    pub burst_millis: Range<u64>,
    /// Demand during the burst, as a multiple of the usual.
    pub burst_factor: f64,
}

impl Scenario {
    /// Returns the demand at a time as a multiple of the usual.
    pub(super) fn demand(&self, millis: u64) -> f64 {
        let wave = self.wave_peak_millis.map_or(0.0, |peak| {
            let phase = (millis as f64 - peak as f64) / WAVE_MILLIS;
            WAVE_SWING * (phase * TAU).cos()
        });
        let burst = if self.burst_millis.contains(&millis) { self.burst_factor } else { 1.0 };
        burst * (1.0 + wave)
    }

    /// Whether an engine is drained at a time.
    pub(super) fn is_drained(&self, engine: usize, at: Instant) -> bool {
        let millis = at.0 / 1_000;
        self.drains.iter().any(|drain| drain.includes(engine) && drain.millis.contains(&millis))
    }

    /// Whether an engine is drained at a time, or warms up for `warm_up` afterwards.
    pub(super) fn gets_few_requests(&self, engine: usize, warm_up: Duration, at: Instant) -> bool {
        self.is_drained(engine, at)
            || self.few_requests_until(engine, warm_up, at).is_some_and(|until| at < until)
    }

    /// Returns until when an engine gets few requests, or got them: `at` while it is drained, or `warm_up` after its last
    /// drain.
    pub(super) fn few_requests_until(
        &self,
        engine: usize,
        warm_up: Duration,
        at: Instant,
    ) -> Option<Instant> {
        if self.is_drained(engine, at) {
            return Some(at);
        }
        let ends = self.drains.iter().filter(|drain| drain.includes(engine));
        let ends = ends.map(|drain| Instant::from_millis(drain.millis.end));
        ends.filter(|end| *end <= at).max().map(|end| end + warm_up)
    }
}

/// A kind of request.
pub(super) struct Class {
    pub(super) per_second: f64,
    pub(super) subjects: usize,
    /// Tokens of the part that all subjects share, and of the part of each subject.
    pub(super) shared_tokens: [u32; 2],
    pub(super) request_tokens: u32,
    pub(super) stream: Duration,
}

pub(super) const CLASSES: [Class; 3] = [
    Class {
        per_second: 189.0,
        subjects: 365,
        shared_tokens: [512, 10_000],
        request_tokens: 1_300,
        stream: Duration::from_millis(1_450),
    },
    Class {
        per_second: 129.0,
        subjects: 250,
        shared_tokens: [119, 580],
        request_tokens: 130,
        stream: Duration::from_millis(950),
    },
    Class {
        per_second: 345.0,
        subjects: 445,
        shared_tokens: [341, 1_700],
        request_tokens: 360,
        stream: Duration::from_millis(75),
    },
];

/// The subject of the first class that becomes popular.
pub(super) const POPULAR_SUBJECT: usize = 100;

pub(super) fn prompt(class: usize, subject: usize, request: u64) -> Prompt {
    let part = |group: usize, number: u64, tokens| PromptPart {
        id: PartId(NameHash::of(&format!("{class} {group} {number}")).0),
        tokens,
    };
    let Class { shared_tokens: [common, own], request_tokens, .. } = CLASSES[class];
    Prompt::new(vec![part(0, 0, common), part(1, subject as u64, own), part(2, request, request_tokens)])
}
