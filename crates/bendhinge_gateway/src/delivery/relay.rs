//! Relays event streams to callers. An interrupted stream is resumed at another upstream or visibly
//! truncated.

use std::io;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_delivery::{BodyEnd, EventSplitter, SendOutcome, SendTotals, StreamTiming};
use bendhinge_http::{BodyFraming, Connection};
use bendhinge_ids::{Instant, NameHash};
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Incoming;
use smol::Timer;

use super::attempt::UpstreamResponse;
use super::cut::{Cut, CutCause, ResumeObstacle};
use super::forward::ForwardedSend;
use super::measured_send::MeasuredSend;
use super::race::SendRecord;
use super::upstream_body::UpstreamBody;
use super::{Delivery, DeliveryError};
use crate::lifecycle::InProgress;
use crate::metrics::{ResumedSoftware, Resumer};
use crate::state::ChosenUpstream;

/// Number of target gaps between events after which a silent stream is resumed at another upstream.
const MAX_SILENT_GAPS: u32 = 3;

/// A stream that is relayed to a caller. Dropping it, as when the caller disconnects, also drops the upstream
/// connection, which cancels the request there.
pub(super) struct Relay {
    delivery: Delivery,
    events: EventSplitter,
    timing: StreamTiming,
    source: Option<StreamSource>,
    /// Whether the next event is awaited; if not, the caller has not taken the last ones yet.
    is_awaiting_event: bool,
    /// When the current source last sent anything, at first when it responded.
    last_data_at: Instant,
    /// Whether the previous upstream had resumed the stream with an unframed response without events.
    previous_was_empty: bool,
    is_finished: bool,
    /// The software of the upstream that sent the first event.
    software: Option<NameHash>,
    _in_progress: InProgress,
}

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

    /// Returns the totals of the sends to the upstream, if it is one.
    fn totals(&self) -> SendTotals {
        match self {
            Self::Upstream(send) => send.measured.totals(),
            Self::Gateway(_) => SendTotals::default(),
        }
    }

    /// Records an event and returns the totals of the sends to the upstream, if it is one.
    fn record_event(&mut self) -> SendTotals {
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
    relayed_events: usize,
    pub(super) headers: HeaderMap,
    pub(super) framing: BodyFraming,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
}

impl StreamSource {
    pub(super) const fn new(
        sender: ResponseSource,
        headers: HeaderMap,
        framing: BodyFraming,
        body: Incoming,
        connection: Connection,
    ) -> Self {
        Self { sender, first_event_after: None, relayed_events: 0, headers, framing, body, connection }
    }
}

/// The result of reading from the upstream.
enum ReadOutcome {
    Bytes(Bytes),
    Ended(BodyEnd),
}

impl Relay {
    pub(super) fn new(delivery: Delivery, source: StreamSource, in_progress: InProgress) -> Self {
        let events = EventSplitter::default();
        let timing = StreamTiming::new(delivery.inbound.received_at);
        Self {
            delivery,
            events,
            timing,
            source: Some(source),
            is_awaiting_event: false,
            last_data_at: bendhinge_clock::now(),
            previous_was_empty: false,
            is_finished: false,
            software: None,
            _in_progress: in_progress,
        }
    }

    /// Returns the next complete events, `None` at the end, or `Err` to truncate the response visibly.
    pub(super) async fn next_events(&mut self) -> Option<io::Result<Bytes>> {
        self.is_awaiting_event = true;
        while !self.is_finished {
            match self.read().await {
                ReadOutcome::Bytes(bytes) => {
                    self.last_data_at = bendhinge_clock::now();
                    if let Some(events) = self.events.feed(&bytes) {
                        if events.count > 0 {
                            self.record_event(events.count);
                            self.record_first_event();
                        }
                        return Some(Ok(events.bytes));
                    }
                }
                ReadOutcome::Ended(end) => {
                    let end = self.confirm_end(end);
                    self.record_body_end(end);
                    let failure = match end {
                        BodyEnd::Complete => return self.finish(),
                        BodyEnd::MidEvent | BodyEnd::Empty | BodyEnd::Failed => SendOutcome::Lost,
                        BodyEnd::TimedOut => SendOutcome::TimedOut,
                    };
                    let cause = self.cut_cause(end);
                    let silence = bendhinge_clock::now().since(self.last_data_at);
                    if let Err(obstacle) = self.resume_elsewhere(failure).await {
                        return Some(Err(self.truncate(Cut { cause, silence, obstacle })));
                    }
                }
            }
        }
        None
    }

