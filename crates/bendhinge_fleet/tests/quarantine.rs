//! Quarantine of requests that crash upstreams.

use std::time::Duration;

use bendhinge_fleet::{
    Crash, CrashHistory, InFlightSends, MAX_CRASHES, Quarantine, SendPermission, UpdateSource,
};
use bendhinge_ids::{Instant, NameHash, RequestDigest};

const CRASHING: RequestDigest = RequestDigest(1);
const HEALTHY: RequestDigest = RequestDigest(2);
const LOCAL_ROUTER: NameHash = NameHash(100);
const OTHER_ROUTER: NameHash = NameHash(101);
const SOFTWARE: NameHash = NameHash(7);

fn at(seconds: u64) -> Instant {
    Instant::from_millis(1_000_000 + seconds * 1_000)
}

fn crash(upstream: u64, seconds: u64) -> Crash {
    Crash { upstream: NameHash(upstream), software: SOFTWARE, at: at(seconds) }
}

/// Records a crash under a request that was sent a second before.
fn record_crash_after_send(quarantine: &mut Quarantine, request: RequestDigest, crash: Crash) -> bool {
    quarantine.record_crash(request, crash, crash.at - Duration::from_secs(1), crash.at)
}

/// Creates a quarantine in which the request crashed the given upstreams, one per second.
fn quarantine_with_crashes(request: RequestDigest, upstreams: impl IntoIterator<Item = u64>) -> Quarantine {
    let mut quarantine = Quarantine::new(LOCAL_ROUTER);
    for (seconds, upstream) in (0..).zip(upstreams) {
        assert!(record_crash_after_send(&mut quarantine, request, crash(upstream, seconds)));
    }
    quarantine
}

/// Returns all histories of a router, as it reports them to others.
fn snapshot(quarantine: &Quarantine) -> Vec<(RequestDigest, CrashHistory)> {
    quarantine.histories().map(|(request, history)| (request, history.clone())).collect()
}

fn merge_all(from: &Quarantine, name: NameHash, to: &mut Quarantine, now: Instant) -> bool {
    let mut is_changed = false;
    for (request, history) in &snapshot(from) {
        is_changed |= to.merge(*request, history, UpdateSource::Router(name), now);
    }
    is_changed
}

fn is_quarantined(quarantine: &Quarantine, request: RequestDigest, now: Instant) -> bool {
    matches!(quarantine.permission(request, now), SendPermission::Quarantined(_))
}

#[test]
fn request_is_quarantined_after_three_crashes() {
    assert_eq!(Quarantine::new(LOCAL_ROUTER).permission(CRASHING, at(0)), SendPermission::Allowed);
    assert_eq!(
        quarantine_with_crashes(CRASHING, [1]).permission(CRASHING, at(1)),
        SendPermission::Allowed,
        "one crash is not enough"
    );
    assert_eq!(
        quarantine_with_crashes(CRASHING, [1, 2]).permission(CRASHING, at(2)),
        SendPermission::Tracked
    );
    assert!(is_quarantined(&quarantine_with_crashes(CRASHING, [1, 2, 3]), CRASHING, at(3)));
    assert_eq!(
        quarantine_with_crashes(CRASHING, [1, 2, 3]).permission(HEALTHY, at(3)),
        SendPermission::Allowed
    );
}

#[test]
fn duplicate_crash_of_one_instance_counts_once() {
    let mut quarantine = quarantine_with_crashes(CRASHING, [1, 2]);
    assert!(!record_crash_after_send(&mut quarantine, CRASHING, crash(2, 1)));
    assert_eq!(quarantine.crash_count(CRASHING), 2);
}

/// An upstream may restart under its name and crash again before the list shows the new instance.
#[test]
fn crash_of_restarted_upstream_counts_again() {
    let mut quarantine = quarantine_with_crashes(CRASHING, [1]);
    let second_crash = crash(1, 6);
    assert!(quarantine.record_crash(CRASHING, second_crash, at(5), at(6)));
    // Another router that knows of the first crash derives the same instance for the second.
    let mut other = quarantine_with_crashes(CRASHING, [1]);
    assert!(other.record_crash(CRASHING, second_crash, at(5), at(6)));
    merge_all(&quarantine, LOCAL_ROUTER, &mut other, at(6));
    assert_eq!(other.crash_count(CRASHING), 2);
    // A router that was paused detects the first crash late: it had sent the request before.
    assert!(!other.record_crash(CRASHING, crash(1, 9), at(0) - Duration::from_millis(1), at(9)));
}

