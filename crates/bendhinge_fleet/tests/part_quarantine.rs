//! Quarantine of prompt parts that crash upstreams.

use std::time::Duration;

use bendhinge_fleet::{Evidence, PartCrash, PartQuarantine, SendPermission, UpdateSource};
use bendhinge_ids::{Instant, NameHash, PartDigest};

const CRASHING: PartDigest = PartDigest(1);
const POPULAR: PartDigest = PartDigest(2);
const RARE: PartDigest = PartDigest(3);
const POOL: NameHash = NameHash(50);
const OTHER_POOL: NameHash = NameHash(51);
const LOCAL_ROUTER: NameHash = NameHash(100);
const OTHER_ROUTER: NameHash = NameHash(101);
const SOFTWARE: NameHash = NameHash(7);

fn at(seconds: u64) -> Instant {
    Instant::from_millis(1_000_000 + seconds * 1_000)
}

/// The crash of an upstream at `second` under a request that was sent half a second before.
fn crash(upstream: u64, request: u64, second: u64) -> PartCrash {
    PartCrash {
        upstream: NameHash(upstream),
        software: SOFTWARE,
        request: NameHash(request),
        sent_at: at(second) - Duration::from_millis(500),
        at: at(second),
    }
}

/// Records crashes under requests with `parts`, one per second from `from` on, each of another upstream and request.
fn record_crashes(quarantine: &mut PartQuarantine, parts: &[PartDigest], from: u64, count: u64) {
    for second in from..from + count {
        for part in parts {
            quarantine.record_crash(*part, POOL, crash(second, second, second), at(second));
        }
    }
}

/// Records complete responses to requests without tracked parts.
fn record_other_responses(quarantine: &mut PartQuarantine, pool: NameHash, count: usize, second: u64) {
    for _ in 0..count {
        quarantine.record_response(&[PartDigest(1_000)], pool, at(second));
    }
}

/// A quarantine in which `parts` have crashed three upstreams, beside responses to other requests.
fn quarantine_with(parts: &[PartDigest]) -> PartQuarantine {
    let mut quarantine = PartQuarantine::new(LOCAL_ROUTER);
    record_crashes(&mut quarantine, parts, 0, 3);
    record_other_responses(&mut quarantine, POOL, 3, 3);
    quarantine
}

fn is_quarantined(quarantine: &PartQuarantine, parts: &[PartDigest], now: Instant) -> bool {
    matches!(quarantine.permission(parts, now).0, SendPermission::Quarantined(_))
}

fn merge_all(from: &PartQuarantine, name: NameHash, to: &mut PartQuarantine, now: Instant) -> bool {
    let histories: Vec<_> = from.synced_histories().collect();
    let mut is_changed = false;
    for (part, history) in histories {
        is_changed |= to.merge(part, &history, UpdateSource::Router(name), now);
    }
    is_changed
}

#[test]
fn part_of_three_crashes_in_a_row_is_quarantined() {
    let mut quarantine = PartQuarantine::new(LOCAL_ROUTER);
    record_crashes(&mut quarantine, &[CRASHING], 0, 1);
    record_other_responses(&mut quarantine, POOL, 5, 0);
    assert_eq!(quarantine.permission(&[CRASHING], at(0)).0, SendPermission::Allowed);
    record_crashes(&mut quarantine, &[CRASHING], 1, 1);
    assert_eq!(quarantine.permission(&[CRASHING], at(1)), (SendPermission::Tracked, Some(CRASHING)));
    record_crashes(&mut quarantine, &[CRASHING], 2, 1);
    assert!(is_quarantined(&quarantine, &[POPULAR, CRASHING], at(2)));
    assert!(!is_quarantined(&quarantine, &[POPULAR], at(2)));
}

#[test]
fn complete_response_clears_the_parts_of_its_request() {
    let mut quarantine = quarantine_with(&[CRASHING, POPULAR]);
    assert!(is_quarantined(&quarantine, &[POPULAR, CRASHING], at(3)));
    assert_eq!(quarantine.record_response(&[POPULAR, RARE], POOL, at(4)).cleared, [POPULAR]);
    assert_eq!(quarantine.permission(&[POPULAR, RARE], at(4)), (SendPermission::Allowed, None));
    assert!(is_quarantined(&quarantine, &[POPULAR, CRASHING], at(4)));
}

/// Guards against blaming popular parts for a loss of many upstreams at once.
#[test]
fn crashes_at_the_same_time_count_once() {
    let mut quarantine = PartQuarantine::new(LOCAL_ROUTER);
    for upstream in 0..7 {
        let crash = PartCrash {
            sent_at: at(0),
            at: at(5) + Duration::from_millis(upstream),
            ..crash(upstream, upstream, 5)
        };
        quarantine.record_crash(POPULAR, POOL, crash, at(5));
    }
    record_other_responses(&mut quarantine, POOL, 20, 5);
    assert_eq!(quarantine.evidence_against(POPULAR), Evidence { consecutive_crashes: 1, requests: 7 });
    assert_eq!(quarantine.permission(&[POPULAR], at(5)).0, SendPermission::Allowed);
}

