//! Permits that a router issues for an upstream.

use std::time::Duration;

use arbtest::arbtest;
use bendhinge_fleet::{IssuedPermits, PermitDecision, PermitNumber, PermitRequest};
use bendhinge_ids::{Instant, NameHash};

const UPSTREAM: NameHash = NameHash(1);
const OTHER: NameHash = NameHash(2);
const LIFETIME: Duration = Duration::from_secs(2);
const START: Instant = Instant::from_millis(1_000);

fn request(upstream: NameHash, limit: u32) -> PermitRequest {
    PermitRequest { upstream, limit, lifetime: LIFETIME }
}

/// Guards against more requests at an upstream than the limit.
#[test]
fn permits_are_refused_at_the_limit() {
    let mut issued = IssuedPermits::default();
    for in_progress in 0..3 {
        let decision = issued.issue(request(UPSTREAM, 3), START);
        assert_eq!((decision.in_progress, decision.permit.is_some()), (in_progress, true));
    }
    assert_eq!(issued.issue(request(UPSTREAM, 3), START), PermitDecision { in_progress: 3, permit: None });
    assert!(issued.issue(request(OTHER, 3), START).permit.is_some(), "each upstream counts by itself");
    assert!(issued.issue(request(UPSTREAM, 4), START).permit.is_some(), "the limit is that of the request");
}

/// Guards against counts that only rise.
#[test]
fn permits_that_end_make_room_once() {
    let mut issued = IssuedPermits::default();
    let first = issued.issue(request(UPSTREAM, 2), START).permit.unwrap();
    issued.issue(request(UPSTREAM, 2), START).permit.unwrap();
    issued.end(UPSTREAM, first);
    issued.end(UPSTREAM, first);
    assert_eq!(issued.in_progress(UPSTREAM, START), 1);
    assert_eq!(issued.issue(request(UPSTREAM, 2), START).in_progress, 1);
}

/// Guards against upstreams that stay full since the holders of their permits are suspended or lost.
#[test]
fn permits_expire() {
    let mut issued = IssuedPermits::default();
    let expired = issued.issue(request(UPSTREAM, 1), START).permit.unwrap();
    assert!(issued.issue(request(UPSTREAM, 1), START).permit.is_none());
    let later = START + LIFETIME;
    let current = issued.issue(request(UPSTREAM, 1), later).permit;
    assert!(current.is_some());
    issued.end(UPSTREAM, expired);
    assert_eq!(issued.in_progress(UPSTREAM, later), 1, "the end of an expired permit ends no other");
    issued.prune(later + LIFETIME);
    assert_eq!(issued.count(), 0);
}

/// Guards against a lifetime of a peer that keeps an upstream full for good.
#[test]
fn lifetimes_are_limited() {
    let mut issued = IssuedPermits::default();
    issued.issue(PermitRequest { lifetime: Duration::MAX, ..request(UPSTREAM, 1) }, START);
    assert_eq!(issued.in_progress(UPSTREAM, START + Duration::from_mins(2)), 0);
}

/// Guards against counts that differ from the permits that are held, in any order of events.
#[test]
fn counts_are_those_of_the_permits_held() {
    arbtest(|source| {
        let mut issued = IssuedPermits::default();
        let mut held: Vec<(NameHash, PermitNumber, Instant)> = Vec::new();
        let mut now = START;
        for _ in 0..source.int_in_range(0..=200)? {
            held.retain(|(_, _, expires_at)| now < *expires_at);
            let upstream = if source.arbitrary()? { UPSTREAM } else { OTHER };
            let in_progress = held.iter().filter(|permit| permit.0 == upstream).count();
            match source.int_in_range(0..=3)? {
                0 | 1 => {
                    let limit = source.int_in_range(0..=8)?;
                    let decision = issued.issue(request(upstream, limit), now);
                    assert_eq!(decision.in_progress as usize, in_progress);
                    assert_eq!(decision.permit.is_some(), in_progress < limit as usize);
                    held.extend(decision.permit.map(|permit| (upstream, permit, now + LIFETIME)));
                }
                2 if !held.is_empty() => {
                    let (upstream, permit, _) = held.swap_remove(source.choose_index(held.len())?);
                    issued.end(upstream, permit);
                }
                _ => now = now + Duration::from_millis(source.int_in_range(0..=900)?),
            }
            assert_eq!(
                issued.in_progress(upstream, now),
                held.iter().filter(|permit| permit.0 == upstream && now < permit.2).count()
            );
        }
        Ok(())
    });
}
