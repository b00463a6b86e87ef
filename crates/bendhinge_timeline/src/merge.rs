//! Merge of event logs into one timeline: in causal order where messages connect events, by wall clock
//! elsewhere. Each entry states which of the two determined its position.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use bendhinge_ids::EventSequence;

use crate::{Event, EventLogPage, ProcessId};

/// Selects the events of a timeline.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Selects the events that carry this request ID, in all processes.
    pub request: Option<String>,
    /// Selects the events whose text contains this.
    pub event_text: Option<String>,
}

/// What determines that an event follows the preceding entry of the timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderBasis {
    /// Both events come from the same process.
    SameProcess,
    /// A chain of messages connects the preceding event to this one.
    MessageChain,
    /// Only the clocks of the two boxes, which may differ.
    WallClock,
}

/// Event at its position in the timeline.
#[derive(Clone, Debug)]
pub struct TimelineEntry {
    /// Process that recorded the event.
    pub process: ProcessId,
    /// Recorded event.
    pub event: Event,
    /// What determines the position.
    pub order_basis: OrderBasis,
}

/// Index of an event in the merged pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct EventPosition {
    page: usize,
    event: usize,
}

/// Happens-before graph of the events: sequence within a process, and messages between processes.
struct CausalGraph<'a> {
    pages: &'a [EventLogPage],
    predecessors: HashMap<EventPosition, Vec<EventPosition>>,
    successors: HashMap<EventPosition, Vec<EventPosition>>,
}

impl<'a> CausalGraph<'a> {
    fn new(pages: &'a [EventLogPage]) -> Self {
        let mut graph = Self { pages, predecessors: HashMap::new(), successors: HashMap::new() };
        let by_sequence = index_by_sequence(pages);
        for position in event_positions(pages) {
            if position.event > 0 {
                graph.add_edge(EventPosition { event: position.event - 1, ..position }, position);
            }
            let cause = graph.event(position).cause.as_ref();
            let cause = cause.and_then(|link| by_sequence.get(&(&link.process, link.sequence)));
            if let Some(cause) = cause {
                graph.add_edge(*cause, position);
            }
        }
        graph
    }

    fn add_edge(&mut self, first: EventPosition, second: EventPosition) {
        self.predecessors.entry(second).or_default().push(first);
        self.successors.entry(first).or_default().push(second);
    }

    fn event(&self, position: EventPosition) -> &'a Event {
        &self.pages[position.page].events[position.event]
    }

    /// Returns all events with causes ahead of their effects. Ties are broken by wall clock.
    fn topological_order(&self) -> Vec<EventPosition> {
        let mut pending_causes: HashMap<EventPosition, usize> = HashMap::new();
        let mut ready = BinaryHeap::new();
        for position in event_positions(self.pages) {
            let cause_count = self.predecessors.get(&position).map_or(0, Vec::len);
            pending_causes.insert(position, cause_count);
            if cause_count == 0 {
                ready.push(Reverse((self.event(position).at_micros, position)));
            }
        }
        let mut ordered = Vec::new();
        while let Some(Reverse((_, position))) = ready.pop() {
            ordered.push(position);
            for next in self.successors.get(&position).into_iter().flatten() {
                let cause_count =
                    pending_causes.get_mut(next).expect("pending_causes has an entry for every event");
                *cause_count -= 1;
                if *cause_count == 0 {
                    ready.push(Reverse((self.event(*next).at_micros, *next)));
                }
            }
        }
        ordered
    }

    /// Whether a chain of messages connects `first` to `second`.
    fn has_path(&self, first: EventPosition, second: EventPosition) -> bool {
        let mut visited = HashSet::new();
        let mut stack = vec![second];
        while let Some(position) = stack.pop() {
            if position.page == first.page && position.event <= first.event {
                // A path from an earlier event of the same process is no path from `first`.
                if position == first {
                    return true;
                }
                continue;
            }
            if visited.insert(position) {
                stack.extend(self.predecessors.get(&position).into_iter().flatten().copied());
            }
        }
        false
    }

    fn order_basis(&self, previous: Option<EventPosition>, position: EventPosition) -> OrderBasis {
        match previous {
            None => OrderBasis::SameProcess,
            Some(previous) if previous.page == position.page => OrderBasis::SameProcess,
            Some(previous) if self.has_path(previous, position) => OrderBasis::MessageChain,
            Some(_) => OrderBasis::WallClock,
        }
    }
}

fn event_positions(pages: &[EventLogPage]) -> impl Iterator<Item = EventPosition> {
    let numbered = pages.iter().enumerate();
    numbered.flat_map(|(page, log)| (0..log.events.len()).map(move |event| EventPosition { page, event }))
}

fn index_by_sequence(pages: &[EventLogPage]) -> HashMap<(&ProcessId, EventSequence), EventPosition> {
    let key = |pos: EventPosition| (&pages[pos.page].process, pages[pos.page].events[pos.event].sequence);
    event_positions(pages).map(|position| (key(position), position)).collect()
}

/// Merges event logs into one timeline of the events that match `filter`.
#[must_use]
pub fn merge(pages: &[EventLogPage], filter: &Filter) -> Vec<TimelineEntry> {
    let graph = CausalGraph::new(pages);
    let mut previous = None;
    let mut timeline = Vec::new();
    for position in graph.topological_order() {
        let event = graph.event(position);
        if filter.matches(event) {
            let order_basis = graph.order_basis(previous, position);
            timeline.push(TimelineEntry {
                process: pages[position.page].process.clone(),
                event: event.clone(),
                order_basis,
            });
            previous = Some(position);
        }
    }
    timeline
}

impl Filter {
    fn matches(&self, event: &Event) -> bool {
        let request_matches =
            self.request.as_ref().is_none_or(|wanted| event.request.as_ref() == Some(wanted));
        let kind_matches =
            self.event_text.as_ref().is_none_or(|wanted| event.kind.to_string().contains(wanted.as_str()));
        request_matches && kind_matches
    }
}