/// Guards against blaming popular parts while no request of the pool is answered.
#[test]
fn no_part_is_blamed_without_responses_to_other_requests() {
    let mut quarantine = PartQuarantine::new(LOCAL_ROUTER);
    record_crashes(&mut quarantine, &[POPULAR], 0, 8);
    record_other_responses(&mut quarantine, OTHER_POOL, 50, 8);
    assert_eq!(quarantine.permission(&[POPULAR], at(8)).0, SendPermission::Allowed);
}

/// Guards against a pool with little traffic in which nothing is answered any more under the crashes.
#[test]
fn part_of_no_earlier_response_is_blamed_although_nothing_is_answered() {
    let mut quarantine = PartQuarantine::new(LOCAL_ROUTER);
    record_other_responses(&mut quarantine, POOL, 20, 0);
    quarantine.record_response(&[POPULAR], POOL, at(0));
    record_crashes(&mut quarantine, &[POPULAR, CRASHING], 1, 3);
    assert!(is_quarantined(&quarantine, &[CRASHING], at(3)));
    assert_eq!(quarantine.permission(&[POPULAR], at(3)).0, SendPermission::Allowed);
}

/// Guards against a part that is taken for one of no response by the routers that have not seen the response.
#[test]
fn response_before_the_first_crash_is_reported_to_the_router_that_lacks_it() {
    let mut first = PartQuarantine::new(LOCAL_ROUTER);
    let mut second = PartQuarantine::new(OTHER_ROUTER);
    second.record_response(&[POPULAR], POOL, at(0));
    record_other_responses(&mut first, POOL, 20, 0);
    record_crashes(&mut first, &[POPULAR], 1, 3);
    assert!(is_quarantined(&first, &[POPULAR], at(3)));
    report_changes(&first, LOCAL_ROUTER, &mut second, OTHER_ROUTER, at(3));
    report_changes(&second, OTHER_ROUTER, &mut first, LOCAL_ROUTER, at(3));
    assert!(!is_quarantined(&first, &[POPULAR], at(3)));
}

/// The quarantine of requests covers it.
#[test]
fn crashes_under_a_single_request_do_not_count_against_its_parts() {
    let mut quarantine = PartQuarantine::new(LOCAL_ROUTER);
    for second in 0..4 {
        quarantine.record_crash(RARE, POOL, crash(second, 9, second), at(second));
    }
    record_other_responses(&mut quarantine, POOL, 5, 4);
    assert!(!is_quarantined(&quarantine, &[RARE], at(4)));
}

#[test]
fn crash_under_several_requests_counts_the_one_that_was_sent_last() {
    let mut quarantine = PartQuarantine::new(LOCAL_ROUTER);
    record_crashes(&mut quarantine, &[CRASHING], 0, 1);
    let early = PartCrash { sent_at: at(0) - Duration::from_secs(9), ..crash(5, 5, 2) };
    quarantine.record_crash(CRASHING, POOL, early, at(2));
    assert_eq!(quarantine.evidence_against(CRASHING).consecutive_crashes, 1);
    quarantine.record_crash(CRASHING, POOL, crash(5, 6, 2), at(2));
    assert_eq!(quarantine.evidence_against(CRASHING).consecutive_crashes, 2);
}

#[test]
fn two_suspect_requests_are_not_sent_at_once() {
    let mut quarantine = PartQuarantine::new(LOCAL_ROUTER);
    record_crashes(&mut quarantine, &[CRASHING], 0, 2);
    record_other_responses(&mut quarantine, POOL, 3, 2);
    quarantine.record_send_start(&[CRASHING], at(2));
    assert_eq!(quarantine.permission(&[CRASHING], at(2)).0, SendPermission::Deferred);
    quarantine.record_send_end(&[CRASHING], at(3));
    assert_eq!(quarantine.permission(&[CRASHING], at(3)).0, SendPermission::Tracked);
}

#[test]
fn crashes_seen_by_different_routers_add_up() {
    let mut first = PartQuarantine::new(LOCAL_ROUTER);
    let mut second = PartQuarantine::new(OTHER_ROUTER);
    record_crashes(&mut first, &[CRASHING], 0, 2);
    record_crashes(&mut second, &[CRASHING], 2, 2);
    record_other_responses(&mut second, POOL, 3, 4);
    assert!(merge_all(&first, LOCAL_ROUTER, &mut second, at(4)));
    assert!(is_quarantined(&second, &[CRASHING], at(4)));
    assert!(!merge_all(&first, LOCAL_ROUTER, &mut second, at(4)), "nothing new");
    // The other one has counted no responses itself.
    assert!(merge_all(&second, OTHER_ROUTER, &mut first, at(4)));
    assert!(is_quarantined(&first, &[CRASHING], at(4)));
    assert_eq!(first.digest(), second.digest());
}

