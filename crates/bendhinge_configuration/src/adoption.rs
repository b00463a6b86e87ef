//! When a confirmed document is in force: within seconds, in one order, and never back.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_ids::{ConfigRevision, Digest, Instant};

use crate::Configuration;

/// How long a document is known before it is in force.
///
/// In this time the routers hear of any other document of the same revision, so that all put
/// the same one in force. It is a quarter of the six seconds allowed; the rest is for reading
/// and spreading.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// What became of a document that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It will be in force after the settle time.
    Accepted,
    /// It is known already.
    Known,
    /// A later revision is known.
    Stale,
    /// Another document of the same revision is in force, or wins: its operator must be told.
    Superseded,
}

#[derive(Debug)]
struct Pending {
    document: Arc<Configuration>,
    since: Instant,
}

/// The documents that one router knows.
#[derive(Debug, Default)]
pub struct Adoption {
    current: Option<Arc<Configuration>>,
    pending: Option<Pending>,
    superseded: Option<(ConfigRevision, Digest)>,
}

impl Adoption {
    /// Offers a document whose seal was checked.
    ///
    /// A later revision always wins. Of two documents of one revision, none of which is in
    /// force here, the one with the smaller digest wins: every router decides alike, whatever
    /// the order in which it heard of them. One in force is never replaced by its sibling.
    pub fn offer(&mut self, document: Arc<Configuration>, now: Instant) -> Offer {
        if let Some(current) = &self.current {
            if document.digest == current.digest {
                return Offer::Known;
            }
            if document.revision < current.revision {
                return Offer::Stale;
            }
            if document.revision == current.revision {
                self.superseded = Some((document.revision, document.digest));
                return Offer::Superseded;
            }
        }
        self.offer_against_pending(document, now)
    }

    fn offer_against_pending(&mut self, document: Arc<Configuration>, now: Instant) -> Offer {
        let Some(pending) = &mut self.pending else {
            self.pending = Some(Pending { document, since: now });
            return Offer::Accepted;
        };
        let known = &pending.document;
        if document.digest == known.digest {
            return Offer::Known;
        }
        if document.revision < known.revision {
            return Offer::Stale;
        }
        if document.revision > known.revision {
            *pending = Pending { document, since: now };
            return Offer::Accepted;
        }
        if document.digest > known.digest {
            self.superseded = Some((document.revision, document.digest));
            return Offer::Superseded;
        }
        self.superseded = Some((known.revision, known.digest));
        // The time runs on: a sibling must not put off what is about to be in force.
        pending.document = document;
        Offer::Accepted
    }

    /// Puts the pending document in force once it has settled, and gives it then.
    pub fn settle(&mut self, now: Instant) -> Option<Arc<Configuration>> {
        let settled = self.pending.as_ref().is_some_and(|pending| now.since(pending.since) >= SETTLE_TIME);
        if !settled {
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

    /// The latest document known, in force or not; what peers are told of.
    #[must_use]
    pub fn latest(&self) -> Option<&Arc<Configuration>> {
        self.pending.as_ref().map(|pending| &pending.document).or(self.current.as_ref())
    }

    /// The last document that lost against another of its revision.
    #[must_use]
    pub const fn superseded(&self) -> Option<(ConfigRevision, Digest)> {
        self.superseded
    }
}
