//! Merge of the event logs of processes whose clocks differ.

use bendhinge_ids::{EventSequence, Incarnation};
use bendhinge_timeline::{
    Event, EventKind, EventLink, EventLogPage, Filter, OrderBasis, ProcessId, merge, render_lines, render_svg,
};

fn process(name: &str) -> ProcessId {
    ProcessId { name: name.to_owned(), incarnation: Incarnation(1) }
}

fn event(sequence: u64, at_micros: u64, cause: Option<(&str, u64)>, upstream: &str) -> Event {
    let cause =
        cause.map(|(name, sequence)| EventLink { process: process(name), sequence: EventSequence(sequence) });
    let kind = EventKind::PermitReceived { upstream: upstream.to_owned() };
    Event { sequence: EventSequence(sequence), at_micros, request: Some("r1".to_owned()), cause, kind }
}

fn page(name: &str, events: Vec<Event>) -> EventLogPage {
    EventLogPage { process: process(name), lost: 0, events }
}

/// Guards against ordering by wall clock where messages connect the events: the granting router's clock is an
/// hour behind.
#[test]
fn messages_take_precedence_over_clocks() {
    const HOUR: u64 = 3_600_000_000;
    let requester =
        page("a", vec![event(1, HOUR, None, "asked"), event(2, HOUR + 500, Some(("b", 7)), "answered")]);
    let grantor = page("b", vec![event(6, 10, None, "earlier"), event(7, 20, Some(("a", 1)), "granted")]);
    let timeline = merge(&[requester, grantor], &Filter::default());
    let text = render_lines(&timeline);
    let position = |word: &str| text.iter().position(|line| line.contains(word)).unwrap();
    assert!(
        position("asked") < position("granted") && position("granted") < position("answered"),
        "{text:#?}"
    );
    assert_eq!(timeline[position("granted")].order_basis, OrderBasis::MessageChain);
    assert_eq!(timeline[position("answered")].order_basis, OrderBasis::MessageChain);
    assert_eq!(
        timeline[position("asked")].order_basis,
        OrderBasis::WallClock,
        "no message connects it to the earlier event of b"
    );
}

#[test]
fn filter_preserves_causal_order() {
    let mut other = event(2, 50, None, "unrelated");
    other.request = Some("r2".to_owned());
    let first = page("a", vec![event(1, 100, None, "asked"), other]);
    let second = page("b", vec![event(1, 1, Some(("a", 1)), "granted")]);
    let filter = Filter { request: Some("r1".to_owned()), event_text: None };
    let timeline = merge(&[first, second], &filter);
    assert_eq!(timeline.len(), 2);
    assert!(render_lines(&timeline)[1].contains("granted"));
}

/// An event whose cause was evicted from the log of its process is still merged.
#[test]
fn event_with_evicted_cause_is_merged() {
    let timeline = merge(&[page("b", vec![event(7, 20, Some(("a", 1)), "granted")])], &Filter::default());
    assert_eq!(timeline.len(), 1);
}

#[test]
fn svg_contains_every_event_and_message() {
    let requester = page("a", vec![event(1, 100, None, "<asked>")]);
    let grantor = page("b", vec![event(7, 120, Some(("a", 1)), "granted")]);
    let image = render_svg(&merge(&[requester, grantor], &Filter::default()));
    assert_eq!(image.matches("<circle").count(), 2);
    assert_eq!(image.matches("#c33").count(), 1);
    assert!(image.contains("&lt;asked&gt;"), "event texts are escaped");
}