/// Guards against a router that sends requests with the part since it answers few others itself.
#[test]
fn router_without_responses_hears_that_there_are_enough() {
    let mut busy = PartQuarantine::new(LOCAL_ROUTER);
    let mut idle = PartQuarantine::new(OTHER_ROUTER);
    record_crashes(&mut busy, &[CRASHING], 0, 3);
    report_changes(&busy, LOCAL_ROUTER, &mut idle, OTHER_ROUTER, at(3));
    assert_eq!(idle.permission(&[CRASHING], at(3)).0, SendPermission::Allowed);
    record_other_responses(&mut busy, POOL, 2, 4);
    assert!(busy.record_response(&[], POOL, at(4)).is_enough);
    assert!(!busy.record_response(&[], POOL, at(4)).is_enough, "it was enough before");
    assert_ne!(busy.digest(), idle.digest());
    report_changes(&busy, LOCAL_ROUTER, &mut idle, OTHER_ROUTER, at(4));
    assert!(is_quarantined(&idle, &[CRASHING], at(4)));
    assert_eq!(busy.digest(), idle.digest());
}

#[test]
fn router_that_starts_later_learns_what_is_quarantined() {
    let known = quarantine_with(&[CRASHING]);
    let mut started = PartQuarantine::new(OTHER_ROUTER);
    assert!(merge_all(&known, LOCAL_ROUTER, &mut started, at(5)));
    assert!(is_quarantined(&started, &[CRASHING], at(5)));
}

#[test]
fn response_at_another_router_clears_the_part() {
    let mut first = quarantine_with(&[POPULAR]);
    let mut second = PartQuarantine::new(OTHER_ROUTER);
    merge_all(&first, LOCAL_ROUTER, &mut second, at(3));
    assert_eq!(second.record_response(&[POPULAR], POOL, at(4)).cleared, [POPULAR]);
    let changes: Vec<_> = second.changes_for(UpdateSource::Router(LOCAL_ROUTER), at(3), false).collect();
    assert_eq!(changes.len(), 1, "the first router knows of the crashes");
    for (part, history) in changes {
        assert!(first.merge(part, &history, UpdateSource::Router(OTHER_ROUTER), at(4)));
    }
    assert!(!is_quarantined(&first, &[POPULAR], at(4)));
}

/// Guards against messages about every popular part of every crash.
#[test]
fn part_that_is_cleared_before_it_was_reported_is_not_reported() {
    let mut quarantine = PartQuarantine::new(LOCAL_ROUTER);
    record_crashes(&mut quarantine, &[POPULAR], 1, 1);
    quarantine.record_response(&[POPULAR], POOL, at(2));
    assert_eq!(quarantine.changes_for(UpdateSource::Router(OTHER_ROUTER), at(0), true).count(), 0);
}

/// A part that is in the same crashes as the one to blame may be sound.
#[test]
fn request_that_tells_parts_with_equal_crashes_apart_is_sent_alone() {
    let mut quarantine = quarantine_with(&[CRASHING, RARE]);
    assert!(is_quarantined(&quarantine, &[CRASHING, RARE], at(3)));
    assert_eq!(quarantine.permission(&[RARE], at(3)).0, SendPermission::Tracked);
    quarantine.record_send_start(&[RARE], at(3));
    assert_eq!(quarantine.permission(&[RARE], at(3)).0, SendPermission::Deferred);
    quarantine.record_send_end(&[RARE], at(4));
    quarantine.record_response(&[RARE], POOL, at(4));
    assert_eq!(quarantine.permission(&[RARE], at(4)).0, SendPermission::Allowed);
    assert!(is_quarantined(&quarantine, &[CRASHING], at(4)), "nothing has the same crashes any more");
}

#[test]
fn crash_of_such_a_request_acquits_the_part_that_it_lacks() {
    let mut quarantine = quarantine_with(&[CRASHING, RARE]);
    record_crashes(&mut quarantine, &[CRASHING], 5, 1);
    assert_eq!(quarantine.permission(&[RARE], at(5)).0, SendPermission::Allowed);
    assert!(is_quarantined(&quarantine, &[CRASHING], at(5)));
}

#[test]
fn crashes_of_quarantined_part_do_not_count_against_others() {
    let mut quarantine = PartQuarantine::new(LOCAL_ROUTER);
    record_crashes(&mut quarantine, &[CRASHING], 0, 1);
    record_crashes(&mut quarantine, &[CRASHING, RARE], 1, 3);
    record_other_responses(&mut quarantine, POOL, 3, 4);
    assert!(is_quarantined(&quarantine, &[CRASHING], at(4)));
    assert_eq!(quarantine.permission(&[RARE], at(4)).0, SendPermission::Allowed);
    assert_eq!(quarantine.attributed_crashes().len(), 4);
}

