//! The likely cause of a stream's longest pause.

use std::ops::RangeInclusive;

use serde::Deserialize;

use crate::SendAttempt;

/// Length of a pause in which one packet was lost and sent again, in milliseconds. TCP waits for at least 200 ms; the
/// time to the upstream and the usual gap between events come on top.
const RETRANSMISSION_MS: RangeInclusive<u64> = 200..=250;

/// What a gateway measured of a stream. Lines of other requests, and of older gateways, have none of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct StreamMeasurements {
    /// Time from the request's arrival to the first event, in milliseconds.
    pub first_event_ms: Option<u64>,
    /// Longest pause between events, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Time from the request's arrival to the begin of that pause, in milliseconds.
    pub pause_at_ms: Option<u64>,
    /// Number of other sends of the gateway to the upstream that had no first event yet during that pause.
    pub beside_requests: Option<u64>,
    /// Number of prompt tokens of these sends.
    pub beside_tokens: Option<u64>,
}

/// The likely cause of a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseCause {
    /// The stream was interrupted and resumed at another upstream.
    Resumption,
    /// The gateway had sent other requests to the upstream that had no first event yet.
    OtherWork {
        /// Number of these requests.
        requests: u64,
        /// Number of their prompt tokens.
        tokens: u64,
    },
    /// The pause is as long as one retransmission takes.
    Retransmission,
    /// None of these.
    Unknown,
}

/// Returns the likely cause of the longest pause, if there was one. A resumption comes first, because it is known and
/// not merely likely.
#[must_use]
pub fn pause_cause(stream: &StreamMeasurements, sends: &[SendAttempt]) -> Option<PauseCause> {
    let (begin, length) = (stream.pause_at_ms?, stream.pause_ms?);
    let pause = begin..=begin.saturating_add(length);
    if sends.iter().skip(1).any(|send| pause.contains(&send.at_ms)) {
        return Some(PauseCause::Resumption);
    }
    let requests = stream.beside_requests.unwrap_or(0);
    if requests > 0 {
        return Some(PauseCause::OtherWork { requests, tokens: stream.beside_tokens.unwrap_or(0) });
    }
    let is_retransmission = RETRANSMISSION_MS.contains(&length);
    Some(if is_retransmission { PauseCause::Retransmission } else { PauseCause::Unknown })
}
