//! Requests a stream from other upstreams, too, while its source is silent. Sound upstreams fall silent, and the other
//! sends may be denied or fail, so the source is read until another one has sent an event.

use std::future::{pending, poll_fn};
use std::sync::Arc;
use std::task::Poll;

use bendhinge_delivery::{BodyEnd, CompleteEvents, EventSplitter, SendOutcome};
use bendhinge_ids::Instant;
use futures_lite::FutureExt;
use smol::Timer;

use super::attempt::UpstreamResponse;
use super::cut::ResumeObstacle;
use super::race::{FailedSend, PendingSend};
use super::relay::Relay;
use super::stream_source::{ClosedSource, ResponseSource, SourceRead, StreamSource};
use super::upstream_body::UpstreamBody;
use super::{Delivery, DeliveryContext, DeliveryError, InboundRequest};

/// How a race ended.
pub(super) enum RaceEnd {
    /// The source went on, or ended and nothing could replace it.
    Source(SourceRead),
    /// Another source has replaced it, with these events.
    Replaced(CompleteEvents),
    /// Another source has replaced it, and the stream is complete.
    ReplacedAtEnd,
    /// No other source was found. The current one is still silent.
    NotReplaced,
}

/// A source that was requested in addition to the silent one and has sent no event yet.
struct Candidate {
    source: StreamSource,
    events: EventSplitter,
}

impl Candidate {
    /// Closes a candidate that has ended before the stream was complete.
    fn close(
        self,
        context: &Arc<DeliveryContext>,
        inbound: &Arc<InboundRequest>,
        end: BodyEnd,
    ) -> ClosedSource {
        self.source.close(context, inbound, end, end.outcome(), self.events.partial_len())
    }
}

/// What happens first in a race.
enum Step {
    /// The source sent an event or ended.
    Source(SourceRead),
    /// A candidate sent an event or ended.
    Candidate(usize, SourceRead),
    /// The hedge got a response, or failed.
    Hedge(Box<Result<UpstreamResponse, FailedSend>>),
    /// Another upstream responded, or none did.
    Responded(Result<Box<StreamSource>, ResumeObstacle>),
    /// Another send is due.
    SendDue,
    Deadline,
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

    /// Requests the stream from other upstreams, one after the other, and waits until any source sends an event. The
    /// others are then closed, which cancels the request there.
    pub(super) async fn race(&mut self) -> RaceEnd {
        let mut candidates = Vec::new();
        let end = self.run_race(&mut candidates).await;
        self.delivery.retry_state.set_held_responses(0);
        let kept = self.source.as_ref().and_then(|source| source.sender.upstream_number());
        let outcome = match end {
            RaceEnd::Source(SourceRead::Ended(BodyEnd::TimedOut)) => SendOutcome::TimedOut,
            _ => SendOutcome::Superseded,
        };
        for Candidate { source, .. } in candidates {
            if let ResponseSource::Gateway(send) = source.sender {
                self.delivery.record_forward_end(send.number, outcome);
            }
        }
        if let Some(hedge) = self.hedge.take() {
            self.delivery.end_hedge(&hedge, kept);
        }
        self.delivery.end_other_sends(kept, outcome);
        self.delivery.return_unused_retry();
        end
    }

