//! Reading the platform's store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{Origin, ReadingLimits, ReadingPlan, Revision, UpstreamEntry, UpstreamList, Version};
use bendhinge_http::{FetchError, FetchTime, Fetched, empty_body, fetch};
use bendhinge_ids::{DataCentreName, Instant};
use bendhinge_peer::Known;
use hyper::{Request, StatusCode};
use smol::Timer;

use super::Control;
use crate::delivery::Delivering;
use crate::dialect::{ForeignEntry, StorePage, StorePart, StoredRules, TranslateError};

/// The largest page that is read.
const LARGEST_PAGE: usize = 8 << 20;
/// How often a gateway whose turn it is not looks whether it has become so.
const LOOK: Duration = Duration::from_millis(200);
/// How often a gateway that lost the store looks whether it is back: rules that were not known to be
/// current for long are wanted at once.
const LOOK_WHILE_LOST: Duration = Duration::from_millis(50);
/// Pages after which a read is given up.
const MOST_PAGES: usize = 200;
/// Rules up to this size are read along with the list, since the platform prices each call; on the
/// narrowest link of the sites, 10 Mbit/s, they delay it by 0.14 s.
const SMALL_RULES: usize = 128 << 10;
/// Time to read large rules. The largest take 1.1 s on that link when nothing else is on it.
const RULES_TIME: Duration = Duration::from_secs(4);

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
    drained: Vec<DataCentreName>,
    foreign: Vec<ForeignEntry>,
}

/// One of the two things that are read, each in its own time: a list of upstreams must not be as
/// old as it takes to read a megabyte of rules, nor be lost with them.
pub(super) struct Reading {
    dependency: &'static str,
    plan: RefCell<ReadingPlan>,
    /// Whether the store answered the last read.
    answers: Cell<Option<bool>>,
}

impl Reading {
    /// Nothing was read yet; `dependency` is the name for logs.
    pub(super) const fn new(dependency: &'static str, limits: ReadingLimits) -> Self {
        Self { dependency, plan: RefCell::new(ReadingPlan::new(limits)), answers: Cell::new(None) }
    }

    fn is_failing(&self) -> bool {
        self.plan.borrow().is_failing()
    }
}

/// Reads the list of upstreams whenever it is due, for ever, and small rules with it.
pub(super) async fn read_upstreams(control: Rc<Control>) {
    loop {
        let wait = control.until_upstreams_due();
        if !wait.is_zero() {
            Timer::after(wait.min(LOOK)).await;
            continue;
        }
        let part = if control.reads_all() { StorePart::All } else { StorePart::Upstreams };
        control.read(part, &control.upstreams_reading).await;
    }
}

/// Reads rules that are not read along with the list whenever it is due, for ever.
pub(super) async fn read_rules(control: Rc<Control>) {
    loop {
        let wait = if control.reads_all() {
            LOOK
        } else if control.upstreams_reading.is_failing() {
            // Whether the store is back is found out with the list, which is small.
            LOOK_WHILE_LOST
        } else {
            control.until_rules_due()
        };
        if !wait.is_zero() {
            Timer::after(wait.min(LOOK)).await;
            continue;
        }
        control.read(StorePart::Rules, &control.rules_reading).await;
    }
}

async fn read_pages(control: &Control, part: StorePart) -> Result<Contents, ReadError> {
    let known = control.delivering.rules.known(bendhinge_clock::now()).map(|known| known.version.revision);
    let mut contents = Contents::default();
    let mut after: Option<String> = None;
    for page_number in 0.. {
        if page_number == MOST_PAGES {
            return Err(ReadError::Endless);
        }
        let page = read_page(control, part, after.as_deref(), known).await?;
        contents.at = if contents.at == Revision::default() { page.at } else { contents.at.min(page.at) };
        contents.rules = page.rules.or(contents.rules);
        contents.upstreams.extend(page.upstreams);
        contents.drained.extend(page.drained);
        contents.foreign.extend(page.foreign);
        after = page.next_after;
        if after.is_none() {
            break;
        }
    }
    Ok(contents)
}

async fn read_page(
    control: &Control,
    part: StorePart,
    after: Option<&str>,
    known: Option<Revision>,
) -> Result<StorePage, ReadError> {
    let dialect = &control.delivering.dialect;
    let store = &control.settings.store;
    let request = Request::get(dialect.page_path(part, after)).header("host", store.address.to_string());
    let request = request.body(empty_body()).map_err(|error| TranslateError::new("the path", &error))?;
    let may_be_large = part == StorePart::Rules || control.knows_nothing();
    let whole = if may_be_large { RULES_TIME } else { store.call };
    let time = FetchTime { silence: store.call, whole };
    let fetched: Fetched =
        fetch(&control.delivering.pool, store.address, request, LARGEST_PAGE, time).await?;
    if fetched.status != StatusCode::OK {
        return Err(FetchError::Status(fetched.status).into());
    }
    Ok(dialect.read_page(&fetched.body, known)?)
}

impl Control {
    /// Reads a part of the store and takes in what it held.
    async fn read(self: &Rc<Self>, part: StorePart, reading: &Reading) {
        let began = bendhinge_clock::now();
        let contents = read_pages(self, part).await;
        let now = bendhinge_clock::now();
        self.delivering.metrics.store_read(now.since(began), contents.is_ok());
        match contents {
            Ok(contents) => {
                reading.plan.borrow_mut().succeeded(now);
                if part == StorePart::All {
                    // Rules that it did not hold are not asked for again at once.
                    self.rules_reading.plan.borrow_mut().succeeded(now);
                }
                if part == StorePart::Rules {
                    self.is_read_along_slow.set(false);
                }
                self.note_store(reading, true, "");
                let was_lost = self.evidence_is_lost();
                self.take_contents(part, contents, began);
                if was_lost {
                    // The others wait for this as for news, though it may be no change.
                    self.spread(Origin::Store);
                }
            }
            Err(error) => {
                reading.plan.borrow_mut().failed(now);
                let is_slow = matches!(error, ReadError::Fetch(FetchError::Timeout(_)));
                if part == StorePart::All && is_slow {
                    // Rules may have come that are not small any more.
                    self.is_read_along_slow.set(true);
                }
                self.note_store(reading, false, &error.to_string());
            }
        }
    }

