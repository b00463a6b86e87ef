//! Requests that a gateway sent to a stream's upstream and that had no first event yet during the stream's longest pause.

use crate::{Entry, Event, SendAttempt, StreamMeasurements};

/// Maximum number of requests that are named in a report.
const MAX_NAMED: usize = 5;

/// A send beside a stream. Times are in milliseconds from the arrival of the stream's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConcurrentSend {
    /// ID of the request.
    pub request: String,
    /// Time of the send.
    pub sent_ms: i64,
    /// Time of the first event; `None` if there was none.
    pub first_event_ms: Option<i64>,
}

/// Finds the requests beside the longest pause of `entry`'s stream, the earliest sends first, as far as the logs have
/// their lines. Only those of the same gateway count, whose clock is the same.
pub(crate) fn concurrent_sends(entries: &[Entry], entry: &Entry) -> Vec<ConcurrentSend> {
    let Event::Request { request, sends, stream, ms, .. } = &entry.event else { return Vec::new() };
    let StreamMeasurements {
        pause_ms: Some(length), pause_at_ms: Some(begin), beside_requests: Some(_), ..
    } = stream
    else {
        return Vec::new();
    };
    let Some(upstream) = relayed_send(sends).map(|send| send.upstream.as_str()) else { return Vec::new() };
    let arrival = entry.time_ms.saturating_sub(*ms);
    let (begin, end) = (signed(*begin), signed(begin.saturating_add(*length)));
    let others = entries.iter().filter(|other| other.gateway == entry.gateway);
    let sends = others.filter_map(|other| other_send(other, request, upstream, arrival));
    let overlapping = sends.filter(|(send, settled_ms)| send.sent_ms <= end && *settled_ms >= begin);
    let mut found: Vec<ConcurrentSend> = overlapping.map(|(send, _)| send).collect();
    found.sort_by_key(|send| send.sent_ms);
    found.truncate(MAX_NAMED);
    found
}

/// Returns the send that was relayed, or the last one if the stream was interrupted.
fn relayed_send(sends: &[SendAttempt]) -> Option<&SendAttempt> {
    sends.iter().rfind(|send| send.end.is_none()).or(sends.last())
}

/// Returns the last send of another request to `upstream`, and when it had its first event or ended.
fn other_send(other: &Entry, request: &str, upstream: &str, arrival: u64) -> Option<(ConcurrentSend, i64)> {
    let Event::Request { request: id, sends, stream, ms, .. } = &other.event else { return None };
    let send = sends.iter().rfind(|send| send.upstream == upstream).filter(|_| id != request)?;
    let offset = signed(other.time_ms).saturating_sub(signed(*ms)).saturating_sub(signed(arrival));
    let at = |millis: u64| offset.saturating_add(signed(millis));
    let first_event_ms = stream.first_event_ms.map(at);
    let concurrent = ConcurrentSend { request: id.clone(), sent_ms: at(send.at_ms), first_event_ms };
    Some((concurrent, first_event_ms.unwrap_or_else(|| at(*ms))))
}

fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}
