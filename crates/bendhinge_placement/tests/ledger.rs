//! The exact count, against a simple oracle.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbtest;
use bendhinge_ids::{ChatKey, Incarnation, Instant, PermitId, RouterIncarnation, UpstreamName};
use bendhinge_placement::{Denied, LedgerLimits, LoadReport, PermitLedger, PermitRequest};

const LEASE: Duration = Duration::from_secs(10);

fn ledger() -> PermitLedger {
    PermitLedger::new(LedgerLimits { lease: LEASE, displaced_chats: 4 })
}

fn upstream(number: u8) -> UpstreamName {
    format!("engine-{number}").parse().unwrap()
}

fn life(number: u8) -> RouterIncarnation {
    RouterIncarnation { name: format!("box-{number}").parse().unwrap(), incarnation: Incarnation(1) }
}

fn request(upstream_number: u8, holder: u8, limit: u32) -> PermitRequest {
    PermitRequest { upstream: upstream(upstream_number), holder: life(holder), first_choice_of: None, limit }
}

/// Any order of asking, returning, returning twice, renewing, going silent and dropping: the
/// count is that of a plain list of permits, never above its limit, and each permit comes back
/// exactly once.
#[test]
fn counts_like_a_plain_list() {
    arbtest(|u| {
        let mut ledger = ledger();
        let mut oracle: BTreeMap<u64, (u8, u8)> = BTreeMap::new();
        let mut heard: BTreeMap<u8, Instant> = BTreeMap::new();
        let mut returned = Vec::new();
        let mut now = Instant::from_millis(1);
        for _ in 0..u.int_in_range(0..=60)? {
            now = now + Duration::from_millis(u.int_in_range(0..=4_000)?);
            let (engine, holder) = (u.int_in_range(0..=2)?, u.int_in_range(0..=2)?);
            match u.int_in_range(0..=5)? {
                0 | 1 => {
                    let limit = u.int_in_range(0..=4)?;
                    let carried =
                        u32::try_from(oracle.values().filter(|(at, _)| *at == engine).count()).unwrap();
                    let answer = ledger.acquire(&request(engine, holder, limit), now);
                    assert_eq!(answer.is_ok(), carried < limit, "carried {carried} limit {limit}");
                    if let Ok(granted) = answer {
                        assert_eq!(granted.in_progress, carried + 1);
                        assert!(
                            oracle.insert(granted.permit.0, (engine, holder)).is_none(),
                            "a permit twice"
                        );
                        heard.insert(holder, now);
                    }
                }
                2 => {
                    if let Some(permit) = oracle.keys().next().copied() {
                        assert!(ledger.release(PermitId(permit), now));
                        oracle.remove(&permit);
                        returned.push(permit);
                    }
                }
                3 => {
                    for permit in &returned {
                        assert!(!ledger.release(PermitId(*permit), now), "returned twice");
                    }
                }
                4 => {
                    ledger.renew(&life(holder), now);
                    heard.entry(holder).and_modify(|heard| *heard = now);
                }
                _ => {
                    let silent: Vec<u8> = heard
                        .iter()
                        .filter(|(_, heard)| now.since(**heard) > LEASE)
                        .map(|(holder, _)| *holder)
                        .collect();
                    let lapsed = oracle.values().filter(|(_, holder)| silent.contains(holder)).count();
                    assert_eq!(ledger.expire(now), lapsed);
                    oracle.retain(|_, (_, holder)| !silent.contains(holder));
                    heard.retain(|holder, _| !silent.contains(holder));
                }
            }
            for engine in 0..=2 {
                let carried = u32::try_from(oracle.values().filter(|(at, _)| *at == engine).count()).unwrap();
                assert_eq!(ledger.in_progress(&upstream(engine)), carried);
            }
            assert_eq!(ledger.outstanding(), oracle.len());
        }
        Ok(())
    });
}

