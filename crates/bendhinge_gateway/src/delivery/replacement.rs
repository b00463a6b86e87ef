//! Replaces the upstream of a stream that has fallen silent. The silent one is read until another one has sent an event:
//! sound upstreams fall silent, too, and the other send may be denied or fail.

use std::time::Duration;

use bendhinge_delivery::{BodyEnd, CompleteEvents, EventSplitter, SendOutcome};
use bendhinge_ids::Instant;
use futures_lite::FutureExt;
use smol::Timer;

use super::attempt::UpstreamResponse;
use super::cut::ResumeObstacle;
use super::relay::Relay;
use super::stream_source::{ResponseSource, SourceRead, StreamSource};
use super::upstream_body::UpstreamBody;
use super::{Delivery, DeliveryError};

/// Number of target gaps without data after which a stream is requested from another upstream, too.
const MAX_SILENT_GAPS: u32 = 3;

/// A source that can go on with a stream.
pub(super) struct Replacement {
    source: StreamSource,
    events: EventSplitter,
    /// Its first events; `None` if it is complete without any.
    first: Option<CompleteEvents>,
}

/// What happened while a stream was requested from another upstream, too.
pub(super) enum RaceOutcome {
    /// The current source sent data or ended first.
    Source(SourceRead),
    /// Another source has replaced it.
    Replaced(Option<CompleteEvents>),
    /// There is no other source for now.
    NotReplaced,
}

/// When a silent source should be replaced.
pub(super) struct ReplacementTimer {
    target_gap: Option<Duration>,
    due_at: Option<Instant>,
}

impl ReplacementTimer {
    pub(super) fn new(target_gap: Option<Duration>) -> Self {
        let target_gap = target_gap.filter(|gap| !gap.is_zero());
        let mut timer = Self { target_gap, due_at: None };
        timer.restart();
        timer
    }

    /// Starts anew after data.
    pub(super) fn restart(&mut self) {
        self.due_at = self.target_gap.map(|gap| bendhinge_clock::now() + gap * MAX_SILENT_GAPS);
    }

    /// Waits one more target gap after an attempt that failed.
    fn back_off(&mut self) {
        self.due_at = self.target_gap.map(|gap| bendhinge_clock::now() + gap);
    }

    /// Returns the time until the source should be replaced; `None` if it never should.
    pub(super) fn remaining(&self) -> Option<Duration> {
        self.due_at.map(|due_at| due_at.since(bendhinge_clock::now()))
    }
}

impl Relay {
    /// Whether the stream may be requested from another upstream while the current source is still read.
    pub(super) fn may_race(&self) -> bool {
        let retry_state = &self.delivery.retry_state;
        retry_state.may_send()
            && retry_state.allows_hedge()
            && self.has_resume_point()
            && self.source.as_ref().is_some_and(|source| source.sender.is_upstream())
    }

    /// Requests the stream from another upstream and waits until either source sends an event. The other one is then
    /// closed, which cancels the request there.
    pub(super) async fn race_replacement(&mut self) -> RaceOutcome {
        let sends_before = self.delivery.started_sends;
        if !self.delivery.try_retry() {
            self.replacement_timer.back_off();
            return RaceOutcome::NotReplaced;
        }
        self.delivery.retry_state.set_response_held(true);
        let (source_read, replacement) = self.race().await;
        self.delivery.retry_state.set_response_held(false);
        self.delivery.return_unused_retry(sends_before);
        match (replacement, source_read) {
            (Some(Ok(replacement)), source_read) => {
                let end = match source_read {
                    Some(SourceRead::Ended(end)) => end,
                    _ => BodyEnd::TimedOut,
                };
                RaceOutcome::Replaced(self.adopt(*replacement, end))
            }
            (_, Some(read)) => {
                self.cancel_replacement();
                RaceOutcome::Source(read)
            }
            (_, None) => {
                self.cancel_replacement();
                self.replacement_timer.back_off();
                RaceOutcome::NotReplaced
            }
        }
    }

