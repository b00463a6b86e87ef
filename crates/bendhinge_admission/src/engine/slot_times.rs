//! Time for which requests hold a slot, learned by priority and prompt size.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::RequestKind;

/// Slot time of a request until any has been observed, in seconds. All demands are then wrong by the same factor, which
/// the capacity estimate corrects.
const INITIAL_SLOT_SECS: f64 = 1.0;
/// Weight of a new observation. A box observes some 20 requests per second, so this averages over about a second.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Tokens up to which prompts are of the smallest size. Above, each size covers a factor of four.
const SMALLEST_TOKENS: u32 = 256;
/// Number of prompt sizes that are distinguished.
const SIZE_COUNT: u32 = 6;

/// Average that starts with its first observation.
#[derive(Clone, Copy, Debug, Default)]
struct Average(Option<f64>);

impl Average {
    fn record(&mut self, value: f64) {
        self.0 = Some(self.0.map_or(value, |mean| mean + SAMPLE_WEIGHT * (value - mean)));
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct KindTimes {
    /// Time to the first event while no requests wait, in seconds.
    calm_first_event: Average,
    /// Slot time in seconds.
    slot: Average,
}

/// Learned slot times. Bounded by the number of priorities and sizes.
#[derive(Debug, Default)]
pub(crate) struct SlotTimes {
    kinds: FxHashMap<(u8, u32), KindTimes>,
    all: Average,
}

impl SlotTimes {
    pub(crate) fn record_first_event(&mut self, kind: RequestKind, wait: Duration, is_calm: bool) {
        if is_calm {
            self.kinds.entry(size_key(kind)).or_default().calm_first_event.record(wait.as_secs_f64());
        }
    }

    /// Time in an engine's queue does not count: of the time to the first event, only what is usual while no requests
    /// wait.
    pub(crate) fn record_end(&mut self, kind: RequestKind, first_event: Duration, duration: Duration) {
        let times = self.kinds.entry(size_key(kind)).or_default();
        let first_event = first_event.min(duration);
        let prefill = times.calm_first_event.0.map_or(first_event, |calm| {
            first_event.min(Duration::try_from_secs_f64(calm).unwrap_or_default())
        });
        let slot_secs = (duration.saturating_sub(first_event) + prefill).as_secs_f64();
        times.slot.record(slot_secs);
        self.all.record(slot_secs);
    }

    /// Returns the expected slot time of a request in seconds.
    pub(crate) fn expected(&self, kind: RequestKind) -> f64 {
        self.kinds.get(&size_key(kind)).and_then(|times| times.slot.0).unwrap_or_else(|| self.mean())
    }

    /// Returns the mean slot time of recent requests in seconds.
    pub(crate) fn mean(&self) -> f64 {
        const MIN_SECS: f64 = 0.001;
        self.all.0.unwrap_or(INITIAL_SLOT_SECS).max(MIN_SECS)
    }
}

fn size_key(kind: RequestKind) -> (u8, u32) {
    let size = (kind.tokens / SMALLEST_TOKENS).checked_ilog2().map_or(0, |log| log / 2 + 1);
    (kind.priority, size.min(SIZE_COUNT - 1))
}
