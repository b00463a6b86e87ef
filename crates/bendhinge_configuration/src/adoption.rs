//! Decides which confirmed document is in force. The revision in force never decreases, and routers
//! that receive several documents of a revision within the settle time choose the same one.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_ids::{ConfigRevision, Digest, Instant};

use crate::Configuration;

/// Delay between accepting a document and putting it in force.
///
/// During the delay routers learn of conflicting documents of the same revision, so that all
/// of them put the same one in force.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Result of offering a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document is pending and takes effect after the settle time.
    Accepted,
    /// The document is already known.
    Known,
    /// A later revision is known.
    Stale,
    /// Another document of the same revision takes precedence; the operator has to be told.
    Superseded,
}

#[derive(Debug)]
struct Pending {
    document: Arc<Configuration>,
    since: Instant,
}

/// The current and the pending document of one router.
#[derive(Debug, Default)]
pub struct Adoption {
    current: Option<Arc<Configuration>>,
    pending: Option<Pending>,
    superseded: Option<(ConfigRevision, Digest)>,
}

impl Adoption {
    /// Offers a document whose seal has been verified.
    ///
    /// A later revision always takes precedence. Of two pending documents of one revision the
    /// one with the smaller digest does, so that the result does not depend on the order of
    /// arrival. A document in force is never replaced by another one of its revision.
    pub fn offer(&mut self, document: Arc<Configuration>, now: Instant) -> OfferOutcome {
        if let Some(current) = &self.current {
            if document.digest == current.digest {
                return OfferOutcome::Known;
            }
            if document.revision < current.revision {
                return OfferOutcome::Stale;
            }
            if document.revision == current.revision {
                self.superseded = Some((document.revision, document.digest));
                return OfferOutcome::Superseded;
            }
        }
        self.offer_against_pending(document, now)
    }

    fn offer_against_pending(&mut self, document: Arc<Configuration>, now: Instant) -> OfferOutcome {
        let Some(pending) = &mut self.pending else {
            self.pending = Some(Pending { document, since: now });
            return OfferOutcome::Accepted;
        };
        let known = &pending.document;
        if document.digest == known.digest {
            return OfferOutcome::Known;
        }
        if document.revision < known.revision {
            return OfferOutcome::Stale;
        }
        if document.revision > known.revision {
            *pending = Pending { document, since: now };
            return OfferOutcome::Accepted;
        }
        if document.digest > known.digest {
            self.superseded = Some((document.revision, document.digest));
            return OfferOutcome::Superseded;
        }
        self.superseded = Some((known.revision, known.digest));
        // Keeps the start time, so that conflicting documents cannot delay activation.
        pending.document = document;
        OfferOutcome::Accepted
    }

    /// Puts the pending document in force once the settle time has passed, and returns it.
    pub fn activate_settled(&mut self, now: Instant) -> Option<Arc<Configuration>> {
        let is_settled = self.pending.as_ref().is_some_and(|pending| now.since(pending.since) >= SETTLE_TIME);
        if !is_settled {
            return None;
        }
        let pending = self.pending.take()?;
        self.current = Some(Arc::clone(&pending.document));
        self.current.clone()
    }

    /// The document in force.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// The latest known document, pending or in force, which is announced to peers.
    #[must_use]
    pub fn latest(&self) -> Option<&Arc<Configuration>> {
        self.pending.as_ref().map(|pending| &pending.document).or(self.current.as_ref())
    }

    /// The last document rejected in favour of another one of its revision.
    #[must_use]
    pub const fn superseded(&self) -> Option<(ConfigRevision, Digest)> {
        self.superseded
    }
}
