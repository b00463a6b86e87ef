//! Tests of the permit ledger against a reference model.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbtest;
use bendhinge_ids::{ChatKey, Incarnation, Instant, PermitId, RouterInstance, UpstreamName};
use bendhinge_placement::{LedgerLimits, LoadReport, PermitDenied, PermitLedger, PermitRequest};

const LEASE: Duration = Duration::from_secs(10);

fn ledger() -> PermitLedger {
    PermitLedger::new(LedgerLimits { lease: LEASE, max_displaced_chats: 4 })
}

fn upstream(number: u8) -> UpstreamName {
    format!("engine-{number}").parse().unwrap()
}

fn life(number: u8) -> RouterInstance {
    RouterInstance { name: format!("box-{number}").parse().unwrap(), incarnation: Incarnation(1) }
}

fn request(upstream_number: u8, holder: u8, limit: u32) -> PermitRequest {
    PermitRequest { upstream: upstream(upstream_number), holder: life(holder), first_choice_of: None, limit }
}

/// After any sequence of acquiring, releasing, releasing twice, renewing and expiring permits, the
/// counts match a plain list of permits and never exceed the limit, and each permit is released
/// exactly once.
#[test]
fn counts_match_the_reference_model() {
    arbtest(|u| {
        let mut ledger = ledger();
        let mut model: BTreeMap<u64, (u8, u8)> = BTreeMap::new();
        let mut last_heartbeats: BTreeMap<u8, Instant> = BTreeMap::new();
        let mut released = Vec::new();
        let mut now = Instant::from_millis(1);
        for _ in 0..u.int_in_range(0..=60)? {
            now = now + Duration::from_millis(u.int_in_range(0..=4_000)?);
            let (engine, holder) = (u.int_in_range(0..=2)?, u.int_in_range(0..=2)?);
            match u.int_in_range(0..=5)? {
                0 | 1 => {
                    let limit = u.int_in_range(0..=4)?;
                    let expected =
                        u32::try_from(model.values().filter(|(at, _)| *at == engine).count()).unwrap();
                    let result = ledger.acquire(&request(engine, holder, limit), now);
                    assert_eq!(result.is_ok(), expected < limit, "load {expected}, limit {limit}");
                    if let Ok(granted) = result {
                        assert_eq!(granted.in_progress, expected + 1);
                        assert!(
                            model.insert(granted.permit.0, (engine, holder)).is_none(),
                            "duplicate permit ID"
                        );
                        last_heartbeats.insert(holder, now);
                    }
                }
                2 => {
                    if let Some(permit) = model.keys().next().copied() {
                        assert!(ledger.release(PermitId(permit), now));
                        model.remove(&permit);
                        released.push(permit);
                    }
                }
                3 => {
                    for permit in &released {
                        assert!(!ledger.release(PermitId(*permit), now), "permit released twice");
                    }
                }
                4 => {
                    ledger.renew(&life(holder), now);
                    last_heartbeats.entry(holder).and_modify(|last_heartbeat| *last_heartbeat = now);
                }
                _ => {
                    let expired: Vec<u8> = last_heartbeats
                        .iter()
                        .filter(|(_, last_heartbeat)| now.since(**last_heartbeat) > LEASE)
                        .map(|(holder, _)| *holder)
                        .collect();
                    let expired_permits =
                        model.values().filter(|(_, holder)| expired.contains(holder)).count();
                    assert_eq!(ledger.expire(now), expired_permits);
                    model.retain(|_, (_, holder)| !expired.contains(holder));
                    last_heartbeats.retain(|holder, _| !expired.contains(holder));
                }
            }
            for engine in 0..=2 {
                let expected = u32::try_from(model.values().filter(|(at, _)| *at == engine).count()).unwrap();
                assert_eq!(ledger.in_progress(&upstream(engine)), expected);
            }
            assert_eq!(ledger.outstanding(), model.len());
        }
        Ok(())
    });
}

/// Requests sent without a permit, or with a permit from a previous owner, count from the next
/// report on.
#[test]
fn report_includes_requests_without_permits() {
    let mut ledger = ledger();
    let engine = upstream(0);
    let at = Instant::from_millis(20_000);
    ledger.acquire(&request(0, 0, 9), at).unwrap();
    ledger.apply_report(&engine, LoadReport { in_progress: 4, measured_at: at + Duration::from_secs(1) });
    assert_eq!(ledger.in_progress(&engine), 4);
    let denied = ledger.acquire(&request(0, 0, 4), at + Duration::from_secs(2));
    assert_eq!(denied, Err(PermitDenied::AtBound { in_progress: 4 }));
    // A delayed older report is ignored.
    ledger.apply_report(&engine, LoadReport { in_progress: 40, measured_at: at });
    assert_eq!(ledger.in_progress(&engine), 4);
}

