//! How the platform's store is read: whole, page by page, or what changed since it was.
//!
//! A list of a few upstreams is on one page, which is read again and again. A long one takes many calls and megabytes:
//! whoever holds one asks only whether the store has changed, and for the changes. Whoever holds none begins to serve
//! with the first page, and reads the others when it is its turn; nearly always somebody else tells it the list
//! before.

use std::rc::Rc;
use std::time::Duration;

use bendhinge_fleet::{Revision, UpstreamEntry, UpstreamList};
use bendhinge_http::{FetchError, FetchTimeouts, Fetched, empty_body, fetch};
use bendhinge_ids::{DataCentreName, Instant};
use hyper::{Request, StatusCode};
use smol::Timer;

use super::Control;
use crate::dialect::{
    ForeignEntry, LatestChanges, StoreChanges, StorePage, StorePart, StoredRules, TranslateError,
};

/// The largest page that is read.
const LARGEST_PAGE: usize = 8 << 20;
/// Pages after which a read is given up.
const MOST_PAGES: usize = 200;
/// Time to read large rules. The largest take 1.1 s on a link of 10 Mbit/s when nothing else is on it.
const RULES_TIME: Duration = Duration::from_secs(4);
/// How often a gateway that waits for its turn looks whether it has come.
const LOOK: Duration = Duration::from_millis(100);

