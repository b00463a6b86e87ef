//! Schedules the reads of the platform's store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{Origin, Revision, StoreReadSchedule, StoreReadTimings, UpstreamList};
use bendhinge_ids::Instant;
use smol::Timer;

use super::ControlPlane;
use super::apply::NotApplied;
use crate::delivery::DeliveryContext;
use crate::dialect::StorePart;
use crate::metrics::StoreReadResult;

/// Maximum time between checks whether a read is due, since ranks and replica ages change meanwhile.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the reads of rules check whether a failing store is back. It is short because
/// outdated rules are needed at once.
const FAILING_STORE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of rules that are read together with the list, which saves a call without delaying
/// the list noticeably.
const SMALL_RULES_MAX_BYTES: usize = 128 << 10;
/// Maximum number of upstreams of a list that is always read in full. It fits on one or two pages,
/// so checking for changes first would save nothing.
const SHORT_LIST_MAX_UPSTREAMS: usize = 200;

/// State of the reads of the list of upstreams or of the rules.
///
/// The two are read independently, so that the list is not delayed by large rules and stays
/// available if reading the rules fails.
pub(super) struct StoreReader {
    dependency: &'static str,
    schedule: RefCell<StoreReadSchedule>,
    /// Whether the last read succeeded, or `None` before the first.
    is_available: Cell<Option<bool>>,
}

impl StoreReader {
    /// Creates the state without any past read; `dependency` is the name of the store in logs.
    pub(super) const fn new(dependency: &'static str, timings: StoreReadTimings) -> Self {
        Self {
            dependency,
            schedule: RefCell::new(StoreReadSchedule::new(timings)),
            is_available: Cell::new(None),
        }
    }

    fn is_failing(&self) -> bool {
        self.schedule.borrow().is_failing()
    }
}

/// Reads the list of upstreams, and small rules with it, whenever it is due. Never returns.
pub(super) async fn run_list_reads(control: Rc<ControlPlane>) {
    loop {
        let wait = control.time_until_list_read();
        if !wait.is_zero() {
            Timer::after(wait.min(MAX_CHECK_INTERVAL)).await;
            continue;
        }
        let part = if control.reads_in_one_call() { StorePart::All } else { StorePart::Upstreams };
        control.read(part, &control.list_reader).await;
    }
}

/// Reads rules that are not read together with the list whenever they are due. Never returns.
pub(super) async fn run_rules_reads(control: Rc<ControlPlane>) {
    loop {
        let wait = if control.reads_in_one_call() {
            MAX_CHECK_INTERVAL
        } else if control.list_reader.is_failing() {
            // The small reads of the list detect when the store is back.
            FAILING_STORE_CHECK_INTERVAL
        } else {
            control.time_until_rules_read()
        };
        if !wait.is_zero() {
            Timer::after(wait.min(MAX_CHECK_INTERVAL)).await;
            continue;
        }
        control.read(StorePart::Rules, &control.rules_reader).await;
    }
}

impl ControlPlane {
    /// Reads a part of the store, or all changes since the synced revision, and applies the result.
    async fn read(self: &Rc<Self>, part: StorePart, reader: &StoreReader) {
        let start = bendhinge_clock::now();
        let held = self.synced_revision();
        let base = held.filter(|_| self.reads_changes_only() && !self.has_list_conflict());
        let outcome = match base {
            Some(since) => self.read_changes(since).await,
            None => self.read_part(part).await,
        };
        let now = bendhinge_clock::now();
        let duration = now.since(start);
        match outcome {
            Ok(outcome) => {
                if part == StorePart::All {
                    // If the store held no rules, they must not be read again at once.
                    self.rules_reader.schedule.borrow_mut().record_success(now);
                }
                if part == StorePart::Rules {
                    self.has_combined_read_timed_out.set(false);
                }
                self.is_history_lost.set(false);
                let was_overdue = self.is_replica_overdue();
                let check = self.apply_outcome(part, outcome, held);
                self.record_applied(reader, duration, check);
                if was_overdue {
                    // Peers wait for evidence that their versions are current, even if nothing
                    // changed.
                    self.spawn_push(Origin::Store);
                }
            }
            Err(error) if base.is_some() && error.is_history_lost() => {
                self.context.metrics.record_store_read(duration, StoreReadResult::Failed);
                self.is_history_lost.set(true);
            }
            Err(error) => {
                self.context.metrics.record_store_read(duration, StoreReadResult::Failed);
                reader.schedule.borrow_mut().record_failure(now);
                if part == StorePart::All && error.is_timeout() {
                    // The timeout may be due to rules that have grown large.
                    self.has_combined_read_timed_out.set(true);
                }
                self.log_store_state(reader, false, &error.to_string());
            }
        }
    }

    /// Records a read that the store answered. One that left a replica outdated waits like a failed one, since it
    /// would be due again at once.
    fn record_applied(&self, reader: &StoreReader, duration: Duration, check: Result<(), NotApplied>) {
        let now = bendhinge_clock::now();
        match check {
            Ok(()) => {
                self.context.metrics.record_store_read(duration, StoreReadResult::Answered);
                reader.schedule.borrow_mut().record_success(now);
                self.log_store_state(reader, true, "");
            }
            Err(error) => {
                self.context.metrics.record_store_read(duration, StoreReadResult::NotApplied);
                reader.schedule.borrow_mut().record_failure(now);
                self.log_store_state(reader, false, &error.to_string());
            }
        }
    }

