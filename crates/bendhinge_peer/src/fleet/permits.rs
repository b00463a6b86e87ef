//! Permits that one gateway issues to another.

use std::any::Any;

use crate::fleet_capnp::permit;

/// What the issuer of a permit drops when the permit ends.
pub type PermitGuard = Box<dyn Any>;

/// The answer to a request for a permit.
#[derive(Debug)]
pub struct PermitAnswer<P> {
    /// The number of other requests at the upstream.
    pub in_progress: u32,
    /// The permit; `None` if the limit was reached.
    pub permit: Option<P>,
}

/// A permit that another gateway issued; dropping it releases the permit.
pub struct RemotePermit {
    _permit: permit::Client,
}

impl RemotePermit {
    pub(super) const fn new(permit: permit::Client) -> Self {
        Self { _permit: permit }
    }
}

/// A permit that was issued to a peer.
pub(super) struct PeerPermit {
    _guard: PermitGuard,
}

impl PeerPermit {
    pub(super) const fn new(guard: PermitGuard) -> Self {
        Self { _guard: guard }
    }
}

impl permit::Server for PeerPermit {}
