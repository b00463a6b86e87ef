//! Passing an answer back to its caller: whole, or visibly broken.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bendhinge_codes::ResultCode;
use bendhinge_http::{Body, BodyError, Connection, flush_before_error, full_body};
use bendhinge_ids::RequestId;
use bendhinge_timeline::EventKind;
use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use smol::Timer;

use super::attempt::{Attempt, AttemptBody};
use super::end_mark::EndMark;
use crate::admission::Admitted;
use crate::intake::{answers, headers};
use crate::membership::Target;
use crate::node::Node;
use crate::placement::Permit;

/// The caller's answer from an upstream's.
pub(super) fn answer(
    node: &Arc<Node>,
    request: RequestId,
    attempt: Attempt,
    admitted: Admitted,
    is_stream: bool,
) -> Response<Body> {
    let Attempt { target, mut head, body, permit } = attempt;
    headers::to_caller(&mut head);
    answers::mark(&mut head.headers, node, request, bendhinge_codes::Ran::Yes);
    let held = Held { node: Arc::clone(node), request, target, admitted, _permit: permit };
    let body = match body {
        AttemptBody::Gathered(bytes) => {
            held.finished();
            full_body(bytes)
        }
        AttemptBody::Open(body, framing, connection) => {
            let end_mark = is_stream.then(EndMark::default);
            let may_be_lost = head.status.is_success() && !framing.marks_end();
            flush_before_error(RelayBody::new(body, connection, held, end_mark, may_be_lost))
        }
    };
    Response::from_parts(head, body)
}

/// What a request holds until its answer is passed on.
struct Held {
    node: Arc<Node>,
    request: RequestId,
    target: Arc<Target>,
    admitted: Admitted,
    _permit: Permit,
}

impl Held {
    fn finished(mut self) {
        self.admitted.ran_whole();
        self.note(|upstream| EventKind::Finished { upstream });
    }

    fn cut_short(self) {
        let code = ResultCode::AnswerCutShort;
        self.node.metrics.result(code);
        self.note(|upstream| EventKind::AttemptEnded { upstream, end: code.to_string() });
    }

    fn caller_left(self) {
        self.node.metrics.callers_left.add(1, &[]);
        self.note(|upstream| EventKind::CallerLeft { upstream });
    }

    fn note(&self, kind: impl FnOnce(String) -> EventKind) {
        self.node.note_request(self.request, kind(self.target.name.to_string()));
    }
}

/// The body of an answer on its way through.
///
/// Dropped before its end, because the caller went away, it drops the upstream's connection
/// with it, which cancels the work there.
struct RelayBody {
    body: Incoming,
    connection: Option<Connection>,
    held: Option<Held>,
    end_mark: Option<EndMark>,
    /// Whether the body is unframed and has no content yet.
    may_be_lost: bool,
    idle: Duration,
    last_frame: Instant,
    timer: Timer,
    is_broken: bool,
}

impl RelayBody {
    fn new(
        body: Incoming,
        connection: Connection,
        held: Held,
        end_mark: Option<EndMark>,
        may_be_lost: bool,
    ) -> Self {
        let idle = held.node.settings.limits.idle;
        Self {
            body,
            connection: Some(connection),
            held: Some(held),
            end_mark,
            may_be_lost,
            idle,
            last_frame: Instant::now(),
            timer: Timer::after(idle),
            is_broken: false,
        }
    }

    fn saw(&mut self, frame: &Frame<Bytes>) {
        self.last_frame = Instant::now();
        self.may_be_lost &= frame.data_ref().is_none_or(Bytes::is_empty);
        if let (Some(end_mark), Some(data)) = (&mut self.end_mark, frame.data_ref()) {
            end_mark.saw(data);
        }
        if self.body.is_end_stream() && self.is_complete() {
            // The server may not ask for the end that it already knows of.
            self.finish();
        }
    }

    fn is_complete(&self) -> bool {
        !self.may_be_lost && self.end_mark.as_ref().is_none_or(EndMark::is_complete)
    }

    fn finish(&mut self) {
        let (Some(held), Some(connection)) = (self.held.take(), self.connection.take()) else { return };
        let node = Arc::clone(&held.node);
        let tasks = Arc::clone(&node.tasks);
        tasks.spawn(async move { node.upstreams.release(connection).await }).detach();
        held.finished();
    }

    /// Ends a broken answer. A stream of events first carries an event that says so, which
    /// clients report as an error; in every case the connection is then cut, so that what the
    /// caller has does not look whole.
    fn break_off(&mut self) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.connection = None;
        self.is_broken = true;
        let request = self.held.as_ref().map(|held| held.request);
        if let Some(held) = self.held.take() {
            held.cut_short();
        }
        match request.filter(|_| self.end_mark.is_some()) {
            Some(request) => {
                Poll::Ready(Some(Ok(Frame::data(answers::error_event(request, ResultCode::AnswerCutShort)))))
            }
            None => cut(),
        }
    }

    fn is_idle_too_long(&mut self, context: &mut Context<'_>) -> bool {
        while Pin::new(&mut self.timer).poll(context).is_ready() {
            let quiet = self.last_frame.elapsed();
            if quiet >= self.idle {
                return true;
            }
            // The timer is only set anew when it fires, not with every frame.
            self.timer.set_after(self.idle.checked_sub(quiet).unwrap());
        }
        false
    }
}

fn cut() -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    Poll::Ready(Some(Err("the upstream's answer broke off".into())))
}

impl hyper::body::Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_broken {
            return cut();
        }
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                self.saw(&frame);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) if self.is_complete() => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(None | Some(Err(_))) => self.break_off(),
            Poll::Pending if self.is_idle_too_long(context) => self.break_off(),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_none() && !self.is_broken
    }

    fn size_hint(&self) -> SizeHint {
        // A stream that breaks off carries an event more than the upstream announced.
        if self.end_mark.is_some() { SizeHint::default() } else { self.body.size_hint() }
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        if let Some(held) = self.held.take() {
            held.caller_left();
        }
    }
}