#[test]
fn crashes_seen_by_different_routers_add_up() {
    let mut seen = [
        quarantine_with_crashes(CRASHING, [1]),
        quarantine_with_crashes(CRASHING, [2]),
        quarantine_with_crashes(CRASHING, [3]),
    ];
    let [first, second, third] = &mut seen;
    assert!(merge_all(first, LOCAL_ROUTER, second, at(0)));
    assert!(merge_all(second, OTHER_ROUTER, third, at(1)));
    assert!(is_quarantined(third, CRASHING, at(1)));
    // Merging the same histories again changes nothing.
    assert!(!merge_all(second, OTHER_ROUTER, third, at(1)));
}

#[test]
fn crashes_plus_sends_in_flight_do_not_exceed_limit() {
    let mut quarantine = quarantine_with_crashes(CRASHING, [1, 2]);
    let mut sent = 0;
    while quarantine.permission(CRASHING, at(2)) == SendPermission::Tracked {
        quarantine.record_send_start(CRASHING, at(2));
        sent += 1;
    }
    assert_eq!(quarantine.permission(CRASHING, at(2)), SendPermission::Deferred);
    assert_eq!(2 + sent, MAX_CRASHES);
    quarantine.record_send_end(CRASHING, at(2));
    assert_eq!(quarantine.permission(CRASHING, at(2)), SendPermission::Tracked);
}

#[test]
fn remote_sends_count_until_reported_end_or_timeout() {
    let mut other = quarantine_with_crashes(CRASHING, [1, 2]);
    let mut quarantine = Quarantine::new(OTHER_ROUTER);
    other.record_send_start(CRASHING, at(2));
    merge_all(&other, LOCAL_ROUTER, &mut quarantine, at(2));
    assert_eq!(quarantine.permission(CRASHING, at(2)), SendPermission::Deferred);
    assert_eq!(quarantine.permission(CRASHING, at(13)), SendPermission::Tracked);
    other.record_send_end(CRASHING, at(3));
    merge_all(&other, LOCAL_ROUTER, &mut quarantine, at(3));
    assert_eq!(quarantine.permission(CRASHING, at(3)), SendPermission::Tracked);
}

/// A router's own count of its sends takes precedence over outdated reports from others.
#[test]
fn remote_reports_of_own_sends_are_ignored() {
    let mut local = quarantine_with_crashes(CRASHING, [1, 2]);
    local.record_send_start(CRASHING, at(2));
    let mut other = Quarantine::new(OTHER_ROUTER);
    merge_all(&local, LOCAL_ROUTER, &mut other, at(2));
    local.record_send_end(CRASHING, at(3));
    merge_all(&other, OTHER_ROUTER, &mut local, at(4));
    assert_eq!(local.permission(CRASHING, at(4)), SendPermission::Tracked);
}

#[test]
fn complete_response_clears_request_on_all_routers() {
    let mut quarantine = quarantine_with_crashes(HEALTHY, [1, 2]);
    let mut other = Quarantine::new(OTHER_ROUTER);
    merge_all(&quarantine, LOCAL_ROUTER, &mut other, at(2));
    assert!(quarantine.record_response(HEALTHY, at(3)));
    assert_eq!(quarantine.permission(HEALTHY, at(3)), SendPermission::Allowed);
    let changes: Vec<_> = quarantine.changes_for(UpdateSource::Router(OTHER_ROUTER), at(2), false).collect();
    let [(request, history)] = changes[..] else {
        panic!("the cleared request must be reported: {changes:?}")
    };
    assert!(other.merge(request, history, UpdateSource::Router(LOCAL_ROUTER), at(3)));
    assert_eq!(other.permission(HEALTHY, at(3)), SendPermission::Allowed);
    // Outdated reports from a third router change nothing.
    let outdated = quarantine_with_crashes(HEALTHY, [1, 2]);
    merge_all(&outdated, NameHash(102), &mut other, at(4));
    assert_eq!(other.permission(HEALTHY, at(4)), SendPermission::Allowed);
}