    async fn read(&mut self) -> ReadOutcome {
        let timeout = self.read_timeout();
        let Some(source) = &mut self.source else { return ReadOutcome::Ended(BodyEnd::Failed) };
        let events = &self.events;
        let reading = async {
            match source.body.frame().await {
                None => ReadOutcome::Ended(BodyEnd::at_end(
                    source.framing.marks_end(),
                    !events.has_events(),
                    events.is_mid_event(),
                )),
                Some(Err(_)) => ReadOutcome::Ended(BodyEnd::Failed),
                Some(Ok(frame)) => ReadOutcome::Bytes(frame.into_data().unwrap_or_default()),
            }
        };
        let timer = async {
            Timer::after(timeout).await;
            ReadOutcome::Ended(BodyEnd::TimedOut)
        };
        reading.or(timer).await
    }

    /// Returns how long to wait for the next event: until the request's deadline, or for less if the stream
    /// can be resumed at another upstream.
    fn read_timeout(&self) -> Duration {
        let time_left = self.delivery.inbound.time_left();
        match self.delivery.inbound.route.target_gap {
            Some(gap) if self.delivery.retry_state.allows_hedge() => time_left.min(gap * MAX_SILENT_GAPS),
            _ => time_left,
        }
    }

    /// Records the first event of the current source, after which its prompt is processed.
    fn record_first_event(&mut self) {
        let Some(source) = self.source.as_mut().filter(|source| source.first_event_after.is_none()) else {
            return;
        };
        let ResponseSource::Upstream(send) = &source.sender else { return };
        let wait = bendhinge_clock::now().since(send.chosen.chosen_at);
        source.first_event_after = Some(wait);
        send.chosen.guard.record_first_event();
        let Delivery { context, inbound, .. } = &self.delivery;
        context.admission.record_first_event(&inbound.pool, inbound.request_kind(), wait);
    }

    /// Records how long the complete response took, from which the time that a request holds a slot is learned.
    fn record_slot_time(&self) {
        let Some(source) = &self.source else { return };
        let (Some(first_event), ResponseSource::Upstream(send)) = (source.first_event_after, &source.sender)
        else {
            return;
        };
        let duration = bendhinge_clock::now().since(send.chosen.chosen_at);
        let Delivery { context, inbound, .. } = &self.delivery;
        context.admission.record_end(&inbound.pool, inbound.request_kind(), first_event, duration);
    }

    /// Returns the end of the current source, `Complete` if another one ended alike before. An upstream that has
    /// nothing to send after the last event may only close the connection, which looks like a crash; a second
    /// upstream that does the same confirms it.
    fn confirm_end(&mut self, end: BodyEnd) -> BodyEnd {
        let is_resumed =
            self.events.last_id().is_some() || self.delivery.inbound.fields.resume_after.is_some();
        let is_empty = is_resumed && end == BodyEnd::Empty;
        let is_confirmed = std::mem::replace(&mut self.previous_was_empty, is_empty);
        if is_empty && is_confirmed { BodyEnd::Complete } else { end }
    }

    /// Records how the body of the current source ended.
    fn record_body_end(&mut self, end: BodyEnd) {
        let Some(StreamSource { sender, framing, .. }) = &self.source else { return };
        let Delivery { context, log_line, .. } = &mut self.delivery;
        context.metrics.count_body_end(*framing, end);
        match sender {
            ResponseSource::Upstream(send) => {
                log_line.record_body_end(send.record.number, *framing, end, self.events.partial_len());
            }
            ResponseSource::Gateway(send) => log_line.record_forward_body_end(send.number, end),
        }
    }

    /// Records that `count` events arrived.
    fn record_event(&mut self, count: usize) {
        self.is_awaiting_event = false;
        let Some(source) = &mut self.source else { return };
        source.relayed_events += count;
        if let (None, ResponseSource::Upstream(send)) = (self.software, &source.sender) {
            let software = send.chosen.entry.software;
            self.software = Some(software);
            self.delivery.record_began_software(software);
        }
        let now = bendhinge_clock::now();
        if self.timing.record_event(now, source.sender.record_event()) {
            self.delivery.context.metrics.record_first_event(now.since(self.delivery.inbound.received_at));
        }
    }

    /// Records that the stream is given up before its end. The silence until then is the upstream's only if an
    /// event was awaited.
    fn record_abandonment(&mut self) {
        if !self.is_awaiting_event {
            return;
        }
        if let Some(source) = &self.source {
            self.timing.record_interruption(source.sender.totals());
        }
        self.timing.record_abandonment(bendhinge_clock::now());
    }

