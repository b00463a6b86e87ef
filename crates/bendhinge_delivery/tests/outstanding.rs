//! `OutstandingSends` knows which sends to an upstream had no first event yet within a span of time.

use bendhinge_delivery::{OutstandingSends, PromptWork};
use bendhinge_ids::NameHash;

const ENGINE: NameHash = NameHash(1);

/// Guards against missing a prefill that began and ended within the span, of which neither end of the span
/// shows anything.
#[test]
fn send_within_the_span_counts() {
    let mut sends = OutstandingSends::default();
    sends.start(ENGINE, 100);
    sends.record_prefilled(ENGINE, 100);
    let earlier = sends.totals(ENGINE);
    sends.start(ENGINE, 30);
    sends.record_prefilled(ENGINE, 30);
    sends.end(ENGINE);
    let outstanding = sends.totals(ENGINE).outstanding_since(earlier);
    assert_eq!(outstanding, PromptWork { requests: 1, tokens: 30 });
}

/// Guards against blaming the sends to one upstream for pauses at another.
#[test]
fn upstreams_are_separate() {
    let mut sends = OutstandingSends::default();
    sends.start(ENGINE, 100);
    sends.start(NameHash(2), 7);
    let totals = sends.totals(NameHash(2));
    assert_eq!(totals.started, PromptWork { requests: 1, tokens: 7 });
}

/// Guards against a registry that grows with every upstream that there ever was.
#[test]
fn upstream_without_sends_is_forgotten() {
    let mut sends = OutstandingSends::default();
    sends.start(ENGINE, 1);
    sends.start(ENGINE, 2);
    sends.record_prefilled(ENGINE, 1);
    sends.end(ENGINE);
    assert_eq!(sends.upstream_count(), 1);
    sends.record_prefilled(ENGINE, 2);
    sends.end(ENGINE);
    assert_eq!(sends.upstream_count(), 0);
}

/// Guards against a panic, or an entry that stays, after an end without a start.
#[test]
fn unmatched_ends_are_ignored() {
    let mut sends = OutstandingSends::default();
    sends.record_prefilled(ENGINE, 5);
    sends.end(ENGINE);
    assert_eq!(sends.upstream_count(), 0);
}

/// A send with its span without a first event, in steps of a virtual clock.
struct Send {
    started: u32,
    prefilled: u32,
    tokens: u32,
}

/// The totals give the same result as a search of all sends for those that overlap the span.
#[test]
fn totals_agree_with_a_search_of_all_sends() {
    const STEPS: u32 = 40;
    arbtest::arbtest(|source| {
        let mut sends = Vec::new();
        for _ in 0..source.int_in_range(0..=12_usize)? {
            let started = source.int_in_range(1..=STEPS - 1)?;
            let prefilled = source.int_in_range(started + 1..=STEPS)?;
            sends.push(Send { started, prefilled, tokens: source.int_in_range(0..=50_000)? });
        }
        let from = source.int_in_range(0..=STEPS - 1)?;
        let to = source.int_in_range(from + 1..=STEPS)?;

        let mut registry = OutstandingSends::default();
        // The stream itself, which keeps the totals until its end.
        registry.start(ENGINE, 3);
        registry.record_prefilled(ENGINE, 3);
        let mut earlier = registry.totals(ENGINE);
        for step in 0..=to {
            for send in sends.iter().filter(|send| send.started == step) {
                registry.start(ENGINE, send.tokens);
            }
            for send in sends.iter().filter(|send| send.prefilled == step) {
                registry.record_prefilled(ENGINE, send.tokens);
                registry.end(ENGINE);
            }
            if step == from {
                earlier = registry.totals(ENGINE);
            }
        }
        let overlapping = sends.iter().filter(|send| send.started <= to && send.prefilled > from);
        let mut expected = PromptWork::default();
        for send in overlapping {
            expected.requests += 1;
            expected.tokens += u64::from(send.tokens);
        }
        assert_eq!(registry.totals(ENGINE).outstanding_since(earlier), expected);
        Ok(())
    });
}
