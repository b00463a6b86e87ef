//! Passing a stream of events on as they come: whole, gone on with elsewhere, or visibly cut.

use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_delivery::{EventSplitter, SendOutcome};
use bendhinge_http::{Body, BodyError, Connection, flush_before_error};
use bytes::Bytes;
use futures_lite::{FutureExt, Stream, StreamExt, stream};
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::{Frame, Incoming};
use smol::Timer;

use super::Delivery;
use super::attempt::{Attempt, AttemptBody};
use super::race::Sent;
use crate::knowledge::Chosen;
use crate::lifecycle::InProgress;

/// How often longer than the longest pause on time a stream may be silent before it goes on
/// elsewhere, where it can.
const SILENT_GAPS: u32 = 3;

/// A stream on its way through. Dropped before its end, because its caller left, it drops the
/// upstream's connection with it, which cancels the work there.
pub(super) struct Relay {
    delivery: Delivery,
    events: EventSplitter,
    source: Option<Source>,
    is_over: bool,
    _in_progress: InProgress,
}

/// The upstream that the stream comes from now.
pub(super) struct Source {
    pub(super) sent: Sent,
    /// Its place at the upstream is held as long as the stream comes from there.
    pub(super) _chosen: Chosen,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
}

/// What the upstream's side of the stream came to.
enum Heard {
    Bytes(Bytes),
    End,
    Broke(SendOutcome),
}

impl Relay {
    pub(super) fn new(delivery: Delivery, source: Source, in_progress: InProgress) -> Self {
        let events = EventSplitter::default();
        Self { delivery, events, source: Some(source), is_over: false, _in_progress: in_progress }
    }

    /// The next whole events; `None` at the end, `Err` if the stream must look cut.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        while !self.is_over {
            match self.hear().await {
                Heard::Bytes(bytes) => {
                    if let Some(events) = self.events.feed(&bytes) {
                        return Some(Ok(events));
                    }
                }
                Heard::End => return self.finish(),
                Heard::Broke(end) => {
                    if !self.go_on_elsewhere(end).await {
                        return Some(Err(self.cut()));
                    }
                }
            }
        }
        None
    }

    async fn hear(&mut self) -> Heard {
        let patience = self.patience();
        let Some(source) = &mut self.source else { return Heard::Broke(SendOutcome::Lost) };
        let reading = async {
            match source.body.frame().await {
                None => Heard::End,
                Some(Err(_)) => Heard::Broke(SendOutcome::Lost),
                Some(Ok(frame)) => Heard::Bytes(frame.into_data().unwrap_or_default()),
            }
        };
        let too_long = async {
            Timer::after(patience).await;
            Heard::Broke(SendOutcome::TimedOut)
        };
        reading.or(too_long).await
    }

    /// How long the next event is waited for: to the end of the request's time, unless the stream
    /// can go on elsewhere.
    fn patience(&self) -> Duration {
        let left = self.delivery.turn.time_left();
        match self.delivery.turn.route.target_gap {
            Some(gap) if self.delivery.course.allows_hedge() => left.min(gap * SILENT_GAPS),
            _ => left,
        }
    }

    fn finish(&mut self) -> Option<io::Result<Bytes>> {
        self.is_over = true;
        let rest = self.events.take_partial();
        if let Some(Source { headers, connection, .. }) = self.source.take() {
            self.delivery.delivering.return_connection(&headers, connection);
        }
        self.delivery.note_whole_answer();
        let Delivery { line, delivering, course, .. } = &mut self.delivery;
        line.ended(&delivering.log, 200, None, course);
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Goes on behind the last whole event at another upstream; `false` if that cannot be.
    async fn go_on_elsewhere(&mut self, end: SendOutcome) -> bool {
        // Dropping the connection cancels what is left of the run there.
        let Some(source) = self.source.take() else { return false };
        let sent = source.sent.clone();
        drop(source);
        let may_go_on = self.delivery.note_end(&sent, end);
        if !may_go_on || !self.delivery.takes_second_send() {
            return false;
        }
        self.events.restart();
        let last = self.events.last_id().map(str::to_owned);
        let last = last.or_else(|| self.delivery.turn.call.resume_after.clone());
        match self.delivery.next_answer(last.as_deref()).await {
            Ok(Attempt { sent, chosen, head, body: AttemptBody::Stream(body, connection) }) => {
                self.source = Some(Source { sent, _chosen: chosen, headers: head.headers, body, connection });
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    fn cut(&mut self) -> io::Error {
        self.is_over = true;
        self.source = None;
        let Delivery { line, delivering, course, .. } = &mut self.delivery;
        line.ended(&delivering.log, 200, Some(ResultCode::AnswerCutShort), course);
        io::Error::other("the upstream's stream broke off")
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_over {
            let Delivery { line, delivering, course, .. } = &mut self.delivery;
            line.caller_left(&delivering.log, course);
        }
    }
}

type Pieces = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// A body made of a relay's pieces.
struct RelayBody {
    /// The lock is never contended: it only lets the body be shared between threads, which the
    /// HTTP library's body type asks for.
    pieces: Mutex<Pieces>,
}

/// The body of an answer that `relay` passes on.
pub(super) fn relayed(relay: Relay) -> Body {
    let pieces = stream::unfold(relay, |mut relay| async move {
        let piece = relay.next().await?;
        Some((piece, relay))
    });
    flush_before_error(RelayBody { pieces: Mutex::new(pieces.boxed()) })
}

impl hyper::body::Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = self.pieces.get_mut().unwrap().poll_next(context);
        polled.map(|piece| piece.map(|piece| piece.map(Frame::data).map_err(BodyError::from)))
    }
}
