//! Reading the platform's store.

use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{Origin, Revision, UpstreamEntry, UpstreamList, Version};
use bendhinge_http::{FetchError, Fetched, empty_body, fetch};
use bendhinge_ids::Instant;
use bendhinge_peer::Known;
use hyper::{Request, StatusCode};
use rustc_hash::FxHasher;
use smol::Timer;

use super::Control;
use crate::dialect::{StorePage, StoredRules, TranslateError};

/// The largest page that is read.
const LARGEST_PAGE: usize = 8 << 20;
/// How often a gateway whose turn it is not looks whether it has become so.
const LOOK: Duration = Duration::from_millis(200);
/// Pages of one path after which a read is given up.
const MOST_PAGES: usize = 200;

/// Why a read of the store gave nothing.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Fetch(#[from] FetchError),
    #[error(transparent)]
    Form(#[from] TranslateError),
    #[error("the store has more pages than {MOST_PAGES}")]
    Endless,
}

/// What the store held.
#[derive(Default)]
struct Contents {
    at: Revision,
    rules: Option<StoredRules>,
    upstreams: Vec<UpstreamEntry>,
}

/// Reads the store whenever it is due, for ever.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        let wait = control.until_due();
        if !wait.is_zero() {
            Timer::after(wait.min(LOOK)).await;
            continue;
        }
        let began = bendhinge_clock::now();
        let contents = read(&control).await;
        let took = bendhinge_clock::now().since(began);
        control.delivering.metrics.store_read(took, contents.is_ok());
        match contents {
            Ok(contents) => {
                control.plan.borrow_mut().succeeded(bendhinge_clock::now());
                control.note_store(true, "");
                let was_lost = control.evidence_is_lost();
                control.take_contents(contents, began);
                if was_lost {
                    // The others wait for this as for news, though it may be no change.
                    control.spread(Origin::Store);
                }
            }
            Err(error) => {
                control.plan.borrow_mut().failed(bendhinge_clock::now());
                control.note_store(false, &error.to_string());
            }
        }
    }
}

async fn read(control: &Control) -> Result<Contents, ReadError> {
    let known = control.delivering.rules.known(bendhinge_clock::now()).map(|known| known.version.revision);
    let mut contents = Contents::default();
    for path in control.delivering.dialect.store_paths() {
        let mut after: Option<String> = None;
        for page_number in 0.. {
            if page_number == MOST_PAGES {
                return Err(ReadError::Endless);
            }
            let page = read_page(control, path, after.as_deref(), known).await?;
            contents.at = if contents.at == Revision::default() { page.at } else { contents.at.min(page.at) };
            contents.rules = page.rules.or(contents.rules);
            contents.upstreams.extend(page.upstreams);
            after = page.next_after;
            if after.is_none() {
                break;
            }
        }
    }
    Ok(contents)
}

async fn read_page(
    control: &Control,
    path: &str,
    after: Option<&str>,
    known: Option<Revision>,
) -> Result<StorePage, ReadError> {
    let dialect = &control.delivering.dialect;
    let store = &control.settings.store;
    let request = Request::get(dialect.page_path(path, after)).header("host", store.address.to_string());
    let request = request.body(empty_body()).map_err(|error| TranslateError::new("the path", &error))?;
    let fetched: Fetched =
        fetch(&control.delivering.pool, store.address, request, LARGEST_PAGE, store.call).await?;
    if fetched.status != StatusCode::OK {
        return Err(FetchError::Status(fetched.status).into());
    }
    Ok(dialect.read_page(&fetched.body, known)?)
}

impl Control {
    /// How long until this gateway should read the store.
    fn until_due(&self) -> Duration {
        let now = bendhinge_clock::now();
        let oldest = self.evidence_age();
        let failing = self.plan.borrow().is_failing();
        let rank = self.roster.borrow().own_rank(failing, now);
        self.plan.borrow().wait(oldest, rank, now)
    }

    /// Whether what is believed is so old that all would read.
    fn evidence_is_lost(&self) -> bool {
        self.evidence_age().is_some_and(|age| age > self.settings.store.reading.last)
    }

    /// The age of the oldest of what the store tells; `None` before it has told all.
    fn evidence_age(&self) -> Option<Duration> {
        let now = bendhinge_clock::now();
        let rules = self.delivering.rules.age(now);
        let upstreams = self.delivering.upstreams.age(now);
        rules.zip(upstreams).map(|(rules, upstreams)| rules.max(upstreams))
    }

    fn note_store(&self, answers: bool, detail: &str) {
        if self.store_answers.replace(Some(answers)) != Some(answers) {
            self.delivering.log.dependency("store", answers, detail);
        }
    }

    fn take_contents(self: &Rc<Self>, contents: Contents, began: Instant) {
        let Contents { at, rules, mut upstreams } = contents;
        if let Some(StoredRules { revision, document }) = rules {
            // A document has one revision: its number tells it from all others.
            let version = Version { revision, digest: revision.0 };
            if self.delivering.rules.lacks(version) {
                let known = Known { version, age: Duration::ZERO };
                self.take_rules(&known, began, document, Origin::Store);
            } else {
                self.delivering.rules.confirm(version, began);
            }
        }
        upstreams.sort_by(|left, right| left.name.cmp(&right.name));
        upstreams.dedup_by(|left, right| left.name == right.name);
        let list = UpstreamList { entries: upstreams.into_iter().map(Arc::new).collect() };
        let known = Known { version: Version { revision: at, digest: digest(&list) }, age: Duration::ZERO };
        self.take_upstreams(&known, began, list, Origin::Store);
    }
}

/// The hash of a list's content, the same at all gateways of one build.
fn digest(list: &UpstreamList) -> u64 {
    let mut hasher = FxHasher::default();
    list.hash(&mut hasher);
    hasher.finish()
}
