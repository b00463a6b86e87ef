//! Requests permits from the gateways that issue them, and issues permits to peers.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{PermitNumber, PermitRequest};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_peer::{PermitAnswer, PermitGuard};
use futures_lite::FutureExt;
use smol::Timer;
use smol::channel::Receiver;

use super::ControlPlane;
use crate::delivery::DeliveryContext;
use crate::permits::{PermitQuery, PermitReply};

/// How long a request waits for a permit. Gateways that are suspended or were just lost do not answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// How long an issuer that did not answer is not asked again.
const SILENCE_BACKOFF: Duration = Duration::from_millis(500);

/// A permit that this gateway issued; dropping it ends the permit.
struct IssuedPermitGuard {
    context: Arc<DeliveryContext>,
    upstream: NameHash,
    number: PermitNumber,
}

impl Drop for IssuedPermitGuard {
    fn drop(&mut self) {
        self.context.permits.end(self.upstream, self.number);
    }
}

/// Sends the requests for permits. Returns when the channel is closed.
pub(super) async fn serve_queries(control: Rc<ControlPlane>, queries: Receiver<PermitQuery>) {
    while let Ok(query) = queries.recv().await {
        let task_control = Rc::clone(&control);
        control.executor.spawn(async move { task_control.serve_query(query).await }).detach();
    }
}

impl ControlPlane {
    /// Requests a permit and holds it until it ends.
    async fn serve_query(&self, query: PermitQuery) {
        let PermitQuery { request, data_centre, answer, ended } = query;
        let now = bendhinge_clock::now();
        let Some(issuer) = self.permit_issuer(request.upstream, data_centre, now) else { return };
        if issuer == self.settings.peer_address {
            let issued = self.issue_permit(request);
            let is_issued = issued.permit.is_some();
            // The request may have been cancelled, or does not wait for the answer.
            let _ = answer.try_send(PermitReply { in_progress: issued.in_progress, is_issued });
            hold(issued, &ended).await;
            return;
        }
        if self.is_silent(issuer, now) {
            return;
        }
        let mut call = pin!(self.peers.call(issuer, async |peer| peer.issue_permit(request).await));
        let timeout = async {
            Timer::after(ANSWER_TIMEOUT).await;
            None
        };
        let in_time = async { Some(call.as_mut().await) }.or(timeout).await;
        let issued = if let Some(issued) = in_time {
            issued
        } else {
            self.record_silence(issuer);
            answer.close();
            // A permit that arrives late still counts the request.
            call.await
        };
        let Ok(issued) = issued else {
            self.record_silence(issuer);
            return;
        };
        let is_issued = issued.permit.is_some();
        let _ = answer.try_send(PermitReply { in_progress: issued.in_progress, is_issued });
        hold(issued, &ended).await;
    }

    /// Issues a permit if the limit of the request is not reached.
    pub(super) fn issue_permit(&self, request: PermitRequest) -> PermitAnswer<PermitGuard> {
        let decision = self.context.permits.issue(request, bendhinge_clock::now());
        let guard = |number| -> PermitGuard {
            Box::new(IssuedPermitGuard {
                context: Arc::clone(&self.context),
                upstream: request.upstream,
                number,
            })
        };
        PermitAnswer { in_progress: decision.in_progress, permit: decision.permit.map(guard) }
    }

    fn permit_issuer(&self, upstream: NameHash, data_centre: NonZeroU32, now: Instant) -> Option<SocketAddr> {
        self.roster.borrow().permit_issuer(upstream, data_centre, self.issues_permits_from(), now)
    }

    /// Returns the hash of the own data centre, if this gateway issues permits.
    pub(super) fn issues_permits_from(&self) -> Option<NonZeroU32> {
        let issues = !self.context.load_settings.permits.is_off() && !self.lifecycle.is_stopping();
        issues.then(|| self.context.forwarding.own_data_centre())
    }

    fn is_silent(&self, issuer: SocketAddr, now: Instant) -> bool {
        let silent_issuers = self.silent_issuers.borrow();
        silent_issuers.get(&issuer).is_some_and(|since| now.since(*since) < SILENCE_BACKOFF)
    }

    fn record_silence(&self, issuer: SocketAddr) {
        let now = bendhinge_clock::now();
        let mut silent_issuers = self.silent_issuers.borrow_mut();
        silent_issuers.retain(|_, since| now.since(*since) < SILENCE_BACKOFF);
        silent_issuers.insert(issuer, now);
    }
}

/// Holds a permit, if there is one, until it ends.
async fn hold<P>(issued: PermitAnswer<P>, ended: &Receiver<()>) {
    let Some(permit) = issued.permit else { return };
    // An error means that the permit has ended.
    let _ = ended.recv().await;
    drop(permit);
}