    async fn run_race(&mut self, candidates: &mut Vec<Candidate>) -> RaceEnd {
        loop {
            let held =
                usize::from(self.source.is_some()) + usize::from(self.hedge.is_some()) + candidates.len();
            self.delivery.retry_state.set_held_responses(u32::try_from(held).unwrap_or(u32::MAX));
            let may_send = self.delivery.retry_state.may_send();
            let is_due = may_send && self.race_timer.remaining().is_some_and(|remaining| remaining.is_zero());
            let step = if !is_due {
                self.next_step(candidates, may_send).await
            } else if self.delivery.try_retry() {
                self.race_timer.restart();
                self.delivery.forget_unreached();
                self.send(candidates).await
            } else {
                Step::Responded(Err(ResumeObstacle::RetryBudget))
            };
            match step {
                Step::Source(SourceRead::Ended(end))
                    if end.is_premature() && (self.hedge.is_some() || !candidates.is_empty()) =>
                {
                    self.close_source(end, end.outcome());
                }
                Step::Source(read) => return RaceEnd::Source(read),
                Step::Candidate(index, read) => {
                    let candidate = candidates.swap_remove(index);
                    match read {
                        SourceRead::Data(Some(first)) => {
                            self.adopt(candidate);
                            return RaceEnd::Replaced(first);
                        }
                        SourceRead::Ended(BodyEnd::Complete) => {
                            self.adopt(candidate);
                            return RaceEnd::ReplacedAtEnd;
                        }
                        SourceRead::Ended(end) => self.record_failed_candidate(candidate, end),
                        SourceRead::Data(None) => candidates.push(candidate),
                    }
                }
                Step::Hedge(result) => {
                    self.hedge = None;
                    candidates.extend(self.accept_hedge(*result));
                }
                Step::Responded(Ok(source)) => {
                    candidates.push(Candidate { source: *source, events: self.events.resumed() });
                }
                Step::Responded(Err(obstacle)) => {
                    self.obstacle = Some(obstacle);
                    self.race_timer.postpone();
                }
                Step::SendDue => {}
                Step::Deadline => return RaceEnd::Source(SourceRead::Ended(BodyEnd::TimedOut)),
            }
            if candidates.is_empty() && self.hedge.is_none() {
                return match &self.source {
                    Some(_) => RaceEnd::NotReplaced,
                    None => RaceEnd::Source(SourceRead::Ended(BodyEnd::Failed)),
                };
            }
        }
    }

    /// Waits for the next step without a further send, until one is due if `may_send`.
    async fn next_step(&mut self, candidates: &mut [Candidate], may_send: bool) -> Step {
        let send_due = self.race_timer.remaining().filter(|_| may_send);
        let deadline = self.delivery.inbound.deadline;
        let Self { source, events, hedge, .. } = self;
        let send_due = async {
            match send_due {
                Some(remaining) => Timer::after(remaining).await,
                None => pending().await,
            };
            Step::SendDue
        };
        let speaking = first_to_speak(source.as_mut(), events, candidates);
        speaking.or(hedge_step(hedge.as_mut())).or(send_due).or(at(deadline)).await
    }

    /// Sends the request once more and waits for the next step. Sources that end meanwhile are closed at once, so that
    /// their upstreams do not seem to be in use.
    async fn send(&mut self, candidates: &mut Vec<Candidate>) -> Step {
        let mut closed = Vec::new();
        let mut hedge_result = None;
        let step = {
            let Self { delivery, source, events, timing, hedge, .. } = self;
            let (context, inbound) = (Arc::clone(&delivery.context), Arc::clone(&delivery.inbound));
            let resumed = events.resumed();
            let mut responding = Box::pin(delivery.resume(&resumed));
            loop {
                let speaking = first_to_speak(source.as_mut(), events, candidates);
                let responded = async { Step::Responded((&mut responding).await.map(Box::new)) };
                let hedged = hedge_step(hedge.as_mut());
                match speaking.or(hedged).or(responded).or(at(inbound.deadline)).await {
                    Step::Source(SourceRead::Ended(end)) if end.is_premature() => {
                        if let Some(source) = source.take() {
                            timing.record_interruption(source.sender.totals());
                            closed.push(source.close(
                                &context,
                                &inbound,
                                end,
                                end.outcome(),
                                events.partial_len(),
                            ));
                        }
                    }
                    Step::Candidate(index, SourceRead::Ended(end)) if end.is_premature() => {
                        closed.push(candidates.swap_remove(index).close(&context, &inbound, end));
                    }
                    Step::Hedge(result) => {
                        *hedge = None;
                        hedge_result = Some(result);
                    }
                    step => break step,
                }
            }
        };
        for closed in closed {
            self.delivery.record_closed(closed);
        }
        if let Some(result) = hedge_result {
            candidates.extend(self.accept_hedge(*result));
        }
        step
    }