/// A delayed report that includes permits released since must not count them as additional
/// requests.
#[test]
fn delayed_report_is_compared_with_permits_at_its_time() {
    let mut ledger = ledger();
    let engine = upstream(0);
    let at = Instant::from_millis(20_000);
    let permits: Vec<_> = (0..3).map(|_| ledger.acquire(&request(0, 0, 9), at).unwrap().permit).collect();
    let later = at + Duration::from_secs(1);
    for permit in permits {
        ledger.release(permit, later);
    }
    ledger.apply_report(&engine, LoadReport { in_progress: 3, measured_at: at + Duration::from_millis(500) });
    assert_eq!(ledger.in_progress(&engine), 0);
}

/// Permits of failed holders must not leak, and a change of the owner must not corrupt the counts.
#[test]
fn permits_after_holder_and_owner_failures() {
    let at = Instant::from_millis(20_000);
    let expired = at + LEASE + Duration::from_millis(1);

    let mut silent_holder = ledger();
    silent_holder.acquire(&request(0, 1, 9), at).unwrap();
    assert_eq!(silent_holder.expire(expired), 1, "the permits of a silent holder expire");

    let mut renewed_holder = ledger();
    renewed_holder.acquire(&request(0, 1, 9), at).unwrap();
    renewed_holder.renew(&life(1), expired);
    assert_eq!(renewed_holder.expire(expired), 0, "the permits of a renewed holder do not expire");

    let mut restarted_holder = ledger();
    restarted_holder.acquire(&request(0, 1, 9), at).unwrap();
    assert_eq!(
        restarted_holder.revoke_permits(&life(1), at),
        1,
        "the permits of an earlier process are revoked"
    );

    let mut dropped_upstream = ledger();
    let permit = dropped_upstream.acquire(&request(0, 1, 9), at).unwrap().permit;
    dropped_upstream.drop_upstream(&upstream(0));
    assert!(!dropped_upstream.release(permit, at), "releasing a permit of a dropped upstream has no effect");
    assert_eq!(dropped_upstream.in_progress(&upstream(0)), 0);

    // Two routers both act as owner: each sees the other's requests in the next report.
    let (mut first, mut second) = (ledger(), ledger());
    for _ in 0..3 {
        first.acquire(&request(0, 1, 3), at).unwrap();
        second.acquire(&request(0, 2, 3), at).unwrap();
    }
    let report = LoadReport { in_progress: 6, measured_at: at + Duration::from_secs(1) };
    for ledger in [&mut first, &mut second] {
        ledger.apply_report(&upstream(0), report);
        assert_eq!(ledger.in_progress(&upstream(0)), 6);
        assert!(ledger.acquire(&request(0, 1, 6), at + Duration::from_secs(2)).is_err());
    }
}

/// A displaced chat is redirected to its upstream; the oldest entry is evicted at capacity.
#[test]
fn displaced_chats_are_redirected() {
    let mut ledger = ledger();
    let at = Instant::from_millis(20_000);
    let acquire = |ledger: &mut PermitLedger, chat: u64, engine: u8| {
        let permit_request = PermitRequest { first_choice_of: Some(ChatKey(chat)), ..request(engine, 0, 9) };
        ledger.acquire(&permit_request, at)
    };
    ledger.record_displaced(ChatKey(1), upstream(2));
    assert_eq!(acquire(&mut ledger, 1, 0), Err(PermitDenied::Redirect(upstream(2))));
    assert!(acquire(&mut ledger, 1, 2).is_ok(), "admitted on the upstream it was displaced to");
    assert!(acquire(&mut ledger, 2, 0).is_ok(), "another chat is not redirected");
    for chat in 10..14 {
        ledger.record_displaced(ChatKey(chat), upstream(1));
    }
    assert!(acquire(&mut ledger, 1, 0).is_ok(), "the oldest entry is evicted");
    assert_eq!(acquire(&mut ledger, 13, 0), Err(PermitDenied::Redirect(upstream(1))));
}