/// Why a read of the store gave nothing.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    #[error(transparent)]
    Fetch(#[from] FetchError),
    #[error(transparent)]
    Form(#[from] TranslateError),
    #[error("the store has more pages than {MOST_PAGES}")]
    Endless,
    #[error("the store tells no changes since revision {}", .0.0)]
    NoChanges(Revision),
}

impl ReadError {
    /// Whether the store has forgotten, or does not say, what changed.
    pub(super) const fn is_history_lost(&self) -> bool {
        matches!(
            self,
            Self::NoChanges(_) | Self::Fetch(FetchError::Status(StatusCode::GONE | StatusCode::NOT_FOUND))
        )
    }

    /// Whether the time for it was over.
    pub(super) const fn is_slow(&self) -> bool {
        matches!(self, Self::Fetch(FetchError::Timeout(_)))
    }
}

/// What the store held.
#[derive(Default)]
pub(super) struct Contents {
    /// When the read began.
    pub(super) began: Instant,
    pub(super) at: Revision,
    pub(super) rules: Option<StoredRules>,
    pub(super) upstreams: Vec<UpstreamEntry>,
    pub(super) drained: Vec<DataCentreName>,
    pub(super) foreign: Vec<ForeignEntry>,
}

impl Contents {
    fn take(&mut self, page: StorePage) {
        self.at = if self.at == Revision::default() { page.at } else { self.at.min(page.at) };
        self.rules = page.rules.or_else(|| self.rules.take());
        self.upstreams.extend(page.upstreams);
        self.drained.extend(page.drained);
        self.foreign.extend(page.foreign);
    }

    /// The list of upstreams.
    pub(super) fn into_list(mut self) -> UpstreamList {
        self.upstreams.sort_by(|left, right| left.name.cmp(&right.name));
        self.upstreams.dedup_by(|left, right| left.name == right.name);
        self.drained.sort_unstable();
        self.drained.dedup();
        UpstreamList { entries: self.upstreams.into_iter().map(Into::into).collect(), drained: self.drained }
    }
}

/// What a read of the store found.
pub(super) enum Found {
    /// All of a part.
    Whole(Contents),
    /// What changed since what is held.
    Changes {
        /// When the read began.
        began: Instant,
        /// Which data centres are drained, all of them.
        drained: Vec<DataCentreName>,
        changes: LatestChanges,
    },
    /// What others told while it was waited for.
    Told,
}

impl Control {
    /// Reads all of a part.
    pub(super) async fn read_whole(self: &Rc<Self>, part: StorePart) -> Result<Found, ReadError> {
        let began = bendhinge_clock::now();
        let page = self.read_page(part, None).await?;
        if page.next_after.is_none() || !part.has_upstreams() {
            return self.read_on(part, page, began).await;
        }
        if !self.delivering.upstreams.is_known() {
            let mut contents = Contents { began, ..Contents::default() };
            contents.take(page);
            self.begin_with(contents);
        }
        if !self.comes_to_its_turn().await {
            return Ok(Found::Told);
        }
        let began = bendhinge_clock::now();
        let page = self.read_page(part, None).await?;
        self.read_on(part, page, began).await
    }

    /// Reads what comes after the first page, unless others tell the list meanwhile; the read began at `began`.
    async fn read_on(
        &self,
        part: StorePart,
        mut page: StorePage,
        began: Instant,
    ) -> Result<Found, ReadError> {
        let mut contents = Contents { began, ..Contents::default() };
        for _ in 0..MOST_PAGES {
            let after = page.next_after.take();
            contents.take(page);
            if after.is_none() {
                return Ok(Found::Whole(contents));
            }
            if self.is_list_known_since(began) {
                return Ok(Found::Told);
            }
            page = self.read_page(part, after.as_deref()).await?;
        }
        Err(ReadError::Endless)
    }

    /// Waits for its turn to read a long list; `false` if others told it meanwhile.
    async fn comes_to_its_turn(&self) -> bool {
        let began = bendhinge_clock::now();
        loop {
            let now = bendhinge_clock::now();
            let turn = self.turn_to_read_on(now);
            let waited = now.since(began);
            if waited >= turn {
                return true;
            }
            Timer::after(LOOK.min(turn.saturating_sub(waited))).await;
            if self.is_list_known_since(began) {
                return false;
            }
        }
    }

    /// Reads what changed since what is held. Whether anything did is said by the revision of a page that holds little.
    pub(super) async fn read_changes(&self, since: Revision) -> Result<Found, ReadError> {
        let began = bendhinge_clock::now();
        let StorePage { at, drained, foreign, .. } = self.read_page(StorePart::Drained, None).await?;
        let mut read = StoreChanges { at: since, ..StoreChanges::default() };
        while read.at < at {
            let told = self.changes_since(read.at).await?;
            if told.at <= read.at {
                return Err(ReadError::NoChanges(read.at));
            }
            read.at = told.at;
            read.changes.extend(told.changes);
        }
        let mut changes = read.latest();
        changes.foreign.extend(foreign);
        Ok(Found::Changes { began, drained, changes })
    }

    async fn changes_since(&self, since: Revision) -> Result<StoreChanges, ReadError> {
        let dialect = &self.delivering.dialect;
        // The rules may be among them.
        let body = self.fetch_from_store(&dialect.changes_path(since), RULES_TIME).await?;
        Ok(dialect.read_changes(&body)?)
    }

    async fn read_page(&self, part: StorePart, after: Option<&str>) -> Result<StorePage, ReadError> {
        let known = self.known_document();
        let dialect = &self.delivering.dialect;
        let may_be_large = part == StorePart::Rules || self.knows_nothing();
        let whole = if may_be_large { RULES_TIME } else { self.settings.store.call };
        let body = self.fetch_from_store(&dialect.page_path(part, after), whole).await?;
        Ok(dialect.read_page(&body, known)?)
    }

    async fn fetch_from_store(&self, path: &str, whole: Duration) -> Result<bytes::Bytes, ReadError> {
        let store = &self.settings.store;
        let request = Request::get(path).header("host", store.address.to_string());
        let request = request.body(empty_body()).map_err(|error| TranslateError::new("the path", &error))?;
        let time = FetchTimeouts { read: store.call, total: whole };
        let fetched: Fetched =
            fetch(&self.delivering.pool, store.address, request, LARGEST_PAGE, time).await?;
        if fetched.status != StatusCode::OK {
            return Err(FetchError::Status(fetched.status).into());
        }
        Ok(fetched.body)
    }

    /// The revision of the document of rules that is held.
    fn known_document(&self) -> Option<Revision> {
        let held = self.delivering.rules.known(bendhinge_clock::now())?;
        Some(held.version.document())
    }

    /// Whether the list that is held was known to be current at `since` or later.
    fn is_list_known_since(&self, since: Instant) -> bool {
        let now = bendhinge_clock::now();
        self.delivering.upstreams.age(now).is_some_and(|age| now - age >= since)
    }
}
