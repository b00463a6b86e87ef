//! Local replica of a value kept in the platform's store, with the time as of which it was current.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_ids::Instant;

/// Revision counter of the store, incremented with each change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// Identifies a value by the store revision at which it was read and by its digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Version {
    /// Store revision at the time of the read.
    pub revision: Revision,
    /// Hash of the content. Equal content at a later revision is not a new value.
    pub digest: u64,
}

impl Version {
    /// Returns the version of a document that carries its own revision.
    ///
    /// The revision of the document's last change identifies its content and serves as the digest.
    /// `read_at` is the revision of the store at the time of the read.
    #[must_use]
    pub const fn of_document(document: Revision, read_at: Revision) -> Self {
        Self { revision: read_at, digest: document.0 }
    }

    /// Returns the document's own revision.
    #[must_use]
    pub const fn document(self) -> Revision {
        Revision(self.digest)
    }
}

/// A value with its version and the time as of which it was current.
#[derive(Clone, Debug)]
pub struct VersionedValue<T> {
    /// Version of the value.
    pub version: Version,
    /// The value itself.
    pub value: Arc<T>,
    /// Lower bound of the time at which the store last held this value.
    ///
    /// This is the start of the store read. For a value received from another router, it is the time of
    /// the request minus the age stated in the response, so that delays on the way cannot make the value
    /// look fresher than it is.
    pub as_of: Instant,
}

/// Result of updating or confirming a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The value is newer and was installed.
    Updated,
    /// The value is already held and is now known to be current as of a later time.
    Confirmed,
    /// The value is older, or adds nothing to what is known.
    Stale,
}

/// Replica of a value. It is empty until the first update.
#[derive(Debug)]
pub struct Replica<T>(Option<VersionedValue<T>>);

impl<T> Default for Replica<T> {
    fn default() -> Self {
        Self(None)
    }
}

impl<T> Replica<T> {
    /// Returns the held value with its version.
    #[must_use]
    pub const fn current(&self) -> Option<&VersionedValue<T>> {
        self.0.as_ref()
    }

    /// Returns the held value.
    #[must_use]
    pub fn value(&self) -> Option<&Arc<T>> {
        self.0.as_ref().map(|current| &current.value)
    }

    /// Returns the version of the held value, or the lowest version if the replica is empty.
    #[must_use]
    pub fn version(&self) -> Version {
        self.0.as_ref().map(|current| current.version).unwrap_or_default()
    }

    /// Returns the time since the value was last known to be current, or `None` if the replica is empty.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.0.as_ref().map(|current| now.since(current.as_of))
    }

    /// Returns whether the value was known to be current within the last `max_age`.
    #[must_use]
    pub fn is_fresh(&self, max_age: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }

    /// Returns whether a peer's value of `version` is newer than the held one and has to be fetched.
    #[must_use]
    pub fn needs(&self, version: Version) -> bool {
        match &self.0 {
            None => version.revision > Revision::default(),
            Some(current) => {
                version.revision > current.version.revision && version.digest != current.version.digest
            }
        }
    }

    /// Returns whether `version` has the revision of the held value and other content.
    ///
    /// One of the two was read wrongly then, or the digests are those of two releases.
    #[must_use]
    pub fn conflicts_with(&self, version: Version) -> bool {
        self.0.as_ref().is_some_and(|current| {
            version.revision == current.version.revision && version.digest != current.version.digest
        })
    }

    /// Records that the value of `version` was current as of `as_of`. Has no effect unless `version` has
    /// the digest of the held value.
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

    /// Installs a value that this router read from the store, like [`Replica::update`]. It also replaces other content
    /// of its revision that was current at an earlier time: the store decides which of the two is right.
    pub fn update_from_store(
        &mut self,
        version: Version,
        as_of: Instant,
        value: impl FnOnce() -> Arc<T>,
    ) -> UpdateOutcome {
        let is_older = |current: &VersionedValue<T>| as_of <= current.as_of;
        if !self.conflicts_with(version) || self.0.as_ref().is_some_and(is_older) {
            return self.update(version, as_of, value);
        }
        self.0 = Some(VersionedValue { version, value: value(), as_of });
        UpdateOutcome::Updated
    }

    /// Installs a value unless a newer or equal revision is held. Equal content only confirms the held value.
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
