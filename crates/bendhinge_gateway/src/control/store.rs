//! Reading the platform's store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{Origin, Revision, StoreReadSchedule, StoreReadTimings, UpstreamList, Version};
use bendhinge_ids::{DataCentreName, Instant};
use bendhinge_peer::HeldVersion;
use smol::Timer;

use super::Control;
use super::pages::{Contents, Found};
use crate::delivery::Delivering;
use crate::dialect::{ForeignEntry, LatestChanges, StorePart, StoredRules};

/// How often a gateway whose turn it is not looks whether it has become so.
const LOOK: Duration = Duration::from_millis(200);
/// How often a gateway that lost the store looks whether it is back: rules that were not known to be
/// current for long are wanted at once.
const LOOK_WHILE_LOST: Duration = Duration::from_millis(50);
/// Rules up to this size, in bytes, are read along with the list, which spares a call; on a link of 10 Mbit/s they delay
/// it by 0.14 s.
const SMALL_RULES: usize = 128 << 10;
/// A list of so many upstreams is read whole, on one page or two: to ask first whether it has changed spares nothing.
const SHORT_LIST: usize = 200;

/// One of the two things that are read, each in its own time: a list of upstreams must not be as
/// old as it takes to read a megabyte of rules, nor be lost with them.
pub(super) struct Reading {
    dependency: &'static str,
    plan: RefCell<StoreReadSchedule>,
    /// Whether the store answered the last read.
    answers: Cell<Option<bool>>,
}