/// Work that was sent without a permit, or under those of an earlier counting router, shows in
/// the next report and counts from then on.
#[test]
fn a_report_shows_what_permits_do_not() {
    let mut ledger = ledger();
    let engine = upstream(0);
    let at = Instant::from_millis(20_000);
    ledger.acquire(&request(0, 0, 9), at).unwrap();
    ledger.report(&engine, LoadReport { in_progress: 4, measured_at: at + Duration::from_secs(1) });
    assert_eq!(ledger.in_progress(&engine), 4);
    let denied = ledger.acquire(&request(0, 0, 4), at + Duration::from_secs(2));
    assert_eq!(denied, Err(Denied::AtBound { in_progress: 4 }));
    // An older report that comes late changes nothing.
    ledger.report(&engine, LoadReport { in_progress: 40, measured_at: at });
    assert_eq!(ledger.in_progress(&engine), 4);
}

/// A lagging report that still shows permits which have come back is not mistaken for more.
#[test]
fn a_late_report_is_compared_with_the_permits_of_its_time() {
    let mut ledger = ledger();
    let engine = upstream(0);
    let at = Instant::from_millis(20_000);
    let permits: Vec<_> = (0..3).map(|_| ledger.acquire(&request(0, 0, 9), at).unwrap().permit).collect();
    let later = at + Duration::from_secs(1);
    for permit in permits {
        ledger.release(permit, later);
    }
    ledger.report(&engine, LoadReport { in_progress: 3, measured_at: at + Duration::from_millis(500) });
    assert_eq!(ledger.in_progress(&engine), 0);
}

/// A table of failures of the routers that hold or count permits.
#[test]
fn failures_of_holders_and_counters() {
    let at = Instant::from_millis(20_000);
    let silent = at + LEASE + Duration::from_millis(1);

    let mut holder_dies = ledger();
    holder_dies.acquire(&request(0, 1, 9), at).unwrap();
    assert_eq!(holder_dies.expire(silent), 1, "a dead holder's permits lapse");

    let mut holder_lives = ledger();
    holder_lives.acquire(&request(0, 1, 9), at).unwrap();
    holder_lives.renew(&life(1), silent);
    assert_eq!(holder_lives.expire(silent), 0, "a renewed holder's do not");

    let mut holder_restarts = ledger();
    holder_restarts.acquire(&request(0, 1, 9), at).unwrap();
    assert_eq!(holder_restarts.drop_holder(&life(1), at), 1, "an earlier life's permits end with it");

    let mut handed_over = ledger();
    let permit = handed_over.acquire(&request(0, 1, 9), at).unwrap().permit;
    handed_over.hand_over(&upstream(0));
    assert!(!handed_over.release(permit, at), "a return after the count was handed over has no effect");
    assert_eq!(handed_over.in_progress(&upstream(0)), 0);

    // Two routers believe that they count: each sees the other's work with the next report.
    let (mut first, mut second) = (ledger(), ledger());
    for _ in 0..3 {
        first.acquire(&request(0, 1, 3), at).unwrap();
        second.acquire(&request(0, 2, 3), at).unwrap();
    }
    let report = LoadReport { in_progress: 6, measured_at: at + Duration::from_secs(1) };
    for ledger in [&mut first, &mut second] {
        ledger.report(&upstream(0), report);
        assert_eq!(ledger.in_progress(&upstream(0)), 6);
        assert!(ledger.acquire(&request(0, 1, 6), at + Duration::from_secs(2)).is_err());
    }
}

/// A displaced chat is told where it is; the memory is bounded, the oldest goes first.
#[test]
fn displaced_chats_are_found_again() {
    let mut ledger = ledger();
    let at = Instant::from_millis(20_000);
    let ask = |ledger: &mut PermitLedger, chat: u64, engine: u8| {
        let question = PermitRequest { first_choice_of: Some(ChatKey(chat)), ..request(engine, 0, 9) };
        ledger.acquire(&question, at)
    };
    ledger.note_displaced(ChatKey(1), upstream(2));
    assert_eq!(ask(&mut ledger, 1, 0), Err(Denied::Elsewhere(upstream(2))));
    assert!(ask(&mut ledger, 1, 2).is_ok(), "where it is, it is let in");
    assert!(ask(&mut ledger, 2, 0).is_ok(), "another chat is not sent away");
    for chat in 10..14 {
        ledger.note_displaced(ChatKey(chat), upstream(1));
    }
    assert!(ask(&mut ledger, 1, 0).is_ok(), "the oldest is forgotten");
    assert_eq!(ask(&mut ledger, 13, 0), Err(Denied::Elsewhere(upstream(1))));
}