    /// Returns the revision of the store up to which both list and rules are known.
    fn synced_revision(&self) -> Option<Revision> {
        let now = bendhinge_clock::now();
        let rules = self.context.rules.held_version(now)?;
        let upstreams = self.context.upstreams.held_version(now)?;
        Some(rules.version.revision.min(upstreams.version.revision))
    }

    /// Returns whether only the changes of the store are read, because the list is long.
    fn reads_changes_only(&self) -> bool {
        let is_long = |list: Arc<UpstreamList>| list.entries.len() > SHORT_LIST_MAX_UPSTREAMS;
        self.context.upstreams.list().is_some_and(is_long) && !self.is_history_lost.get()
    }

    /// Returns how long this gateway waits before it reads all pages of a long list.
    pub(super) fn full_list_delay(&self, now: Instant) -> Duration {
        let holds_list = self.context.upstreams.has_list();
        self.list_reader.schedule.borrow().full_list_delay(self.own_rank(now), holds_list)
    }

    /// Returns whether the last read of the list or of the rules failed.
    pub(super) fn is_store_failing(&self) -> bool {
        self.list_reader.is_failing() || !self.reads_rules_with_list() && self.rules_reader.is_failing()
    }

    /// Returns whether list and rules are read in one call.
    fn reads_in_one_call(&self) -> bool {
        self.reads_rules_with_list() || self.awaits_initial_read()
    }

    /// Returns whether the rules are read together with the list, because they are small or because
    /// changes of the whole store are read.
    fn reads_rules_with_list(&self) -> bool {
        if self.reads_changes_only() && self.context.rules.current().is_some() {
            return true;
        }
        let held = self.context.rules.current();
        let is_small = held.is_some_and(|held| held.document.len() <= SMALL_RULES_MAX_BYTES);
        is_small && !self.has_combined_read_timed_out.get()
    }

    /// Returns whether the initial combined read of list and rules is outstanding.
    ///
    /// Serving needs both, so a gateway that holds neither reads them in one call until a list
    /// arrives, with or without rules, or a combined read times out.
    pub(super) fn awaits_initial_read(&self) -> bool {
        let is_empty = self.context.rules.current().is_none() && !self.context.upstreams.has_list();
        is_empty && !self.has_combined_read_timed_out.get()
    }

    /// Returns the transfer time of the rules over this box's link, or zero if they are read together
    /// with the list.
    fn rules_read_cost(&self) -> Duration {
        /// Growth of a value by the base64 encoding of the store.
        const BASE64_GROWTH: f64 = 4.0 / 3.0;
        if self.reads_rules_with_list() {
            return Duration::ZERO;
        }
        let length = self.context.rules.current().map_or(0, |current| current.document.len());
        self.settings.link.transfer_time(length as f64 * BASE64_GROWTH)
    }

    /// Returns the time until the next read of the list of upstreams.
    fn time_until_list_read(&self) -> Duration {
        let now = bendhinge_clock::now();
        let upstreams = self.context.upstreams.age(now);
        let age = if self.reads_rules_with_list() {
            upstreams.max(self.context.rules.age(now)).filter(|_| upstreams.is_some())
        } else {
            upstreams
        };
        self.list_reader.schedule.borrow().time_until_read(age, self.own_rank(now), Duration::ZERO, now)
    }

    /// Returns the time until the next separate read of the rules.
    fn time_until_rules_read(&self) -> Duration {
        let now = bendhinge_clock::now();
        let age = self.context.rules.age(now);
        self.rules_reader.schedule.borrow().time_until_read(
            age,
            self.own_rank(now),
            self.rules_read_cost(),
            now,
        )
    }

    /// Returns the replica ages at which every gateway reads the store.
    pub(super) fn max_replica_ages(&self) -> MaxReplicaAges {
        MaxReplicaAges {
            rules: self.rules_reader.schedule.borrow().max_read_age(self.rules_read_cost()),
            upstreams: self.list_reader.schedule.borrow().max_read_age(Duration::ZERO),
        }
    }

    /// Returns whether the list or the rules have reached the age at which every gateway reads the
    /// store.
    fn is_replica_overdue(&self) -> bool {
        let now = bendhinge_clock::now();
        let max_ages = self.max_replica_ages();
        let DeliveryContext { rules, upstreams, .. } = &*self.context;
        rules.age(now).is_some_and(|age| age > max_ages.rules)
            || upstreams.age(now).is_some_and(|age| age > max_ages.upstreams)
    }

    /// Logs that the store became available or unavailable.
    fn log_store_state(&self, reader: &StoreReader, is_available: bool, detail: &str) {
        if reader.is_available.replace(Some(is_available)) != Some(is_available) {
            self.context.log.dependency_changed(reader.dependency, is_available, detail);
        }
    }
}

/// Replica ages at which every gateway reads the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct MaxReplicaAges {
    pub(super) rules: Duration,
    pub(super) upstreams: Duration,
}
