//! Collection of the log entries that are related to a request.

use crate::concurrent::concurrent_sends;
use crate::{ConcurrentSend, Entry, Event};

/// Maximum distance between a request's arrival and a state change shown in its report, in
/// milliseconds.
const WINDOW_MS: u64 = 5_000;

/// Statistics of an upstream over all logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamSummary {
    /// Name of the upstream.
    pub name: String,
    /// Number of sends to the upstream.
    pub send_count: usize,
    /// Number of sends whose answer was not forwarded, by how they ended.
    pub end_counts: Vec<(String, usize)>,
    /// Number of times that a gateway backed off from the upstream.
    pub backoff_count: usize,
}

/// State change at the request's gateway around the time of the request.
#[derive(Clone, Debug, PartialEq)]
pub struct NearbyEvent {
    /// Time since the request's arrival, in milliseconds; negative before the arrival.
    pub offset_ms: i64,
    /// The logged event.
    pub event: Event,
}

/// Crash of an upstream during any attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// Name of the gateway that detected the crash.
    pub gateway: String,
    /// Request ID of the attempt.
    pub request: String,
    /// Name of the upstream.
    pub upstream: String,
}

/// Crashes and rejections over all attempts of the same request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelatedAttempts {
    /// Digest shared by all attempts.
    pub digest: String,
    /// Crashes caused by the attempts, in log order.
    pub crashes: Vec<CrashRecord>,
    /// Number of attempts rejected because of the crashes.
    pub refused_count: usize,
}

/// A log entry about a request, with related entries.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestReport {
    /// The entry about the request.
    pub entry: Entry,
    /// State changes at the gateway around the time of the request.
    pub nearby_events: Vec<NearbyEvent>,
    /// Statistics of the upstreams that the request was sent to.
    pub upstreams: Vec<UpstreamSummary>,
    /// Other sends of the gateway during the longest pause of the request's stream.
    pub concurrent_sends: Vec<ConcurrentSend>,
    /// All attempts of the same request, if any of them crashed an upstream.
    pub related_attempts: Option<RelatedAttempts>,
}

/// Builds a report for each log entry about the request with the ID `request`.
#[must_use]
pub fn request_reports(entries: &[Entry], request: &str) -> Vec<RequestReport> {
    let matching = entries.iter().filter(|entry| request_id(&entry.event) == Some(request));
    matching.map(|entry| build_report(entries, entry)).collect()
}

/// Collects all attempts with the same digest as `event`.
fn related_attempts(entries: &[Entry], event: &Event) -> Option<RelatedAttempts> {
    let (Event::Request { digest, .. } | Event::Refused { digest, .. }) = event else { return None };
    let digest = digest.as_ref()?;
    let mut related = RelatedAttempts { digest: digest.clone(), ..RelatedAttempts::default() };
    for entry in entries {
        match &entry.event {
            Event::Crash { request, digest: other, upstream } if other == digest => {
                related.crashes.push(CrashRecord {
                    gateway: entry.gateway.clone(),
                    request: request.clone(),
                    upstream: upstream.clone(),
                });
            }
            Event::Refused { digest: Some(other), .. } if other == digest => related.refused_count += 1,
            _ => {}
        }
    }
    (!related.crashes.is_empty()).then_some(related)
}

fn request_id(event: &Event) -> Option<&str> {
    match event {
        Event::Request { request, .. } | Event::Refused { request, .. } => Some(request),
        _ => None,
    }
}

fn build_report(entries: &[Entry], entry: &Entry) -> RequestReport {
    let arrival = arrival_ms(entry);
    let local = entries.iter().filter(|other| other.gateway == entry.gateway);
    let found = local.filter(|other| is_change(&other.event) && other.time_ms.abs_diff(arrival) <= WINDOW_MS);
    let found = found.map(|other| NearbyEvent {
        offset_ms: other.time_ms.cast_signed() - arrival.cast_signed(),
        event: other.event.clone(),
    });
    let mut upstream_names: Vec<&str> = Vec::new();
    if let Event::Request { sends, .. } = &entry.event {
        for send in sends {
            if !upstream_names.contains(&send.upstream.as_str()) {
                upstream_names.push(&send.upstream);
            }
        }
    }
    let upstreams = upstream_names.into_iter().map(|name| summarize_upstream(entries, name)).collect();
    RequestReport {
        entry: entry.clone(),
        nearby_events: found.collect(),
        upstreams,
        concurrent_sends: concurrent_sends(entries, entry),
        related_attempts: related_attempts(entries, &entry.event),
    }
}

/// Computes the arrival time of an entry's request. Requests are logged on completion.
fn arrival_ms(entry: &Entry) -> u64 {
    match &entry.event {
        Event::Request { ms, .. } => entry.time_ms.saturating_sub(*ms),
        _ => entry.time_ms,
    }
}

const fn is_change(event: &Event) -> bool {
    matches!(
        event,
        Event::Belief { .. }
            | Event::Dependency { .. }
            | Event::Partition { .. }
            | Event::LinesDropped { .. }
    )
}

fn summarize_upstream(entries: &[Entry], name: &str) -> UpstreamSummary {
    let mut summary = UpstreamSummary { name: name.to_owned(), ..UpstreamSummary::default() };
    for entry in entries {
        match &entry.event {
            Event::Request { sends, .. } => {
                for send in sends.iter().filter(|send| send.upstream == name) {
                    summary.send_count += 1;
                    if let Some(end) = &send.end {
                        increment_count(&mut summary.end_counts, end);
                    }
                }
            }
            Event::UpstreamRests { upstream, .. } if upstream == name => summary.backoff_count += 1,
            _ => {}
        }
    }
    summary
}

fn increment_count(end_counts: &mut Vec<(String, usize)>, end: &str) {
    match end_counts.iter_mut().find(|(known_end, _)| known_end == end) {
        Some((_, count)) => *count += 1,
        None => end_counts.push((end.to_owned(), 1)),
    }
}
