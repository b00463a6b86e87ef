//! Relays event streams to callers. An interrupted stream is resumed at another upstream or visibly
//! truncated.

use std::io;
use std::time::Duration;

use bendhinge_codes::Ran;
use bendhinge_delivery::{BodyEnd, CompleteEvents, EventSplitter, SendOutcome, StreamTiming};
use bendhinge_ids::{Instant, NameHash};
use bytes::Bytes;
use futures_lite::FutureExt;
use smol::Timer;

use super::Delivery;
use super::crash::has_crashed_at_close;
use super::cut::{Cut, CutCause, ResumeObstacle};
use super::race::PendingSend;
use super::race_timer::RaceTimer;
use super::stream_race::RaceEnd;
use super::stream_source::{ResponseSource, SourceRead, StreamSource};
use crate::lifecycle::InProgress;
use crate::metrics::{ResumedSoftware, Resumer};

/// A stream that is relayed to a caller. Dropping it, as when the caller disconnects, also drops the upstream
/// connection, which cancels the request there.
pub(super) struct Relay {
    pub(super) delivery: Delivery,
    pub(super) events: EventSplitter,
    pub(super) timing: StreamTiming,
    pub(super) source: Option<StreamSource>,
    /// The send that raced the one that responded first, until a source sends an event.
    pub(super) hedge: Option<PendingSend>,
    pub(super) race_timer: RaceTimer,
    /// Why no other source was found when the current one was silent.
    pub(super) obstacle: Option<ResumeObstacle>,
    /// Whether the next event is awaited; if not, the caller has not taken the last ones yet.
    is_awaiting_event: bool,
    /// Since when data of the source is awaited.
    pub(super) awaited_since: Instant,
    /// Whether the previous upstream had resumed the stream with an unframed response without events.
    previous_was_empty: bool,
    is_finished: bool,
    /// The software of the upstream that sent the first event.
    software: Option<NameHash>,
    _in_progress: InProgress,
}

impl Relay {
    pub(super) fn new(
        delivery: Delivery,
        source: StreamSource,
        hedge: Option<PendingSend>,
        in_progress: InProgress,
    ) -> Self {
        let events = EventSplitter::default();
        let timing = StreamTiming::new(delivery.inbound.received_at);
        let race_timer = RaceTimer::new(delivery.inbound.route.target_gap);
        Self {
            delivery,
            events,
            timing,
            source: Some(source),
            hedge,
            race_timer,
            obstacle: None,
            is_awaiting_event: false,
            awaited_since: bendhinge_clock::now(),
            previous_was_empty: false,
            is_finished: false,
            software: None,
            _in_progress: in_progress,
        }
    }

    /// Returns the next complete events, `None` at the end, or `Err` to truncate the response visibly.
    pub(super) async fn next_events(&mut self) -> Option<io::Result<Bytes>> {
        self.is_awaiting_event = true;
        self.await_data();
        while !self.is_finished {
            match self.read().await {
                // Bytes that complete no event do not end the wait for one.
                SourceRead::Data(None) => {}
                SourceRead::Data(Some(events)) => return Some(Ok(self.relay(events))),
                SourceRead::Ended(end) => {
                    let end = self.confirm_end(end);
                    let end = self.verify_end(end).await;
                    if end == BodyEnd::Complete {
                        return self.finish();
                    }
                    let cause = self.cut_cause(end);
                    let silence = bendhinge_clock::now().since(self.awaited_since);
                    if let Err(obstacle) = self.resume_elsewhere(end).await {
                        return Some(Err(self.truncate(Cut { cause, silence, obstacle })));
                    }
                }
            }
        }
        None
    }

    /// Reads from the source until the deadline. If the source is silent, another one may replace it.
    async fn read(&mut self) -> SourceRead {
        let mut was_silent = false;
        let read = loop {
            if self.hedge.is_none() {
                let time_left = self.delivery.inbound.time_left();
                let send_due = self.race_timer.remaining().filter(|_| self.may_race());
                let timeout = send_due.map_or(time_left, |send_due| send_due.min(time_left));
                if let Some(read) = self.read_within(timeout).await {
                    break read;
                }
                if send_due.is_none() || self.delivery.inbound.time_left().is_zero() {
                    return SourceRead::Ended(BodyEnd::TimedOut);
                }
                was_silent = true;
            }
            match self.race().await {
                RaceEnd::Source(read) => break read,
                RaceEnd::Replaced(first) => return SourceRead::Data(Some(first)),
                RaceEnd::ReplacedAtEnd => return SourceRead::Ended(BodyEnd::Complete),
                RaceEnd::NotReplaced => {}
            }
        };
        if was_silent && matches!(read, SourceRead::Data(_)) {
            self.record_revival();
        }
        read
    }

    async fn read_within(&mut self, timeout: Duration) -> Option<SourceRead> {
        let Some(source) = &mut self.source else { return Some(SourceRead::Ended(BodyEnd::Failed)) };
        let reading = async { Some(source.read(&mut self.events).await) };
        let timer = async {
            Timer::after(timeout).await;
            None
        };
        reading.or(timer).await
    }