#[test]
fn two_crashing_parts_are_both_quarantined() {
    let mut quarantine = PartQuarantine::new(LOCAL_ROUTER);
    for round in 0..4 {
        record_crashes(&mut quarantine, &[CRASHING], 2 * round, 1);
        record_crashes(&mut quarantine, &[RARE], 2 * round + 1, 1);
    }
    record_other_responses(&mut quarantine, POOL, 3, 8);
    assert!(is_quarantined(&quarantine, &[CRASHING], at(8)));
    assert!(is_quarantined(&quarantine, &[RARE], at(8)));
}

#[test]
fn other_software_ends_the_quarantine() {
    let mut quarantine = quarantine_with(&[CRASHING]);
    quarantine.set_running_software([SOFTWARE, NameHash(8)]);
    assert!(is_quarantined(&quarantine, &[CRASHING], at(3)));
    quarantine.set_running_software([NameHash(8)]);
    assert_eq!(quarantine.permission(&[CRASHING], at(3)).0, SendPermission::Allowed);
}

#[test]
fn quarantine_ends_after_a_while_with_one_send_at_a_time() {
    let mut quarantine = quarantine_with(&[CRASHING]);
    let later = at(2) + Duration::from_mins(10);
    assert!(is_quarantined(&quarantine, &[CRASHING], later - Duration::from_secs(1)));
    assert_eq!(quarantine.permission(&[CRASHING], later).0, SendPermission::Tracked);
    quarantine.record_send_start(&[CRASHING], later);
    assert_eq!(quarantine.permission(&[CRASHING], later).0, SendPermission::Deferred);
}

#[test]
fn operators_release_parts() {
    let mut quarantine = quarantine_with(&[CRASHING]);
    assert!(quarantine.release(CRASHING, at(4)));
    assert_eq!(quarantine.permission(&[CRASHING], at(4)).0, SendPermission::Allowed);
    assert!(!quarantine.release(CRASHING, at(4)));
}

#[test]
fn number_of_tracked_parts_is_bounded() {
    let mut quarantine = PartQuarantine::new(LOCAL_ROUTER);
    record_crashes(&mut quarantine, &[CRASHING], 0, 2);
    for part in 0..5_000 {
        quarantine.record_crash(PartDigest(10_000 + part), POOL, crash(90, 90, 90), at(90));
    }
    assert_eq!(quarantine.changes_for(UpdateSource::Router(OTHER_ROUTER), at(0), true).count(), 1_024);
    assert_eq!(quarantine.evidence_against(CRASHING).consecutive_crashes, 2);
    record_crashes(&mut quarantine, &[CRASHING], 100, 1);
    assert_eq!(quarantine.evidence_against(CRASHING).consecutive_crashes, 3);
}

fn report_changes(
    from: &PartQuarantine,
    from_name: NameHash,
    to: &mut PartQuarantine,
    to_name: NameHash,
    now: Instant,
) {
    let recipient = UpdateSource::Router(to_name);
    let changes: Vec<_> = from.changes_for(recipient, Instant::default(), true).collect();
    for (part, history) in changes {
        to.merge(part, &history, UpdateSource::Router(from_name), now);
    }
}

/// Histories of any kind and order leave routers that have exchanged them with the same verdict.
#[test]
fn routers_that_exchange_all_histories_agree() {
    arbtest::arbtest(|input| {
        let mut routers = [PartQuarantine::new(LOCAL_ROUTER), PartQuarantine::new(OTHER_ROUTER)];
        let count = input.int_in_range(0..=24)?;
        for step in 0..count {
            let router = &mut routers[usize::from(input.arbitrary::<bool>()?)];
            let part = PartDigest(input.int_in_range(1..=3)?);
            match input.int_in_range(0..=3)? {
                0 => drop(router.record_response(&[part], POOL, at(step))),
                1 => record_other_responses(router, POOL, 2, step),
                _ => {
                    // Both routers may detect the same crash.
                    let upstream = step / 2;
                    let crash = crash(upstream, input.int_in_range(0..=3)?, 2 * upstream);
                    router.record_crash(part, POOL, crash, at(step));
                }
            }
        }
        let [first, second] = &mut routers;
        for _ in 0..2 {
            report_changes(first, LOCAL_ROUTER, second, OTHER_ROUTER, at(count));
            report_changes(second, OTHER_ROUTER, first, LOCAL_ROUTER, at(count));
        }
        for part in 1..=3 {
            let part = PartDigest(part);
            assert_eq!(first.evidence_against(part), second.evidence_against(part));
        }
        Ok(())
    });
}