    /// Whether reads of the store failed last.
    pub(super) fn is_store_failing(&self) -> bool {
        self.upstreams_reading.is_failing() || !self.reads_rules_along() && self.rules_reading.is_failing()
    }

    /// Whether the list and the rules are read in one call.
    fn reads_all(&self) -> bool {
        self.reads_rules_along() || self.knows_nothing()
    }

    /// Whether the rules are so small, as far as is known, that they are read along with the list.
    fn reads_rules_along(&self) -> bool {
        let held = self.delivering.rules.current();
        let is_small = held.is_some_and(|held| held.document.len() <= SMALL_RULES);
        is_small && !self.is_read_along_slow.get()
    }

    /// Whether the process has just started, as far as the store is concerned. It can serve nothing before it
    /// has both the list and the rules, so both are read in one call: on a day with two starts of 295 boxes
    /// the fleet made 1,136 calls in place of 1,702. That is over with the first list, which may come without
    /// rules, and with a read that took too long.
    fn knows_nothing(&self) -> bool {
        let is_empty = self.delivering.rules.current().is_none() && !self.delivering.upstreams.is_known();
        is_empty && !self.is_read_along_slow.get()
    }

    /// How long it takes to read large rules on this box's link.
    fn rules_cost(&self) -> Duration {
        /// The store hands out a value as base64.
        const ENCODED: f64 = 4.0 / 3.0;
        if self.reads_rules_along() {
            return Duration::ZERO;
        }
        let length = self.delivering.rules.current().map_or(0, |current| current.document.len());
        self.settings.link.time_for(length as f64 * ENCODED)
    }

    /// How long until this gateway should read the list of upstreams.
    fn until_upstreams_due(&self) -> Duration {
        let now = bendhinge_clock::now();
        let upstreams = self.delivering.upstreams.age(now);
        let age = if self.reads_rules_along() {
            upstreams.max(self.delivering.rules.age(now)).filter(|_| upstreams.is_some())
        } else {
            upstreams
        };
        self.upstreams_reading.plan.borrow().wait(age, self.own_rank(now), Duration::ZERO, now)
    }

    /// How long until this gateway should read the rules by themselves.
    fn until_rules_due(&self) -> Duration {
        let now = bendhinge_clock::now();
        let age = self.delivering.rules.age(now);
        self.rules_reading.plan.borrow().wait(age, self.own_rank(now), self.rules_cost(), now)
    }

    /// The ages of what is believed from which all would read: of the rules, and of the list.
    pub(super) fn lost_ages(&self) -> LostAges {
        LostAges {
            rules: self.rules_reading.plan.borrow().last(self.rules_cost()),
            upstreams: self.upstreams_reading.plan.borrow().last(Duration::ZERO),
        }
    }

    /// Whether what is believed is so old that all would read.
    fn evidence_is_lost(&self) -> bool {
        let now = bendhinge_clock::now();
        let lost = self.lost_ages();
        let Delivering { rules, upstreams, .. } = &*self.delivering;
        rules.age(now).is_some_and(|age| age > lost.rules)
            || upstreams.age(now).is_some_and(|age| age > lost.upstreams)
    }

    fn note_store(&self, reading: &Reading, answers: bool, detail: &str) {
        if reading.answers.replace(Some(answers)) != Some(answers) {
            self.delivering.log.dependency(reading.dependency, answers, detail);
        }
    }

    /// Notes which entries are of other writers now; what changed of them is worth a line.
    fn note_foreign(&self, foreign: Vec<ForeignEntry>) {
        /// Lines for one read, whatever was written there.
        const MOST_LINES: usize = 16;
        let foreign: BTreeSet<ForeignEntry> = foreign.into_iter().collect();
        let Delivering { log, metrics, .. } = &*self.delivering;
        metrics.foreign_entries(foreign.len());
        let before = self.foreign.replace(foreign.clone());
        for came in foreign.difference(&before).take(MOST_LINES) {
            log.foreign_entry(&came.key, Some(&came.why));
        }
        let is_gone = |gone: &&ForeignEntry| !foreign.iter().any(|entry| entry.key == gone.key);
        for gone in before.iter().filter(is_gone).take(MOST_LINES) {
            log.foreign_entry(&gone.key, None);
        }
    }

    fn take_contents(self: &Rc<Self>, part: StorePart, contents: Contents, began: Instant) {
        let Contents { at, rules, mut upstreams, mut drained, foreign } = contents;
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
        if !part.has_upstreams() {
            return;
        }
        self.note_foreign(foreign);
        upstreams.sort_by(|left, right| left.name.cmp(&right.name));
        upstreams.dedup_by(|left, right| left.name == right.name);
        drained.sort_unstable();
        drained.dedup();
        let list = UpstreamList { entries: upstreams.into_iter().map(Arc::new).collect(), drained };
        let known = Known { version: Version { revision: at, digest: list.digest() }, age: Duration::ZERO };
        self.take_upstreams(&known, began, list, Origin::Store);
    }
}

/// From which age on a belief counts as lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostAges {
    pub(super) rules: Duration,
    pub(super) upstreams: Duration,
}
