//! A value with the instant as of which it was known to be current.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_ids::Instant;

/// A number of the store that rises with each of its changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// Which value is held: at which revision of the store it was read, and its digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Version {
    /// The revision at which it was read.
    pub revision: Revision,
    /// The hash of its content: equal content at a later revision is no new value.
    pub digest: u64,
}

impl Version {
    /// Of a document with a revision of its own, that of its last change, which tells it from all others; it was read
    /// when the store was at `read_at`.
    #[must_use]
    pub const fn of_document(document: Revision, read_at: Revision) -> Self {
        Self { revision: read_at, digest: document.0 }
    }

    /// The document's own revision.
    #[must_use]
    pub const fn document(self) -> Revision {
        Revision(self.digest)
    }
}

/// A value that is held.
#[derive(Clone, Debug)]
pub struct VersionedValue<T> {
    /// Which one it is.
    pub version: Version,
    /// The value.
    pub value: Arc<T>,
    /// An instant at which the store surely held it.
    ///
    /// It is the start of the read, or, where it was heard from another router, the start of the
    /// question less the age that the answer stated: never later than the truth, whatever was
    /// delayed, cut or frozen on the way.
    pub as_of: Instant,
}

/// What became of an offered value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// It is newer and is held now.
    Updated,
    /// It is the one that is held, which is known to be current as of a later instant.
    Confirmed,
    /// It is older, or known already.
    Stale,
}

/// What is believed; at first nothing.
#[derive(Debug)]
pub struct Replica<T>(Option<VersionedValue<T>>);

impl<T> Default for Replica<T> {
    fn default() -> Self {
        Self(None)
    }
}

impl<T> Replica<T> {
    /// What is held.
    #[must_use]
    pub const fn current(&self) -> Option<&VersionedValue<T>> {
        self.0.as_ref()
    }

    /// The value that is held.
    #[must_use]
    pub fn value(&self) -> Option<&Arc<T>> {
        self.0.as_ref().map(|current| &current.value)
    }

    /// Its version; of nothing, the lowest.
    #[must_use]
    pub fn version(&self) -> Version {
        self.0.as_ref().map(|current| current.version).unwrap_or_default()
    }

    /// How long ago it was known to be current; `None` if nothing is held.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.0.as_ref().map(|current| now.since(current.as_of))
    }

    /// Whether it was known to be current within the last `span`.
    #[must_use]
    pub fn is_fresh(&self, max_age: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }

    /// Whether another's value of `version` would have to be fetched to be held.
    #[must_use]
    pub fn needs(&self, version: Version) -> bool {
        match &self.0 {
            None => version.revision > Revision::default(),
            Some(current) => {
                version.revision > current.version.revision && version.digest != current.version.digest
            }
        }
    }

    /// Takes evidence that the value of `version` was current as of `as_of`. Only the value that is
    /// held can be confirmed, and only by a revision that is not older.
    pub fn confirm(&mut self, version: Version, as_of: Instant) -> UpdateOutcome {
        let Some(current) = &mut self.0 else { return UpdateOutcome::Stale };
        if current.version.digest != version.digest {
            return UpdateOutcome::Stale;
        }
        let is_newer = as_of > current.as_of;
        current.as_of = current.as_of.max(as_of);
        current.version.revision = current.version.revision.max(version.revision);
        if is_newer { UpdateOutcome::Confirmed } else { UpdateOutcome::Stale }
    }

    /// Takes a value. It never goes back to an older revision.
    pub fn update(
        &mut self,
        version: Version,
        as_of: Instant,
        value: impl FnOnce() -> Arc<T>,
    ) -> UpdateOutcome {
        if let Some(current) = &self.0 {
            if current.version.digest == version.digest {
                return self.confirm(version, as_of);
            }
            if version.revision <= current.version.revision {
                return UpdateOutcome::Stale;
            }
        }
        self.0 = Some(VersionedValue { version, value: value(), as_of });
        UpdateOutcome::Updated
    }
}
