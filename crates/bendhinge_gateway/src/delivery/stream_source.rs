//! The sources of a relayed stream: an upstream, or another gateway that relays the response of one.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_buffers::Reservation;
use bendhinge_delivery::{BodyEnd, CompleteEvents, EventSplitter, SendOutcome, SendTotals};
use bendhinge_http::{BodyFraming, Connection};
use bendhinge_ids::Instant;
use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Incoming;

use super::forward::ForwardedSend;
use super::measured_send::MeasuredSend;
use super::race::SendRecord;
use super::{Delivery, DeliveryContext, InboundRequest};
use crate::state::ChosenUpstream;

/// A send to an upstream that has responded.
pub(super) struct UpstreamSend {
    pub(super) record: SendRecord,
    pub(super) measured: MeasuredSend,
    /// Counts the request towards the upstream's load until dropped.
    pub(super) chosen: ChosenUpstream,
}

/// Who sends a response.
pub(super) enum ResponseSource {
    Upstream(Box<UpstreamSend>),
    /// Another gateway, which relays the response of an upstream.
    Gateway(ForwardedSend),
}

impl ResponseSource {
    /// Returns the index of the send to the upstream, if it is one.
    pub(super) fn upstream_number(&self) -> Option<usize> {
        match self {
            Self::Upstream(send) => Some(send.record.number),
            Self::Gateway(_) => None,
        }
    }

    /// Returns when the upstream was chosen, if it is one.
    pub(super) fn started_at(&self) -> Option<Instant> {
        match self {
            Self::Upstream(send) => Some(send.record.started_at),
            Self::Gateway(_) => None,
        }
    }

    pub(super) const fn is_upstream(&self) -> bool {
        matches!(self, Self::Upstream(_))
    }

    /// Returns the totals of the sends to the upstream, if it is one.
    pub(super) fn totals(&self) -> SendTotals {
        match self {
            Self::Upstream(send) => send.measured.totals(),
            Self::Gateway(_) => SendTotals::default(),
        }
    }

    /// Records an event and returns the totals of the sends to the upstream, if it is one.
    pub(super) fn record_event(&mut self) -> SendTotals {
        match self {
            Self::Upstream(send) => send.measured.record_event(),
            Self::Gateway(_) => SendTotals::default(),
        }
    }
}

/// The upstream or gateway that currently sends the stream.
pub(super) struct StreamSource {
    pub(super) sender: ResponseSource,
    /// Time from the choice of the upstream to its first event.
    pub(super) first_event_after: Option<Duration>,
    /// The number of its events that were relayed.
    pub(super) relayed_events: usize,
    pub(super) headers: HeaderMap,
    pub(super) framing: BodyFraming,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    /// Comments that arrived while an event was awaited, until they are relayed with it.
    comments: BytesMut,
    max_event_bytes: usize,
    /// Accounts for the incomplete event, and for the comments.
    reservation: Reservation,
}

/// What arrives next from a source.
enum NextFrame {
    Data(Bytes),
    /// The body has ended.
    None,
    Failed,
    /// The memory of the source is needed elsewhere.
    Revoked,
}

/// The result of reading from a source.
pub(super) enum SourceRead {
    /// Data, with what is now complete of it.
    Data(Option<CompleteEvents>),
    Ended(BodyEnd),
}

/// A source that was closed before the stream was complete, and whose end is not recorded for the request yet.
pub(super) struct ClosedSource {
    sender: ClosedSender,
    framing: BodyFraming,
    end: BodyEnd,
    outcome: SendOutcome,
    partial_bytes: usize,
    relayed_events: usize,
}

enum ClosedSender {
    Upstream(SendRecord),
    /// The index of the forward.
    Gateway(usize),
}

impl StreamSource {
    pub(super) fn new(
        context: &DeliveryContext,
        sender: ResponseSource,
        headers: HeaderMap,
        framing: BodyFraming,
        body: Incoming,
        connection: Connection,
    ) -> Self {
        let reservation = context.connection_pool.open_reservation(connection.address);
        Self {
            sender,
            first_event_after: None,
            relayed_events: 0,
            headers,
            framing,
            body,
            connection,
            comments: BytesMut::new(),
            max_event_bytes: context.max_event_bytes,
            reservation,
        }
    }

