//! Merging records: in causal order where messages tie events, by clocks elsewhere, and honest
//! about which of the two it was.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use bendhinge_ids::EventSequence;

use crate::{Event, ProcessId, RecordPage};

/// Which events are wanted.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Only those of this request, and what other processes did on its behalf.
    pub request: Option<String>,
    /// Only those whose name contains this.
    pub kind: Option<String>,
}

/// How an event's place after the one before it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// One process recorded both.
    SameProcess,
    /// A chain of messages leads from one to the other.
    Message,
    /// Only by the two boxes' clocks, which may differ.
    Clocks,
}

/// An event with its place.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The process that recorded it.
    pub process: ProcessId,
    /// The event.
    pub event: Event,
    /// How its place is known.
    pub order: Order,
}

/// An event's place in the records: which record, which event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Place {
    record: usize,
    event: usize,
}

struct Graph<'a> {
    records: &'a [RecordPage],
    before: HashMap<Place, Vec<Place>>,
    after: HashMap<Place, Vec<Place>>,
}

impl<'a> Graph<'a> {
    fn new(records: &'a [RecordPage]) -> Self {
        let mut graph = Self { records, before: HashMap::new(), after: HashMap::new() };
        let by_number = index(records);
        for place in places(records) {
            if place.event > 0 {
                graph.tie(Place { event: place.event - 1, ..place }, place);
            }
            let cause = graph.event(place).cause.as_ref();
            let cause = cause.and_then(|link| by_number.get(&(&link.process, link.sequence)));
            if let Some(cause) = cause {
                graph.tie(*cause, place);
            }
        }
        graph
    }

    fn tie(&mut self, first: Place, second: Place) {
        self.before.entry(second).or_default().push(first);
        self.after.entry(first).or_default().push(second);
    }

    fn event(&self, place: Place) -> &'a Event {
        &self.records[place.record].events[place.event]
    }

    /// All events so that causes stand before effects; by clocks where nothing else decides.
    fn sorted(&self) -> Vec<Place> {
        let mut waiting: HashMap<Place, usize> = HashMap::new();
        let mut ready = BinaryHeap::new();
        for place in places(self.records) {
            let causes = self.before.get(&place).map_or(0, Vec::len);
            waiting.insert(place, causes);
            if causes == 0 {
                ready.push(Reverse((self.event(place).at_micros, place)));
            }
        }
        let mut sorted = Vec::new();
        while let Some(Reverse((_, place))) = ready.pop() {
            sorted.push(place);
            for next in self.after.get(&place).into_iter().flatten() {
                let causes = waiting.get_mut(next).expect("every event was counted");
                *causes -= 1;
                if *causes == 0 {
                    ready.push(Reverse((self.event(*next).at_micros, *next)));
                }
            }
        }
        sorted
    }

    /// Whether a chain of messages leads from `first` to `second`.
    fn leads(&self, first: Place, second: Place) -> bool {
        let mut seen = HashSet::new();
        let mut open = vec![second];
        while let Some(place) = open.pop() {
            if place.record == first.record && place.event <= first.event {
                // Reaching an earlier event of the same process does not tie the later one.
                if place == first {
                    return true;
                }
                continue;
            }
            if seen.insert(place) {
                open.extend(self.before.get(&place).into_iter().flatten().copied());
            }
        }
        false
    }

    fn order(&self, previous: Option<Place>, place: Place) -> Order {
        match previous {
            None => Order::SameProcess,
            Some(previous) if previous.record == place.record => Order::SameProcess,
            Some(previous) if self.leads(previous, place) => Order::Message,
            Some(_) => Order::Clocks,
        }
    }
}

fn places(records: &[RecordPage]) -> impl Iterator<Item = Place> {
    let numbered = records.iter().enumerate();
    numbered.flat_map(|(record, page)| (0..page.events.len()).map(move |event| Place { record, event }))
}

fn index(records: &[RecordPage]) -> HashMap<(&ProcessId, EventSequence), Place> {
    let key =
        |place: Place| (&records[place.record].process, records[place.record].events[place.event].sequence);
    places(records).map(|place| (key(place), place)).collect()
}

/// Merges `records` into one time line of the events that `filter` wants.
#[must_use]
pub fn merge(records: &[RecordPage], filter: &Filter) -> Vec<Placed> {
    let graph = Graph::new(records);
    let mut previous = None;
    let mut line = Vec::new();
    for place in graph.sorted() {
        let event = graph.event(place);
        if filter.wants(event) {
            let order = graph.order(previous, place);
            line.push(Placed { process: records[place.record].process.clone(), event: event.clone(), order });
            previous = Some(place);
        }
    }
    line
}

impl Filter {
    fn wants(&self, event: &Event) -> bool {
        let request = self.request.as_ref().is_none_or(|wanted| event.request.as_ref() == Some(wanted));
        let kind = self.kind.as_ref().is_none_or(|wanted| event.kind.to_string().contains(wanted.as_str()));
        request && kind
    }
}
