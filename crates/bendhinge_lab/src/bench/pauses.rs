//! Pauses of streams at one engine, with the ways of telling which other sends they coincide with.
//!
//! The engine prefills one prompt at a time, and all of its streams pause meanwhile. A part of the requests comes from
//! the gateway that measures, the rest from others, of which it sees nothing. Now and then a packet is lost, and one
//! stream pauses until it is sent again.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use bendhinge_delivery::{OutstandingSends, SendTotals, StreamTiming};
use bendhinge_ids::{Instant, NameHash};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Parts of the requests that come from the gateway that measures.
pub const OWN_SHARES: [f64; 2] = [0.5, 0.1];
const MILLIS: u64 = 600_000;
const REQUESTS_PER_MS: f64 = 0.004;
const PROMPT_TOKENS: [u32; 4] = [600, 2_000, 10_500, 30_000];
const PREFILLED_TOKENS_PER_MS: u32 = 60;
const EVENTS: u32 = 100;
const EVENT_GAP_MS: u64 = 20;
const LOSS_PER_EVENT: f64 = 0.002;
/// How long a lost packet takes, of which one is drawn.
const LOSS_MS: std::ops::RangeInclusive<u64> = 200..=240;
/// Pauses that are taken for one lost packet.
const RETRANSMISSION_MS: std::ops::RangeInclusive<u64> = 200..=250;
/// Shorter pauses are no concern of callers.
const MIN_PAUSE_MS: u64 = 100;
const ENGINE: NameHash = NameHash(1);

/// How concurrent sends are found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Those without a first event when the pause begins.
    AtBegin,
    /// Those without a first event when it ends.
    AtEnd,
    /// A search of all sends of the last milliseconds.
    History(u64),
    /// The difference of two readings of running totals.
    Totals,
}

/// How pauses were explained.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Streams with a longest pause of at least 100 ms.
    pub pauses: u32,
    /// Those whose cause was given rightly.
    pub right: u32,
    /// Pauses by prefills of the gateway's own sends.
    pub own: u32,
    /// How many of these were recognized.
    pub own_recognized: u32,
    /// Most sends or totals kept at a time.
    pub most_entries: usize,
}

/// Causes of a pause; also the index of its counter.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Cause {
    OwnPrefill,
    ForeignPrefill,
    Loss,
}

struct Prefill {
    left_ms: u64,
    tokens: u32,
    /// The own send, by its number.
    own: Option<usize>,
}

struct Stream {
    timing: StreamTiming,
    last_totals: SendTotals,
    last_at: u64,
    events_left: u32,
    due_in_ms: u64,
    lost_ms: u64,
    blocked_ms: [u64; 3],
    /// Length and cause of the longest pause, and whether other sends were found beside it.
    longest: (u64, Option<Cause>, bool),
}

struct Bench {
    way: Way,
    now: u64,
    sends: OutstandingSends,
    /// Start and first event of the own sends.
    history: Vec<(u64, Option<u64>)>,
    seen: Seen,
}

impl Bench {
    fn found(&self, stream: &Stream, totals: SendTotals) -> bool {
        match self.way {
            Way::AtBegin => stream.last_totals.outstanding_since(stream.last_totals).requests > 0,
            Way::AtEnd => totals.outstanding_since(totals).requests > 0,
            Way::History(kept_ms) => self.history.iter().any(|(start, first_event)| {
                let is_kept = start + kept_ms >= self.now;
                is_kept && first_event.is_none_or(|at| at > stream.last_at)
            }),
            Way::Totals => {
                let longest = stream.timing.longest_pause();
                longest.is_some_and(|pause| pause.concurrent.requests > 0)
            }
        }
    }

    fn event(&self, stream: &mut Stream, is_first: bool) {
        let totals = self.sends.totals(ENGINE);
        stream.timing.record_event(Instant::from_millis(self.now), totals);
        let length = self.now - stream.last_at;
        if !is_first && length > stream.longest.0 {
            let causes = [Cause::OwnPrefill, Cause::ForeignPrefill, Cause::Loss];
            let cause = causes.into_iter().max_by_key(|cause| stream.blocked_ms[*cause as usize]);
            stream.longest = (length, cause, self.found(stream, totals));
        }
        stream.last_totals = totals;
        stream.last_at = self.now;
        stream.blocked_ms = [0; 3];
        stream.due_in_ms = EVENT_GAP_MS;
        stream.events_left -= 1;
    }

    fn judge(&mut self, stream: &Stream) {
        let (length, cause, is_beside) = stream.longest;
        assert_eq!(
            stream.timing.longest_pause().map(|pause| pause.length),
            Some(Duration::from_millis(length))
        );
        if length < MIN_PAUSE_MS {
            return;
        }
        let looks_lost = !is_beside && RETRANSMISSION_MS.contains(&length);
        let is_right = match cause {
            Some(Cause::OwnPrefill) => is_beside,
            Some(Cause::Loss) => looks_lost,
            _ => !is_beside && !looks_lost,
        };
        let is_own = cause == Some(Cause::OwnPrefill);
        self.seen.pauses += 1;
        self.seen.right += u32::from(is_right);
        self.seen.own += u32::from(is_own);
        self.seen.own_recognized += u32::from(is_own && is_right);
    }

