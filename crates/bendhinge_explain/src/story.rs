//! What a request met, and what its gateway believed just then.

use crate::{Entry, Event};

/// How far around a request its gateway's changes of belief are of interest, in milliseconds.
const NEAR_MS: u64 = 5_000;

/// What is known of an upstream from all logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Its name.
    pub name: String,
    /// Sends to it.
    pub sends: usize,
    /// Those that ended without an answer that was passed on, by how they ended.
    pub ends: Vec<(String, usize)>,
    /// How often a gateway spared it.
    pub rests: usize,
}

/// A line of the request's gateway about its beliefs, with how long after the request's arrival
/// it was written, in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Backdrop {
    /// The time; negative before the arrival.
    pub after_ms: i64,
    /// What changed.
    pub event: Event,
}

/// An upstream that crashed under the same request, in this try or in another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// The gateway that noticed it.
    pub gateway: String,
    /// The number of the request in that try.
    pub request: String,
    /// The upstream.
    pub upstream: String,
}

/// What the logs tell of all tries of the same request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SameRequest {
    /// What they have alike.
    pub digest: String,
    /// The crashes under them, in the order of the logs.
    pub crashes: Vec<CrashRecord>,
    /// How many were refused for it.
    pub refused: usize,
}

/// One line about a request, with its surroundings.
#[derive(Clone, Debug, PartialEq)]
pub struct Story {
    /// The line.
    pub entry: Entry,
    /// What its gateway believed around it.
    pub backdrop: Vec<Backdrop>,
    /// The upstreams that it met.
    pub upstreams: Vec<UpstreamRecord>,
    /// The other tries of the same request, if upstreams crashed under one.
    pub same: Option<SameRequest>,
}

/// All that the logs tell of the request numbered `request`.
#[must_use]
pub fn stories(entries: &[Entry], request: &str) -> Vec<Story> {
    let about = entries.iter().filter(|entry| number(&entry.event) == Some(request));
    about.map(|entry| story(entries, entry)).collect()
}

/// What the logs tell of the request of which `event` is a try.
fn same_request(entries: &[Entry], event: &Event) -> Option<SameRequest> {
    let (Event::Request { digest, .. } | Event::Refused { digest, .. }) = event else { return None };
    let digest = digest.as_ref()?;
    let mut same = SameRequest { digest: digest.clone(), ..SameRequest::default() };
    for entry in entries {
        match &entry.event {
            Event::Crash { request, digest: of, upstream } if of == digest => {
                same.crashes.push(CrashRecord {
                    gateway: entry.gateway.clone(),
                    request: request.clone(),
                    upstream: upstream.clone(),
                });
            }
            Event::Refused { digest: Some(of), .. } if of == digest => same.refused += 1,
            _ => {}
        }
    }
    (!same.crashes.is_empty()).then_some(same)
}

fn number(event: &Event) -> Option<&str> {
    match event {
        Event::Request { request, .. } | Event::Refused { request, .. } => Some(request),
        _ => None,
    }
}

fn story(entries: &[Entry], entry: &Entry) -> Story {
    let arrived = arrival(entry);
    let of_gateway = entries.iter().filter(|other| other.gateway == entry.gateway);
    let backdrop = of_gateway.filter(|other| is_belief(&other.event) && other.t.abs_diff(arrived) <= NEAR_MS);
    let backdrop = backdrop.map(|other| Backdrop {
        after_ms: other.t.cast_signed() - arrived.cast_signed(),
        event: other.event.clone(),
    });
    let mut met: Vec<&str> = Vec::new();
    if let Event::Request { sends, .. } = &entry.event {
        for send in sends {
            if !met.contains(&send.upstream.as_str()) {
                met.push(&send.upstream);
            }
        }
    }
    let upstreams = met.into_iter().map(|upstream| record(entries, upstream)).collect();
    Story {
        entry: entry.clone(),
        backdrop: backdrop.collect(),
        upstreams,
        same: same_request(entries, &entry.event),
    }
}

/// When the request of a line arrived: lines are written when it is over.
fn arrival(entry: &Entry) -> u64 {
    match &entry.event {
        Event::Request { ms, .. } => entry.t.saturating_sub(*ms),
        _ => entry.t,
    }
}

const fn is_belief(event: &Event) -> bool {
    matches!(event, Event::Belief { .. } | Event::Dependency { .. } | Event::LinesDropped { .. })
}

fn record(entries: &[Entry], name: &str) -> UpstreamRecord {
    let mut record = UpstreamRecord { name: name.to_owned(), ..UpstreamRecord::default() };
    for entry in entries {
        match &entry.event {
            Event::Request { sends, .. } => {
                for send in sends.iter().filter(|send| send.upstream == name) {
                    record.sends += 1;
                    if let Some(end) = &send.end {
                        count(&mut record.ends, end);
                    }
                }
            }
            Event::UpstreamRests { upstream, .. } if upstream == name => record.rests += 1,
            _ => {}
        }
    }
    record
}

fn count(ends: &mut Vec<(String, usize)>, end: &str) {
    match ends.iter_mut().find(|(known, _)| known == end) {
        Some((_, times)) => *times += 1,
        None => ends.push((end.to_owned(), 1)),
    }
}
