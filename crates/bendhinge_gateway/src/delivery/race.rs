//! Sends under way, of which two may race for the first answer.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::UpstreamEntry;
use bendhinge_ids::Instant;
use futures_lite::FutureExt;
use smol::Timer;

use super::attempt::{Attempt, Ended};

type Answer = Pin<Box<dyn Future<Output = Result<Attempt, Ended>> + Send>>;

/// A send under way. Dropped, it is given up: its connection closes, which cancels the work at the
/// upstream.
pub(super) struct Sending {
    pub(super) upstream: Arc<UpstreamEntry>,
    /// When its upstream was chosen.
    pub(super) sent: Instant,
    /// Its place among the request's sends.
    pub(super) number: usize,
    pub(super) answer: Answer,
}

/// A send that ended without an answer that can be passed on.
pub(super) struct FailedSend {
    pub(super) upstream: Arc<UpstreamEntry>,
    /// When its upstream was chosen.
    pub(super) sent: Instant,
    /// Its place among the request's sends.
    pub(super) number: usize,
    pub(super) ended: Ended,
}

impl Sending {
    /// Waits for its end.
    pub(super) async fn ended(&mut self) -> Result<Attempt, FailedSend> {
        let answer = (&mut self.answer).await;
        let upstream = Arc::clone(&self.upstream);
        let (sent, number) = (self.sent, self.number);
        answer.map_err(|ended| FailedSend { upstream, sent, number, ended })
    }

    /// Waits for its end, but no longer than `patience`.
    pub(super) async fn ended_within(&mut self, patience: Duration) -> Option<Result<Attempt, FailedSend>> {
        let ended = async { Some(self.ended().await) };
        let too_long = async {
            Timer::after(patience).await;
            None
        };
        ended.or(too_long).await
    }
}

/// Which of two sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Racer {
    First,
    Second,
}

/// Waits until one of two sends ends.
pub(super) async fn race(first: &mut Sending, second: &mut Sending) -> (Racer, Result<Attempt, FailedSend>) {
    let first = async { (Racer::First, first.ended().await) };
    let second = async { (Racer::Second, second.ended().await) };
    first.or(second).await
}