#[test]
fn crashes_of_quarantined_request_do_not_count_against_others() {
    let mut quarantine = quarantine_with_crashes(CRASHING, [1, 2, 3]);
    record_crash_after_send(&mut quarantine, HEALTHY, crash(1, 0));
    record_crash_after_send(&mut quarantine, HEALTHY, crash(2, 1));
    assert_eq!(quarantine.permission(HEALTHY, at(3)), SendPermission::Allowed);
    // A crash without the quarantined request counts.
    record_crash_after_send(&mut quarantine, HEALTHY, crash(9, 3));
    assert_eq!(
        quarantine.crash_count(HEALTHY),
        3,
        "equal crash counts: neither request explains the crashes of the other"
    );
}

#[test]
fn quarantine_expires_to_single_sends_and_doubles_after_next_crash() {
    let mut quarantine = quarantine_with_crashes(CRASHING, [1, 2, 3]);
    let minute = 60;
    assert!(is_quarantined(&quarantine, CRASHING, at(10 * minute)));
    quarantine.prune(at(11 * minute));
    assert_eq!(quarantine.permission(CRASHING, at(11 * minute)), SendPermission::Tracked);
    quarantine.record_send_start(CRASHING, at(11 * minute));
    assert_eq!(quarantine.permission(CRASHING, at(11 * minute)), SendPermission::Deferred);
    quarantine.record_send_end(CRASHING, at(11 * minute));
    record_crash_after_send(&mut quarantine, CRASHING, crash(4, 11 * minute));
    assert!(is_quarantined(&quarantine, CRASHING, at(30 * minute)));
    assert_eq!(quarantine.permission(CRASHING, at(32 * minute)), SendPermission::Tracked);
}

#[test]
fn crash_history_expires() {
    let mut quarantine = quarantine_with_crashes(HEALTHY, [1, 2]);
    quarantine.prune(at(60));
    assert!(quarantine.may_contain(HEALTHY.hint()));
    quarantine.prune(at(700));
    assert!(!quarantine.may_contain(HEALTHY.hint()));
    assert!(quarantine.is_empty());
}

#[test]
fn crashes_of_software_that_no_longer_runs_do_not_count() {
    let mut quarantine = quarantine_with_crashes(CRASHING, [1, 2, 3]);
    quarantine.set_running_software([SOFTWARE]);
    assert!(is_quarantined(&quarantine, CRASHING, at(3)));
    quarantine.set_running_software([NameHash(8)]);
    assert_eq!(quarantine.permission(CRASHING, at(3)), SendPermission::Allowed);
    // After a rollback to the old software the crashes count again.
    quarantine.set_running_software([SOFTWARE]);
    assert!(is_quarantined(&quarantine, CRASHING, at(3)));
}

#[test]
fn synced_histories_bring_a_restarted_router_up_to_date() {
    let mut quarantine = quarantine_with_crashes(CRASHING, [1, 2, 3]);
    record_crash_after_send(&mut quarantine, HEALTHY, crash(9, 1));
    let mut restarted = Quarantine::new(OTHER_ROUTER);
    let later = at(120);
    assert_ne!(quarantine.digest(), restarted.digest());
    for (request, history) in quarantine.synced_histories() {
        assert_eq!(request, CRASHING, "a single crash is not synchronised");
        restarted.merge(request, history, UpdateSource::Router(LOCAL_ROUTER), later);
    }
    assert_eq!(quarantine.digest(), restarted.digest());
    assert!(is_quarantined(&restarted, CRASHING, later));
}

#[test]
fn changes_are_sent_once_and_not_back_to_their_source() {
    let mut quarantine = quarantine_with_crashes(CRASHING, [1]);
    let mut other = Quarantine::new(OTHER_ROUTER);
    merge_all(&quarantine, LOCAL_ROUTER, &mut other, at(1));
    let (local, third) = (UpdateSource::Router(LOCAL_ROUTER), UpdateSource::Router(NameHash(102)));
    assert_eq!(other.changes_for(local, at(0), true).count(), 0);
    assert_eq!(other.changes_for(third, at(0), true).count(), 1);
    assert_eq!(other.changes_for(third, at(0), false).count(), 0);
    assert_eq!(other.changes_for(third, at(1), true).count(), 0);
    record_crash_after_send(&mut quarantine, CRASHING, crash(2, 5));
    assert_eq!(quarantine.changes_for(third, at(1), false).count(), 1);
}