impl Reading {
    /// Nothing was read yet; `dependency` is the name for logs.
    pub(super) const fn new(dependency: &'static str, limits: StoreReadTimings) -> Self {
        Self { dependency, plan: RefCell::new(StoreReadSchedule::new(limits)), answers: Cell::new(None) }
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

impl Control {
    /// Reads a part of the store, or what changed of all that is held, and takes in what it held.
    async fn read(self: &Rc<Self>, part: StorePart, reading: &Reading) {
        let began = bendhinge_clock::now();
        let held_up_to = self.held_up_to().filter(|_| self.reads_changes());
        let found = match held_up_to {
            Some(since) => self.read_changes(since).await,
            None => self.read_whole(part).await,
        };
        let now = bendhinge_clock::now();
        self.delivering.metrics.store_read(now.since(began), found.is_ok());
        match found {
            Ok(found) => {
                reading.plan.borrow_mut().record_success(now);
                if part == StorePart::All {
                    // Rules that it did not hold are not asked for again at once.
                    self.rules_reading.plan.borrow_mut().record_success(now);
                }
                if part == StorePart::Rules {
                    self.is_read_along_slow.set(false);
                }
                self.lost_track.set(false);
                self.note_store(reading, true, "");
                let was_lost = self.evidence_is_lost();
                self.take_found(part, found);
                if was_lost {
                    // The others wait for this as for news, though it may be no change.
                    self.spread(Origin::Store);
                }
            }
            Err(error) if held_up_to.is_some() && error.is_history_lost() => self.lost_track.set(true),
            Err(error) => {
                reading.plan.borrow_mut().record_failure(now);
                if part == StorePart::All && error.is_slow() {
                    // Rules may have come that are not small any more.
                    self.is_read_along_slow.set(true);
                }
                self.note_store(reading, false, &error.to_string());
            }
        }
    }

    fn take_found(self: &Rc<Self>, part: StorePart, found: Found) {
        match found {
            Found::Whole(contents) => self.take_contents(part, contents),
            Found::Changes { began, drained, changes } => self.take_changes(began, drained, changes),
            Found::Told => {}
        }
    }

    /// The store's revision up to which all that it holds is known here.
    fn held_up_to(&self) -> Option<Revision> {
        let now = bendhinge_clock::now();
        let rules = self.delivering.rules.known(now)?;
        let upstreams = self.delivering.upstreams.known(now)?;
        Some(rules.version.revision.min(upstreams.version.revision))
    }

    /// Whether the list is so long that only its changes are read.
    fn reads_changes(&self) -> bool {
        let is_long = |list: Arc<UpstreamList>| list.entries.len() > SHORT_LIST;
        self.delivering.upstreams.list().is_some_and(is_long) && !self.lost_track.get()
    }

    /// How long this gateway waits before it reads a long list to its end.
    pub(super) fn turn_to_read_on(&self, now: Instant) -> Duration {
        let holds_list = self.delivering.upstreams.is_known();
        self.upstreams_reading.plan.borrow().full_list_delay(self.own_rank(now), holds_list)
    }

    /// Whether reads of the store failed last.
    pub(super) fn is_store_failing(&self) -> bool {
        self.upstreams_reading.is_failing() || !self.reads_rules_along() && self.rules_reading.is_failing()
    }

    /// Whether the list and the rules are read in one call.
    fn reads_all(&self) -> bool {
        self.reads_rules_along() || self.knows_nothing()
    }

    /// Whether the rules are so small, as far as is known, that they are read along with the list, or are among what
    /// is read of it if they change.
    fn reads_rules_along(&self) -> bool {
        if self.reads_changes() && self.delivering.rules.current().is_some() {
            return true;
        }
        let held = self.delivering.rules.current();
        let is_small = held.is_some_and(|held| held.document.len() <= SMALL_RULES);
        is_small && !self.is_read_along_slow.get()
    }

    /// Whether the process has just started, as far as the store is concerned. It can serve nothing before it
    /// has both the list and the rules, so both are read in one call. That is over with the first list, which may come
    /// without rules, and with a read that took too long.
    pub(super) fn knows_nothing(&self) -> bool {
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
        self.upstreams_reading.plan.borrow().time_until_read(age, self.own_rank(now), Duration::ZERO, now)
    }

    /// How long until this gateway should read the rules by themselves.
    fn until_rules_due(&self) -> Duration {
        let now = bendhinge_clock::now();
        let age = self.delivering.rules.age(now);
        self.rules_reading.plan.borrow().time_until_read(age, self.own_rank(now), self.rules_cost(), now)
    }

    /// The ages of what is believed from which all would read: of the rules, and of the list.
    pub(super) fn lost_ages(&self) -> LostAges {
        LostAges {
            rules: self.rules_reading.plan.borrow().max_read_age(self.rules_cost()),
            upstreams: self.upstreams_reading.plan.borrow().max_read_age(Duration::ZERO),
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
    fn note_foreign(&self, foreign: &BTreeSet<ForeignEntry>) {
        /// Lines for one read, whatever was written there.
        const MOST_LINES: usize = 16;
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

    /// Begins to serve with the first page of a list that takes long to read whole: its rules, and the upstreams on it.
    pub(super) fn begin_with(self: &Rc<Self>, mut contents: Contents) {
        let (began, at) = (contents.began, contents.at);
        if let Some(StoredRules { revision, document }) = contents.rules.take() {
            let version = Version::of_document(revision, at);
            // All that start read this page, so it is no news to any.
            self.hold_rules(&just_read(version), began, document, Origin::Store);
        }
        self.delivering.upstreams.begin_with(Arc::new(contents.into_list()));
    }

    fn take_contents(self: &Rc<Self>, part: StorePart, mut contents: Contents) {
        let (began, at) = (contents.began, contents.at);
        if let Some(rules) = contents.rules.take() {
            self.take_stored_rules(rules, at, began);
        }
        if !part.has_upstreams() {
            return;
        }
        self.note_foreign(&contents.foreign.drain(..).collect());
        self.take_stored_list(contents.into_list(), at, began);
    }

    fn take_changes(
        self: &Rc<Self>,
        began: Instant,
        mut drained: Vec<DataCentreName>,
        changes: LatestChanges,
    ) {
        let LatestChanges { at, rules, came, gone, foreign, keys } = changes;
        drained.sort_unstable();
        drained.dedup();
        let now = bendhinge_clock::now();
        let Delivering { rules: held_rules, upstreams, .. } = &*self.delivering;
        match (rules, held_rules.known(now)) {
            (Some(rules), _) => self.take_stored_rules(rules, at, began),
            (None, Some(held)) => {
                held_rules.confirm(Version { revision: at, ..held.version }, began);
            }
            (None, None) => {}
        }
        let was_touched = |entry: &ForeignEntry| keys.contains(&entry.key);
        let mut all_foreign = self.foreign.borrow().clone();
        all_foreign.retain(|entry| !was_touched(entry));
        all_foreign.extend(foreign);
        self.note_foreign(&all_foreign);
        let (Some(list), Some(held)) = (upstreams.list(), upstreams.known(now)) else { return };
        if came.is_empty() && gone.is_empty() && drained == list.drained {
            upstreams.confirm(Version { revision: at, ..held.version }, began);
            return;
        }
        self.take_stored_list(list.with_store_changes(came, &gone, drained), at, began);
    }

    /// Takes the list that the store held at the revision `at`, by a read that began at `began`.
    fn take_stored_list(self: &Rc<Self>, list: UpstreamList, at: Revision, began: Instant) {
        let version = Version { revision: at, digest: list.digest() };
        self.take_upstreams(&just_read(version), began, list, Origin::Store);
    }

    /// Takes the rules that the store held at the revision `at`, by a read that began at `began`.
    fn take_stored_rules(self: &Rc<Self>, rules: StoredRules, at: Revision, began: Instant) {
        let version = Version::of_document(rules.revision, at);
        if self.delivering.rules.lacks(version) {
            self.take_rules(&just_read(version), began, rules.document, Origin::Store);
        } else {
            self.delivering.rules.confirm(version, began);
        }
    }
}

/// A version that was current when the read of it began.
const fn just_read(version: Version) -> HeldVersion {
    HeldVersion { version, age: Duration::ZERO }
}

/// From which age on a belief counts as lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostAges {
    pub(super) rules: Duration,
    pub(super) upstreams: Duration,
}
