//! Merging records of processes whose clocks differ.

use bendhinge_ids::{EventSequence, Incarnation};
use bendhinge_timeline::{
    Event, EventKind, EventLink, Filter, Order, ProcessId, RecordPage, lines, merge, svg,
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

fn page(name: &str, events: Vec<Event>) -> RecordPage {
    RecordPage { process: process(name), lost: 0, events }
}

/// The asked router's clock is an hour behind: its answer still stands between question and
/// receipt, and the line says by what right.
#[test]
fn messages_order_what_clocks_do_not() {
    const HOUR: u64 = 3_600_000_000;
    let asker =
        page("a", vec![event(1, HOUR, None, "asked"), event(2, HOUR + 500, Some(("b", 7)), "answered")]);
    let asked = page("b", vec![event(6, 10, None, "earlier"), event(7, 20, Some(("a", 1)), "granted")]);
    let line = merge(&[asker, asked], &Filter::default());
    let text = lines(&line);
    let position = |word: &str| text.iter().position(|line| line.contains(word)).unwrap();
    assert!(
        position("asked") < position("granted") && position("granted") < position("answered"),
        "{text:#?}"
    );
    assert_eq!(line[position("granted")].order, Order::Message);
    assert_eq!(line[position("answered")].order, Order::Message);
    assert_eq!(line[position("asked")].order, Order::Clocks, "nothing ties it to what b did before");
}

#[test]
fn a_filter_keeps_causal_order() {
    let mut other = event(2, 50, None, "unrelated");
    other.request = Some("r2".to_owned());
    let first = page("a", vec![event(1, 100, None, "asked"), other]);
    let second = page("b", vec![event(1, 1, Some(("a", 1)), "granted")]);
    let filter = Filter { request: Some("r1".to_owned()), kind: None };
    let line = merge(&[first, second], &filter);
    assert_eq!(line.len(), 2);
    assert!(lines(&line)[1].contains("granted"));
}

/// A cause that made room in its process's record is gone; the rest is still merged.
#[test]
fn a_lost_cause_is_no_obstacle() {
    let line = merge(&[page("b", vec![event(7, 20, Some(("a", 1)), "granted")])], &Filter::default());
    assert_eq!(line.len(), 1);
}

#[test]
fn a_picture_shows_every_event_and_message() {
    let asker = page("a", vec![event(1, 100, None, "<asked>")]);
    let asked = page("b", vec![event(7, 120, Some(("a", 1)), "granted")]);
    let picture = svg(&merge(&[asker, asked], &Filter::default()));
    assert_eq!(picture.matches("<circle").count(), 2);
    assert_eq!(picture.matches("#c33").count(), 1);
    assert!(picture.contains("&lt;asked&gt;"), "texts are escaped");
}