#[test]
fn expired_sends_are_not_forwarded() {
    let mut quarantine = quarantine_with_crashes(CRASHING, [1, 2]);
    for router in 0..300 {
        let sends = InFlightSends { router: NameHash(1_000 + router), count: 1, at: at(3 + router) };
        let received = CrashHistory { in_flight: vec![sends], ..CrashHistory::default() };
        quarantine.merge(CRASHING, &received, UpdateSource::Router(NameHash(1_000 + router)), at(3 + router));
    }
    let (_, history) = &snapshot(&quarantine)[0];
    assert!(history.in_flight.len() <= 10, "{}", history.in_flight.len());
}

#[test]
fn digest_reverts_when_histories_are_cleared_or_pruned() {
    let empty = Quarantine::new(LOCAL_ROUTER).digest();
    let mut quarantine = quarantine_with_crashes(CRASHING, [1, 2]);
    assert_ne!(quarantine.digest(), empty);
    quarantine.record_response(CRASHING, at(5));
    assert_eq!(quarantine.digest(), empty);
    let mut quarantine = quarantine_with_crashes(CRASHING, [1, 2]);
    quarantine.prune(at(700));
    assert_eq!(quarantine.digest(), empty);
}

/// Guards against routers that evict histories for lack of space and then receive them from each other as
/// new, so that gossip never ends.
#[test]
fn many_crashes_use_bounded_memory_and_gossip_converges() {
    let mut routers = [quarantine_with_crashes(CRASHING, [1, 2, 3]), Quarantine::new(OTHER_ROUTER)];
    for request in 0..4_000 {
        record_crash_after_send(
            &mut routers[request % 2],
            RequestDigest(1_000 + request as u128),
            crash(50, 10),
        );
    }
    let mut rounds = 0;
    loop {
        let [first, second] = &mut routers;
        let is_changed =
            merge_all(first, LOCAL_ROUTER, second, at(11)) | merge_all(second, OTHER_ROUTER, first, at(11));
        if !is_changed {
            break;
        }
        rounds += 1;
    }
    assert!(rounds <= 2, "{rounds}");
    for router in &routers {
        assert!(is_quarantined(router, CRASHING, at(11)), "requests with fewer crashes are evicted first");
        assert!(router.histories().count() <= 1_024);
    }
}

/// For any sequence of operations and exchanges, no router sends a request with three known crashes, and
/// all routers agree after a full exchange.
#[test]
fn routers_agree_after_exchanging_all_histories() {
    const ROUTERS: usize = 4;
    arbtest::arbtest(|choices| {
        let names: [NameHash; ROUTERS] = std::array::from_fn(|number| NameHash(100 + number as u64));
        let mut routers = names.map(Quarantine::new);
        let mut second = 0;
        for step in 0..choices.int_in_range(0..=40_u64)? {
            let router = choices.choose_index(ROUTERS)?;
            let now = at(second);
            match choices.int_in_range(0..=5_u8)? {
                0 | 1
                    if routers[router].permission(CRASHING, now) != SendPermission::Deferred
                        && !is_quarantined(&routers[router], CRASHING, now) =>
                {
                    record_crash_after_send(&mut routers[router], CRASHING, crash(step, second));
                }
                2 => drop(routers[router].record_response(CRASHING, now)),
                _ => {
                    let to = choices.choose_index(ROUTERS)?;
                    for (request, history) in snapshot(&routers[router]) {
                        routers[to].merge(request, &history, UpdateSource::Router(names[router]), now);
                    }
                }
            }
            second += u64::from(choices.ratio(1, 2)?);
        }
        let now = at(second);
        for _ in 0..2 {
            for from in 0..ROUTERS {
                for to in 0..ROUTERS {
                    for (request, history) in snapshot(&routers[from]) {
                        routers[to].merge(request, &history, UpdateSource::Router(names[from]), now);
                    }
                }
            }
        }
        let crashes: Vec<usize> = routers.iter().map(|router| router.crash_count(CRASHING)).collect();
        assert!(crashes.iter().all(|known| *known == crashes[0]), "{crashes:?}");
        Ok(())
    });
}

/// Guards against a change of this router that is not reported because a report of another one arrives before.
#[test]
fn own_crash_is_reported_beside_a_report_of_another_router() {
    let mut quarantine = quarantine_with_crashes(CRASHING, [1]);
    let reported = quarantine_with_crashes(CRASHING, [2]);
    assert!(merge_all(&reported, OTHER_ROUTER, &mut quarantine, at(2)));
    for recipient in [OTHER_ROUTER, NameHash(102)] {
        let changes = quarantine.changes_for(UpdateSource::Router(recipient), Instant::default(), false);
        assert_eq!(changes.count(), 1);
    }
}
