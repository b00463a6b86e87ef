//! `StreamTiming` reports the time to the first event and the longest pause of a stream.

use std::time::Duration;

use bendhinge_delivery::{OutstandingSends, Pause, PromptWork, SendTotals, StreamTiming};
use bendhinge_ids::{Instant, NameHash};

const ENGINE: NameHash = NameHash(1);
const ARRIVAL_MS: u64 = 1_000;
const NO_SENDS: SendTotals = SendTotals {
    started: PromptWork { requests: 0, tokens: 0 },
    prefilled: PromptWork { requests: 0, tokens: 0 },
};

fn at(millis: u64) -> Instant {
    Instant::from_millis(ARRIVAL_MS + millis)
}

fn timing() -> StreamTiming {
    StreamTiming::new(at(0))
}

/// A pause without concurrent sends.
fn pause(offset_ms: u64, length_ms: u64) -> Pause {
    Pause {
        offset: Duration::from_millis(offset_ms),
        length: Duration::from_millis(length_ms),
        concurrent: PromptWork::default(),
    }
}

#[test]
fn first_event_is_counted_from_the_arrival() {
    let mut timing = timing();
    assert!(timing.record_event(at(120), NO_SENDS));
    assert!(!timing.record_event(at(140), NO_SENDS));
    assert_eq!(timing.first_event(), Some(Duration::from_millis(120)));
}

/// Guards against reporting the wait of a stream that never began as its time to the first event.
#[test]
fn stream_without_events_has_nothing_to_report() {
    let mut timing = timing();
    timing.record_interruption(NO_SENDS);
    timing.record_abandonment(at(5_000));
    assert_eq!(timing.first_event(), None);
    assert_eq!(timing.longest_pause(), None);
}

/// Guards against a pause of zero where nothing was measured.
#[test]
fn single_event_has_no_pause() {
    let mut timing = timing();
    timing.record_event(at(30), NO_SENDS);
    assert_eq!(timing.longest_pause(), None);
}

#[test]
fn first_of_equally_long_pauses_is_reported() {
    let mut timing = timing();
    for millis in [10, 20, 260, 280, 520] {
        timing.record_event(at(millis), NO_SENDS);
    }
    assert_eq!(timing.longest_pause(), Some(pause(20, 240)));
}

/// Guards against a measurement that starts anew at each upstream and so misses the very pause of the resumption.
#[test]
fn pause_of_a_resumed_stream_counts() {
    let mut timing = timing();
    timing.record_event(at(10), NO_SENDS);
    timing.record_event(at(30), NO_SENDS);
    timing.record_interruption(NO_SENDS);
    assert!(!timing.record_event(at(430), NO_SENDS));
    timing.record_event(at(450), NO_SENDS);
    assert_eq!(timing.first_event(), Some(Duration::from_millis(10)));
    assert_eq!(timing.longest_pause(), Some(pause(30, 400)));
}

/// Guards against losing what was seen of a stream that breaks off, and the silence in which it was given up.
#[test]
fn interrupted_stream_reports_what_was_seen() {
    let mut timing = timing();
    timing.record_event(at(10), NO_SENDS);
    timing.record_event(at(60), NO_SENDS);
    timing.record_interruption(NO_SENDS);
    timing.record_abandonment(at(70));
    assert_eq!(timing.longest_pause(), Some(pause(10, 50)));
    timing.record_abandonment(at(2_060));
    assert_eq!(timing.longest_pause(), Some(pause(60, 2_000)));
}

/// Guards against counting the stream's own prefill, or one that was over before the pause, as concurrent work.
#[test]
fn only_sends_during_the_pause_are_concurrent() {
    let mut sends = OutstandingSends::default();
    let mut timing = timing();
    sends.start(ENGINE, 2_000);
    sends.start(ENGINE, 500);
    sends.record_prefilled(ENGINE, 2_000);
    timing.record_event(at(100), sends.totals(ENGINE));
    sends.record_prefilled(ENGINE, 500);
    timing.record_event(at(110), sends.totals(ENGINE));
    sends.start(ENGINE, 30_000);
    sends.start(ENGINE, 40);
    sends.record_prefilled(ENGINE, 40);
    timing.record_event(at(400), sends.totals(ENGINE));
    let longest = timing.longest_pause().unwrap();
    assert_eq!(longest.offset, Duration::from_millis(110));
    assert_eq!(longest.concurrent, PromptWork { requests: 2, tokens: 30_040 });
}

/// Guards against mixing the totals of two upstreams: the second one's say nothing about the pause at the first.
#[test]
fn sends_count_up_to_the_interruption() {
    let (first, second) = (ENGINE, NameHash(2));
    let mut sends = OutstandingSends::default();
    let mut timing = timing();
    sends.start(first, 10);
    sends.record_prefilled(first, 10);
    timing.record_event(at(10), sends.totals(first));
    sends.start(first, 700);
    timing.record_interruption(sends.totals(first));
    sends.start(first, 900);
    timing.record_interruption(sends.totals(first));
    for tokens in [10, 5_000, 6_000] {
        sends.start(second, tokens);
    }
    sends.record_prefilled(second, 10);
    timing.record_event(at(300), sends.totals(second));
    assert_eq!(timing.longest_pause().unwrap().concurrent, PromptWork { requests: 1, tokens: 700 });
}

/// The result is that of a search of all events, whatever the times and wherever the stream was interrupted.
#[test]
fn longest_pause_agrees_with_a_search_of_all_events() {
    arbtest::arbtest(|source| {
        let mut timing = timing();
        let mut events = Vec::new();
        let mut now = 0;
        for _ in 0..source.int_in_range(0..=30_usize)? {
            now += source.int_in_range(0..=900)?;
            timing.record_event(at(now), NO_SENDS);
            events.push(now);
            if source.arbitrary()? {
                timing.record_interruption(NO_SENDS);
            }
        }
        let pauses = events.windows(2).map(|pair| (pair[0], pair[1] - pair[0]));
        let longest = pauses.reduce(|longest, next| if next.1 > longest.1 { next } else { longest });
        assert_eq!(timing.longest_pause(), longest.map(|(offset, length)| pause(offset, length)));
        assert_eq!(timing.first_event(), events.first().map(|first| Duration::from_millis(*first)));
        Ok(())
    });
}

/// Guards against a clock that steps back between two readings, which must give no pause and no panic.
#[test]
fn earlier_time_is_no_pause() {
    let mut timing = timing();
    timing.record_event(at(50), NO_SENDS);
    timing.record_event(at(20), NO_SENDS);
    assert_eq!(timing.longest_pause(), Some(pause(50, 0)));
}