    /// Reports what was measured of the stream, before its log line is written.
    fn report_timing(&mut self) {
        if let Some(pause) = self.timing.longest_pause() {
            self.delivery.context.metrics.record_longest_pause(pause.length);
        }
        self.delivery.log_line.set_stream_timing(&self.timing);
    }

    fn finish(&mut self) -> Option<io::Result<Bytes>> {
        self.is_finished = true;
        self.record_slot_time();
        self.report_timing();
        let mut is_from_upstream = false;
        if let Some(StreamSource { sender, headers, framing, connection, .. }) = self.source.take() {
            is_from_upstream = matches!(sender, ResponseSource::Upstream(_));
            self.delivery.context.release_connection(&headers, framing, connection);
        }
        if is_from_upstream {
            self.delivery.record_complete_response();
        }
        let Delivery { log_line, context, retry_state, .. } = &mut self.delivery;
        log_line.write_answered(&context.log, 200, None, retry_state);
        let rest = self.events.take_rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Returns what ended the current source if nothing goes on with the stream.
    fn cut_cause(&self, end: BodyEnd) -> CutCause {
        let is_upstream =
            self.source.as_ref().is_some_and(|source| matches!(source.sender, ResponseSource::Upstream(_)));
        CutCause::of(end, is_upstream, self.delivery.inbound.time_left().is_zero())
    }

    /// Resumes the stream at another upstream after the last complete event.
    async fn resume_elsewhere(&mut self, end: SendOutcome) -> Result<(), ResumeObstacle> {
        // Closes the connection, which cancels the request at the upstream.
        let Some(source) = self.source.take() else { return Err(ResumeObstacle::Attempts) };
        self.timing.record_interruption(source.sender.totals());
        let StreamSource { sender, body, connection, relayed_events, .. } = source;
        drop((body, connection));
        let may_retry = match sender {
            ResponseSource::Upstream(send) => {
                self.delivery.log_line.record_relayed_events(send.record.number, relayed_events);
                self.delivery.record_send_end(&send.record, end)
            }
            ResponseSource::Gateway(send) => {
                self.delivery.fail_forward(send.number, end);
                false
            }
        };
        if !may_retry {
            return Err(ResumeObstacle::Attempts);
        }
        if !self.has_resume_point() {
            return Err(ResumeObstacle::NoEventIds);
        }
        if !self.delivery.try_retry() {
            return Err(ResumeObstacle::RetryBudget);
        }
        self.events.restart();
        let last_event_id = self.events.last_id().map(str::to_owned);
        let last_event_id = last_event_id.or_else(|| self.delivery.inbound.fields.resume_after.clone());
        match self.delivery.next_response(last_event_id.as_deref()).await {
            Ok(UpstreamResponse { source, head, body: UpstreamBody::Stream(body, framing, connection) }) => {
                self.count_resumption(&source);
                let source = StreamSource::new(source, head.headers, framing, body, connection);
                self.source = Some(source);
                self.last_data_at = bendhinge_clock::now();
                Ok(())
            }
            Ok(_) => Err(ResumeObstacle::SendFailed),
            Err(error) => {
                if let DeliveryError::Code(code) | DeliveryError::RetryLater { code, .. } = error {
                    self.delivery.log_line.set_resume_code(code);
                }
                Err(ResumeObstacle::SendFailed)
            }
        }
    }

    /// Counts that the stream is resumed by `source`, if it has events.
    fn count_resumption(&self, source: &ResponseSource) {
        let (Some(software), ResponseSource::Upstream(send)) = (self.software, source) else { return };
        let resumed = if send.chosen.entry.software == software {
            ResumedSoftware::Same
        } else {
            ResumedSoftware::Other
        };
        self.delivery.context.metrics.count_resumption(Resumer::Gateway, resumed);
    }

    /// Whether the stream can be resumed: it has no events yet, or its events have IDs.
    fn has_resume_point(&self) -> bool {
        self.timing.first_event().is_none() || self.events.last_id().is_some()
    }

    fn truncate(&mut self, cut: Cut) -> io::Error {
        self.is_finished = true;
        self.delivery.record_cut(&cut);
        self.record_abandonment();
        self.source = None;
        self.report_timing();
        let Delivery { log_line, context, retry_state, .. } = &mut self.delivery;
        log_line.write_answered(&context.log, 200, Some(ResultCode::AnswerCutShort), retry_state);
        io::Error::other("the upstream's event stream was interrupted")
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_finished {
            self.record_abandonment();
            self.report_timing();
            let Delivery { log_line, context, retry_state, .. } = &mut self.delivery;
            log_line.write_dropped(&context.log, retry_state);
        }
    }
}
