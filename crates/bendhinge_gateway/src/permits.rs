//! Permits for requests to upstreams that do not report their load. One gateway issues those of an upstream, and thus
//! counts the requests of all gateways there.

use std::num::NonZeroU32;
use std::sync::Mutex;

use bendhinge_fleet::{IssuedPermits, PermitDecision, PermitNumber, PermitRequest};
use bendhinge_ids::{Instant, NameHash};
use smol::channel::{Receiver, Sender, bounded};

/// Requests for permits that wait to be sent. Further ones get no answer.
const MAX_QUEUED_QUERIES: usize = 256;

/// The permit for one request, which ends when it is dropped.
pub(crate) struct Permit {
    /// Closes the channel of [`PermitQuery::ended`].
    _open: Sender<()>,
}

/// A request for a permit, on its way to the gateway that issues it.
pub(crate) struct PermitQuery {
    pub(crate) request: PermitRequest,
    /// The hash of the upstream's data centre.
    pub(crate) data_centre: NonZeroU32,
    /// Where the answer is sent; closed without one if the issuer does not answer soon.
    pub(crate) answer: Sender<PermitReply>,
    /// Closed when the permit ends.
    pub(crate) ended: Receiver<()>,
}

/// The answer of the gateway that issues the permits of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitReply {
    /// The number of other requests at the upstream.
    pub(crate) in_progress: u32,
    pub(crate) is_issued: bool,
}

/// The result of a request for a permit.
pub(crate) enum PermitOutcome {
    /// The permit, with the number of other requests at the upstream.
    Issued(Permit, u32),
    /// The upstream is at its limit with this number of requests.
    Refused(u32),
    /// The issuer did not answer. The permit still counts the request if it arrives later.
    NoAnswer(Permit),
}

impl PermitOutcome {
    /// Returns the name used in metrics.
    pub(crate) const fn as_str(&self) -> &'static str {
        match self {
            Self::Issued(..) => "issued",
            Self::Refused(_) => "refused",
            Self::NoAnswer(_) => "no_answer",
        }
    }

    /// Returns the number of other requests at the upstream, if the issuer answered.
    pub(crate) const fn in_progress(&self) -> Option<u32> {
        match self {
            Self::Issued(_, in_progress) | Self::Refused(in_progress) => Some(*in_progress),
            Self::NoAnswer(_) => None,
        }
    }
}

/// The permits that this gateway issues, and its requests for those of others.
pub(crate) struct Permits {
    issued: Mutex<IssuedPermits>,
    queries: Sender<PermitQuery>,
}

impl Permits {
    /// Creates the state. The requests for permits are sent to the returned receiver, since the control plane knows the
    /// other gateways.
    pub(crate) fn new() -> (Self, Receiver<PermitQuery>) {
        let (queries, receiver) = bounded(MAX_QUEUED_QUERIES);
        (Self { issued: Mutex::default(), queries }, receiver)
    }

    /// Requests a permit and waits for the answer.
    pub(crate) async fn request(&self, request: PermitRequest, data_centre: NonZeroU32) -> PermitOutcome {
        let (permit, answer) = self.start_query(request, data_centre);
        match answer.recv().await.ok() {
            Some(PermitReply { in_progress, is_issued: true }) => PermitOutcome::Issued(permit, in_progress),
            Some(PermitReply { in_progress, is_issued: false }) => PermitOutcome::Refused(in_progress),
            None => PermitOutcome::NoAnswer(permit),
        }
    }

    /// Requests a permit for a request that is sent whatever the answer is, so that it is counted.
    pub(crate) fn count(&self, request: PermitRequest, data_centre: NonZeroU32) -> Permit {
        self.start_query(PermitRequest { limit: u32::MAX, ..request }, data_centre).0
    }

    fn start_query(
        &self,
        request: PermitRequest,
        data_centre: NonZeroU32,
    ) -> (Permit, Receiver<PermitReply>) {
        let (open, ended) = bounded(1);
        let (answer, receiver) = bounded(1);
        // A full queue closes the channel of the answer.
        let _ = self.queries.try_send(PermitQuery { request, data_centre, answer, ended });
        (Permit { _open: open }, receiver)
    }

    /// Issues a permit.
    pub(crate) fn issue(&self, request: PermitRequest, now: Instant) -> PermitDecision {
        self.issued.lock().unwrap().issue(request, now)
    }

    /// Ends a permit that this gateway issued.
    pub(crate) fn end(&self, upstream: NameHash, number: PermitNumber) {
        self.issued.lock().unwrap().end(upstream, number);
    }

    /// Removes expired permits and returns the number of the others.
    pub(crate) fn prune(&self, now: Instant) -> usize {
        let mut issued = self.issued.lock().unwrap();
        issued.prune(now);
        issued.count()
    }
}