    fn count_entries(&mut self) {
        let entries = match self.way {
            Way::History(kept_ms) => {
                self.history.iter().filter(|(start, _)| start + kept_ms >= self.now).count()
            }
            _ => self.sends.upstream_count(),
        };
        self.seen.most_entries = self.seen.most_entries.max(entries);
    }
}

/// Plays ten minutes of an engine at which `own_share` of the requests are the gateway's own.
#[must_use]
pub fn run(way: Way, own_share: f64, seed: u64) -> Seen {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sends = OutstandingSends::default();
    let mut bench = Bench { way, now: 0, sends, history: Vec::new(), seen: Seen::default() };
    let mut queue: VecDeque<Prefill> = VecDeque::new();
    let mut streams: Vec<Stream> = Vec::new();
    for now in 0..MILLIS {
        bench.now = now;
        if rng.random_bool(REQUESTS_PER_MS) {
            let tokens = PROMPT_TOKENS[rng.random_range(0..PROMPT_TOKENS.len())];
            let own = rng.random_bool(own_share).then_some(bench.history.len());
            if own.is_some() {
                bench.sends.start(ENGINE, tokens);
                bench.history.push((now, None));
                bench.count_entries();
            }
            queue.push_back(Prefill { left_ms: u64::from(tokens / PREFILLED_TOKENS_PER_MS), tokens, own });
        }
        let blocker = queue.front_mut().map(|prefill| {
            prefill.left_ms -= 1;
            if prefill.own.is_some() { Cause::OwnPrefill } else { Cause::ForeignPrefill }
        });
        let is_done = queue.front().is_some_and(|prefill| prefill.left_ms == 0);
        let done = if is_done { queue.pop_front() } else { None };
        // An engine's step emits the first event of the prompt and the next ones of the streams in any order.
        let is_first_event_early = rng.random_bool(0.5);
        let begin = |bench: &mut Bench, prefill: &Prefill| -> Option<Stream> {
            let number = prefill.own?;
            bench.sends.record_prefilled(ENGINE, prefill.tokens);
            bench.history[number].1 = Some(now);
            let mut stream = Stream {
                timing: StreamTiming::new(Instant::from_millis(bench.history[number].0)),
                last_totals: SendTotals::default(),
                last_at: now,
                events_left: EVENTS,
                due_in_ms: EVENT_GAP_MS,
                lost_ms: 0,
                blocked_ms: [0; 3],
                longest: (0, None, false),
            };
            bench.event(&mut stream, true);
            Some(stream)
        };
        let mut begun =
            done.as_ref().filter(|_| is_first_event_early).and_then(|done| begin(&mut bench, done));
        for stream in &mut streams {
            if stream.lost_ms > 0 {
                stream.lost_ms -= 1;
                // What was sent meanwhile arrives together.
                stream.due_in_ms = 0;
                stream.blocked_ms[Cause::Loss as usize] += 1;
            } else if let (Some(cause), false) = (blocker, is_done) {
                stream.blocked_ms[cause as usize] += 1;
                continue;
            } else {
                stream.due_in_ms = if is_done { 0 } else { stream.due_in_ms.saturating_sub(1) };
            }
            if stream.lost_ms > 0 || stream.due_in_ms > 0 {
                continue;
            }
            bench.event(stream, false);
            if rng.random_bool(LOSS_PER_EVENT) {
                stream.lost_ms = rng.random_range(LOSS_MS);
            }
        }
        if !is_first_event_early {
            begun = done.as_ref().and_then(|done| begin(&mut bench, done));
        }
        streams.extend(begun);
        streams.retain(|stream| {
            let is_over = stream.events_left == 0;
            if is_over {
                bench.judge(stream);
                bench.sends.end(ENGINE);
            }
            !is_over
        });
    }
    bench.seen
}

/// Measures what one relayed event costs: the clock, the registry behind its lock, and the timing of the stream.
#[must_use]
pub fn event_cost_nanos() -> f64 {
    const UPSTREAMS: u64 = 60;
    const ROUNDS: u32 = 2_000_000;
    let mut sends = OutstandingSends::default();
    (0..UPSTREAMS).for_each(|upstream| sends.start(NameHash(upstream), 1));
    let sends = Mutex::new(sends);
    let mut timing = StreamTiming::new(bendhinge_clock::now());
    let begin = bendhinge_clock::now();
    for round in 0..ROUNDS {
        let totals = sends.lock().unwrap().totals(NameHash(u64::from(round) % UPSTREAMS));
        timing.record_event(bendhinge_clock::now(), totals);
    }
    let elapsed = bendhinge_clock::now().since(begin);
    std::hint::black_box(timing.longest_pause());
    elapsed.as_secs_f64() * 1e9 / f64::from(ROUNDS)
}