    /// Reads the next data into `events`. Nothing is lost if the future is dropped before it is ready.
    pub(super) async fn read(&mut self, events: &mut EventSplitter) -> SourceRead {
        let complete = match self.next_frame().await {
            NextFrame::Revoked => return SourceRead::Ended(BodyEnd::OutOfMemory),
            NextFrame::None => {
                return SourceRead::Ended(BodyEnd::at_end(
                    self.framing.marks_end(),
                    !events.has_events(),
                    events.is_mid_event(),
                ));
            }
            NextFrame::Failed => return SourceRead::Ended(BodyEnd::Failed),
            NextFrame::Data(data) => events.feed(&data),
        };
        if complete.as_ref().is_some_and(|complete| complete.count > 0) {
            return SourceRead::Data(complete);
        }
        let buffered = events.buffered_len() + self.comments.len();
        if buffered > self.max_event_bytes {
            return SourceRead::Ended(BodyEnd::TooLarge);
        }
        if self.reservation.resize(buffered).is_err() {
            return SourceRead::Ended(BodyEnd::OutOfMemory);
        }
        SourceRead::Data(complete)
    }

    async fn next_frame(&mut self) -> NextFrame {
        let Self { body, reservation, .. } = self;
        let frame = async {
            match body.frame().await {
                None => NextFrame::None,
                Some(Err(_)) => NextFrame::Failed,
                Some(Ok(frame)) => NextFrame::Data(frame.into_data().unwrap_or_default()),
            }
        };
        let revoked = async {
            reservation.revoked().await;
            NextFrame::Revoked
        };
        frame.or(revoked).await
    }

    /// Reads until an event is complete or the body ends. Comments are kept until then: they show that the source is
    /// alive, not that the stream goes on.
    pub(super) async fn read_event(&mut self, events: &mut EventSplitter) -> SourceRead {
        loop {
            match self.read(events).await {
                SourceRead::Data(None) => {}
                SourceRead::Data(Some(complete)) if complete.count == 0 => {
                    self.comments.extend_from_slice(&complete.bytes);
                }
                read => return read,
            }
        }
    }

    /// Returns the bytes of `events` for the caller, after the comments that preceded them.
    pub(super) fn take_with_comments(&mut self, events: Bytes) -> Bytes {
        // The source is not read until the caller has taken the events, so its memory cannot be revoked meanwhile. At most
        // one read is left of it.
        let _ = self.reservation.resize(0);
        if self.comments.is_empty() {
            return events;
        }
        self.comments.extend_from_slice(&events);
        self.comments.split().freeze()
    }

    /// Closes the connection, which cancels the request there, and records the end for the upstream. `partial_bytes` is
    /// what the source has sent of an incomplete event.
    pub(super) fn close(
        self,
        context: &Arc<DeliveryContext>,
        inbound: &Arc<InboundRequest>,
        end: BodyEnd,
        outcome: SendOutcome,
        partial_bytes: usize,
    ) -> ClosedSource {
        let Self { sender, first_event_after, relayed_events, framing, body, connection, .. } = self;
        drop((body, connection));
        context.metrics.count_body_end(framing, end);
        let sender = match sender {
            ResponseSource::Upstream(send) => {
                let UpstreamSend { mut record, measured, chosen } = *send;
                record.first_event_at = first_event_after.map(|after| record.started_at + after);
                // While it is counted, the request shows that the upstream runs.
                drop((measured, chosen));
                context.record_upstream_end(inbound, &record, outcome);
                ClosedSender::Upstream(record)
            }
            ResponseSource::Gateway(send) => ClosedSender::Gateway(send.number),
        };
        ClosedSource { sender, framing, end, outcome, partial_bytes, relayed_events }
    }
}

impl Delivery {
    /// Records the end of a closed source for the request; returns whether another send may follow.
    pub(super) fn record_closed(&mut self, closed: ClosedSource) -> bool {
        let ClosedSource { sender, framing, end, outcome, partial_bytes, relayed_events } = closed;
        match sender {
            ClosedSender::Upstream(record) => {
                self.log_line.record_body_end(record.number, framing, end, partial_bytes);
                self.log_line.record_relayed_events(record.number, relayed_events);
                self.record_request_end(&record, outcome)
            }
            ClosedSender::Gateway(number) => {
                self.log_line.record_forward_body_end(number, end);
                self.fail_forward(number, outcome);
                false
            }
        }
    }
}