    /// Runs the race until the deadline. If the source fails, the replacement is still waited for.
    async fn race(&mut self) -> (Option<SourceRead>, Option<Result<Box<Replacement>, ResumeObstacle>>) {
        let Self { delivery, source, events, .. } = self;
        let Some(source) = source.as_mut() else { return (None, None) };
        let deadline = delivery.inbound.deadline;
        let mut replacing = Box::pin(delivery.replacement(events.resumed()));
        let source_read = async { RaceStep::Source(read_to_event(source, events).await) };
        let replaced = async { RaceStep::Replacement((&mut replacing).await) };
        let timed_out = async {
            sleep_until(deadline).await;
            RaceStep::Source(SourceRead::Ended(BodyEnd::TimedOut))
        };
        match source_read.or(replaced).or(timed_out).await {
            RaceStep::Replacement(result) => (None, Some(result)),
            RaceStep::Source(SourceRead::Ended(end)) if end.is_failure() => {
                let timed_out = async {
                    sleep_until(deadline).await;
                    Err(ResumeObstacle::Deadline)
                };
                let result = replacing.or(timed_out).await;
                (Some(SourceRead::Ended(end)), Some(result))
            }
            RaceStep::Source(read) => (Some(read), None),
        }
    }

    /// Records that the sends to other upstreams were cancelled because the current source goes on.
    fn cancel_replacement(&mut self) {
        if let Some(number) = self.source.as_ref().and_then(|source| source.sender.upstream_number()) {
            self.delivery.cancel_other_sends(number);
        }
    }

    /// Makes `replacement` the source of the stream and returns its first events.
    fn adopt(&mut self, replacement: Replacement, end: BodyEnd) -> Option<CompleteEvents> {
        let Replacement { source, events, first } = replacement;
        self.record_body_end(end);
        let outcome = if end == BodyEnd::TimedOut { SendOutcome::TimedOut } else { SendOutcome::Lost };
        self.end_source(outcome);
        self.events = events;
        self.take_over(source);
        first
    }
}

async fn sleep_until(deadline: Instant) {
    Timer::after(deadline.since(bendhinge_clock::now())).await;
}

/// The first result within a race.
enum RaceStep {
    Source(SourceRead),
    Replacement(Result<Box<Replacement>, ResumeObstacle>),
}

/// Reads until an event or a block of comments is complete, or the body ends.
async fn read_to_event(source: &mut StreamSource, events: &mut EventSplitter) -> SourceRead {
    loop {
        let read = source.read(events).await;
        if !matches!(read, SourceRead::Data(None)) {
            return read;
        }
    }
}

impl Delivery {
    /// Requests a stream from another upstream after the last event of `events` and reads its first events.
    async fn replacement(&mut self, mut events: EventSplitter) -> Result<Box<Replacement>, ResumeObstacle> {
        let mut source = self.resume(&events).await?;
        loop {
            match read_to_event(&mut source, &mut events).await {
                SourceRead::Data(Some(first)) if first.count > 0 => {
                    return Ok(Box::new(Replacement { source, events, first: Some(first) }));
                }
                // Comments are no sign that the stream goes on.
                SourceRead::Data(_) => {}
                SourceRead::Ended(BodyEnd::Complete) => {
                    return Ok(Box::new(Replacement { source, events, first: None }));
                }
                SourceRead::Ended(end) => {
                    self.record_failed_replacement(&source, &events, end);
                    return Err(ResumeObstacle::SendFailed);
                }
            }
        }
    }

    /// Sends the request once more so that its stream goes on after the last complete event of `events`.
    pub(super) async fn resume(&mut self, events: &EventSplitter) -> Result<StreamSource, ResumeObstacle> {
        let last_event_id = events.last_id().map(str::to_owned);
        let last_event_id = last_event_id.or_else(|| self.inbound.fields.resume_after.clone());
        match self.next_response(last_event_id.as_deref()).await {
            Ok(UpstreamResponse { source, head, body: UpstreamBody::Stream(body, framing, connection) }) => {
                Ok(StreamSource::new(source, head.headers, framing, body, connection))
            }
            Ok(_) => Err(ResumeObstacle::SendFailed),
            Err(error) => {
                if let DeliveryError::Code(code) | DeliveryError::RetryLater { code, .. } = error {
                    self.log_line.set_resume_code(code);
                }
                Err(ResumeObstacle::SendFailed)
            }
        }
    }

    fn record_failed_replacement(&mut self, source: &StreamSource, events: &EventSplitter, end: BodyEnd) {
        self.context.metrics.count_body_end(source.framing, end);
        match &source.sender {
            ResponseSource::Upstream(send) => {
                let number = send.record.number;
                self.log_line.record_body_end(number, source.framing, end, events.partial_len());
                self.record_send_end(&send.record, SendOutcome::Lost);
            }
            ResponseSource::Gateway(send) => {
                self.log_line.record_forward_body_end(send.number, end);
                self.fail_forward(send.number, SendOutcome::Lost);
            }
        }
    }
}