    /// Returns the candidate that the response to the hedge is, if it is a stream.
    fn accept_hedge(&mut self, result: Result<UpstreamResponse, FailedSend>) -> Option<Candidate> {
        match result {
            Ok(UpstreamResponse {
                source,
                head,
                body: UpstreamBody::Stream(body, framing, connection),
                ..
            }) => {
                if let ResponseSource::Upstream(send) = &source {
                    self.delivery.context.upstreams.record_response(send.chosen.entry.hash);
                }
                let context = &self.delivery.context;
                let source = StreamSource::new(context, source, head.headers, framing, body, connection);
                Some(Candidate { source, events: self.events.resumed() })
            }
            // It remains open and is ended with the race.
            Ok(_) => None,
            Err(failed) => {
                self.delivery.record_send_end(&failed.record, failed.error.end);
                None
            }
        }
    }

    fn record_failed_candidate(&mut self, candidate: Candidate, end: BodyEnd) {
        let closed = candidate.close(&self.delivery.context, &self.delivery.inbound, end);
        self.delivery.record_closed(closed);
        self.obstacle = Some(ResumeObstacle::SendFailed);
    }

    /// Whether the silence of the current source counts against it when `winner` sends an event: `winner` took less time
    /// than the source had been silent before. Otherwise both were silent alike.
    fn is_overdue_beside(&self, winner: &StreamSource) -> bool {
        let Some(started_at) = winner.sender.started_at() else { return false };
        let silence_before = started_at.since(self.awaited_since);
        let limit = self.race_timer.limit().map_or(silence_before, |limit| limit.min(silence_before));
        bendhinge_clock::now().since(started_at) < limit
    }

    /// Closes the silent source and makes `candidate` the source of the stream.
    fn adopt(&mut self, candidate: Candidate) {
        let Candidate { source, events } = candidate;
        let outcome =
            if self.is_overdue_beside(&source) { SendOutcome::TimedOut } else { SendOutcome::Superseded };
        self.close_source(BodyEnd::TimedOut, outcome);
        self.events = events;
        self.take_over(source);
    }
}

async fn hedge_step(hedge: Option<&mut PendingSend>) -> Step {
    match hedge {
        Some(hedge) => Step::Hedge(Box::new(hedge.result().await)),
        None => pending().await,
    }
}

async fn at(deadline: Instant) -> Step {
    Timer::after(deadline.since(bendhinge_clock::now())).await;
    Step::Deadline
}

/// Waits until the source or a candidate sends an event or ends.
async fn first_to_speak(
    source: Option<&mut StreamSource>,
    events: &mut EventSplitter,
    candidates: &mut [Candidate],
) -> Step {
    let source_step = async {
        match source {
            Some(source) => Step::Source(source.read_event(events).await),
            None => pending().await,
        }
    };
    source_step.or(first_candidate(candidates)).await
}

async fn first_candidate(candidates: &mut [Candidate]) -> Step {
    let read = async |candidate: &mut Candidate| candidate.source.read_event(&mut candidate.events).await;
    let mut reads: Vec<_> = candidates.iter_mut().map(|candidate| Box::pin(read(candidate))).collect();
    poll_fn(|context| {
        for (index, read) in reads.iter_mut().enumerate() {
            if let Poll::Ready(read) = read.as_mut().poll(context) {
                return Poll::Ready(Step::Candidate(index, read));
            }
        }
        Poll::Pending
    })
    .await
}

impl Delivery {
    /// Sends the request once more so that its stream goes on after the last complete event of `events`.
    pub(super) async fn resume(&mut self, events: &EventSplitter) -> Result<StreamSource, ResumeObstacle> {
        let last_event_id = events.last_id().map(str::to_owned);
        let last_event_id = last_event_id.or_else(|| self.inbound.fields.resume_after.clone());
        match self.next_response(last_event_id.as_deref()).await {
            Ok(UpstreamResponse {
                source,
                head,
                body: UpstreamBody::Stream(body, framing, connection),
                hedge,
            }) => {
                if let Some(hedge) = hedge {
                    self.end_hedge(&hedge, source.upstream_number());
                }
                Ok(StreamSource::new(&self.context, source, head.headers, framing, body, connection))
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
}