    /// Records that the silent upstream goes on, which outweighs the suspicion that its silence has raised.
    fn record_revival(&self) {
        if let Some(StreamSource { sender: ResponseSource::Upstream(send), .. }) = &self.source {
            self.delivery.context.upstreams.record_response(send.chosen.entry.hash);
        }
    }

    /// Starts to measure the silence of the source.
    fn await_data(&mut self) {
        self.awaited_since = bendhinge_clock::now();
        self.race_timer.restart();
    }

    /// Records complete events and returns them for the caller.
    fn relay(&mut self, events: CompleteEvents) -> Bytes {
        if events.count > 0 {
            self.record_event(events.count);
            self.record_first_event();
        }
        match &mut self.source {
            Some(source) => source.take_with_comments(events.bytes),
            None => events.bytes,
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

    /// Returns the end of the current source, `Failed` if its upstream has crashed and only seems to have closed the
    /// connection after a complete stream.
    async fn verify_end(&mut self, end: BodyEnd) -> BodyEnd {
        let Some(StreamSource { sender: ResponseSource::Upstream(send), framing, .. }) = &self.source else {
            return end;
        };
        if end != BodyEnd::Complete || framing.marks_end() {
            return end;
        }
        let silence = bendhinge_clock::now().since(self.awaited_since);
        if !has_crashed_at_close(&self.delivery.context, &send.record.upstream, silence).await {
            return end;
        }
        BodyEnd::Failed
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
        self.record_body_end(BodyEnd::Complete);
        self.record_slot_time();
        self.report_timing();
        if let Some(StreamSource { sender, relayed_events, headers, framing, connection, .. }) =
            self.source.take()
        {
            self.delivery.context.release_connection(&headers, framing, connection);
            match sender {
                ResponseSource::Upstream(_) if relayed_events > 0 => self.delivery.record_success(),
                // An upstream that has nothing left to send has not processed the prompt.
                ResponseSource::Upstream(_) => {
                    self.delivery.context.record_complete_response(&self.delivery.inbound);
                }
                ResponseSource::Gateway(_) => {}
            }
        }
        self.delivery.log_line.clear_resume_code();
        let Delivery { log_line, context, retry_state, .. } = &mut self.delivery;
        log_line.write_answered(&context.log, 200, None, retry_state);
        let rest = self.events.take_rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Returns what ended the current source if nothing goes on with the stream.
    fn cut_cause(&self, end: BodyEnd) -> CutCause {
        // Only upstreams are raced with, and only a race leaves no source.
        let is_upstream = self.source.as_ref().is_none_or(|source| source.sender.is_upstream());
        CutCause::of(end, is_upstream)
    }

    /// Resumes the stream at another upstream after the last complete event, because the source has ended.
    async fn resume_elsewhere(&mut self, end: BodyEnd) -> Result<(), ResumeObstacle> {
        if end == BodyEnd::TimedOut {
            self.close_source(end, SendOutcome::TimedOut);
            return Err(self.obstacle.unwrap_or(ResumeObstacle::Deadline));
        }
        if !self.close_source(end, end.outcome()) {
            return Err(ResumeObstacle::Attempts);
        }
        if !self.has_resume_point() {
            return Err(ResumeObstacle::NoEventIds);
        }
        if !self.delivery.try_retry() {
            return Err(ResumeObstacle::RetryBudget);
        }
        self.events = self.events.resumed();
        let resumed = self.delivery.resume(&self.events).await;
        self.delivery.return_unused_retry();
        self.take_over(resumed?);
        Ok(())
    }

    /// Closes the source, if there is one, and records its end. Returns whether the request may be sent again.
    pub(super) fn close_source(&mut self, end: BodyEnd, outcome: SendOutcome) -> bool {
        let Some(source) = self.source.take() else { return self.delivery.retry_state.may_send() };
        self.timing.record_interruption(source.sender.totals());
        let Delivery { context, inbound, .. } = &self.delivery;
        let closed = source.close(context, inbound, end, outcome, self.events.partial_len());
        self.delivery.record_closed(closed)
    }

    /// Goes on with the stream from `source`.
    pub(super) fn take_over(&mut self, source: StreamSource) {
        self.count_resumption(&source.sender);
        self.source = Some(source);
        self.await_data();
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
    pub(super) fn has_resume_point(&self) -> bool {
        self.timing.first_event().is_none() || self.events.last_id().is_some()
    }

    fn truncate(&mut self, cut: Cut) -> io::Error {
        self.is_finished = true;
        self.delivery.record_cut(&cut);
        self.record_abandonment();
        self.source = None;
        self.report_timing();
        let Delivery { log_line, context, retry_state, .. } = &mut self.delivery;
        log_line.write_answered(&context.log, 200, Some(cut.cause.code()), retry_state);
        io::Error::other("the upstream's event stream was interrupted")
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_finished {
            self.record_abandonment();
            self.report_timing();
            let Delivery { log_line, context, .. } = &mut self.delivery;
            log_line.write_dropped(&context.log, Ran::Yes);
        }
    }
}
