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
use crate::quarantine::WatchedSend;
use crate::state::ChosenUpstream;

type Answer = Pin<Box<dyn Future<Output = Result<Attempt, Ended>> + Send>>;

/// A send, as its request and what is believed of its upstream know it.
#[derive(Clone)]
pub(super) struct Sent {
    /// Its place among the request's sends.
    pub(super) number: usize,
    pub(super) upstream: Arc<UpstreamEntry>,
    /// When its upstream was chosen.
    pub(super) at: Instant,
    /// That others know of it, if its request is suspected.
    _watched: Option<Arc<WatchedSend>>,
}

impl Sent {
    pub(super) fn new(number: usize, chosen: &ChosenUpstream, watched: Option<Arc<WatchedSend>>) -> Self {
        Self { number, upstream: Arc::clone(&chosen.entry), at: chosen.chosen_at, _watched: watched }
    }
}

/// A send under way. Dropped, it is given up: its connection closes, which cancels the work at the
/// upstream.
pub(super) struct Sending {
    pub(super) sent: Sent,
    pub(super) answer: Answer,
}

/// A send that ended without an answer that can be passed on.
pub(super) struct FailedSend {
    pub(super) sent: Sent,
    pub(super) ended: Ended,
}

impl Sending {
    /// Waits for its end.
    pub(super) async fn ended(&mut self) -> Result<Attempt, FailedSend> {
        let answer = (&mut self.answer).await;
        answer.map_err(|ended| FailedSend { sent: self.sent.clone(), ended })
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

/// Waits until one of two sends ends; gives how it ended, and the other one.
pub(super) async fn race(mut first: Sending, mut second: Sending) -> (Result<Attempt, FailedSend>, Sending) {
    let first_ended = async { (first.ended().await, true) };
    let second_ended = async { (second.ended().await, false) };
    let (ended, is_first) = first_ended.or(second_ended).await;
    (ended, if is_first { second } else { first })
}
