//! Backoffs that upstreams request last to their end, regardless of later requests.

use std::time::Duration;

use arbtest::arbtest;
use bendhinge_fleet::{MAX_BACKOFF, RequestedBackoffs};
use bendhinge_ids::{Instant, NameHash};

const UPSTREAM: NameHash = NameHash(1);
const OTHER_UPSTREAM: NameHash = NameHash(2);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn backoff_lasts_for_the_requested_time() {
    let mut backoffs = RequestedBackoffs::default();
    assert_eq!(backoffs.record(UPSTREAM, millis(3_000), at(1_000)), at(4_000));
    assert_eq!(backoffs.ends_at(UPSTREAM, at(3_999)), Some(at(4_000)));
    assert_eq!(backoffs.ends_at(UPSTREAM, at(4_000)), None);
    assert_eq!(backoffs.ends_at(OTHER_UPSTREAM, at(3_000)), None);
}

#[test]
fn responses_out_of_order_do_not_shorten_a_backoff() {
    let mut backoffs = RequestedBackoffs::default();
    backoffs.record(UPSTREAM, millis(3_000), at(1_000));
    assert_eq!(backoffs.record(UPSTREAM, millis(100), at(1_200)), at(4_000));
    assert_eq!(backoffs.record(UPSTREAM, millis(3_000), at(2_000)), at(5_000));
}

#[test]
fn excessive_backoff_is_capped() {
    let mut backoffs = RequestedBackoffs::default();
    assert_eq!(backoffs.record(UPSTREAM, Duration::MAX, at(1_000)), at(1_000) + MAX_BACKOFF);
}

#[test]
fn prune_removes_only_expired_backoffs() {
    let mut backoffs = RequestedBackoffs::default();
    backoffs.record(UPSTREAM, millis(3_000), at(1_000));
    backoffs.record(OTHER_UPSTREAM, millis(1_000), at(1_000));
    backoffs.prune(at(2_500));
    assert_eq!(backoffs.ends_at(UPSTREAM, at(2_500)), Some(at(4_000)));
    assert_eq!((backoffs.active_count(at(2_500)), backoffs.active_count(at(4_000))), (1, 0));
}

/// Compares with a model that keeps every requested backoff.
#[test]
fn backoff_ends_with_the_last_requested_end() {
    arbtest(|input| {
        let mut backoffs = RequestedBackoffs::default();
        let mut ends: Vec<(NameHash, Instant)> = Vec::new();
        let mut now = at(0);
        for _ in 0..input.int_in_range(1..=40)? {
            now = now + millis(input.int_in_range(0..=700)?);
            let upstream = NameHash(input.int_in_range(1..=3)?);
            if input.ratio(1, 3)? {
                backoffs.prune(now);
            } else {
                let backoff = millis(input.int_in_range(1..=5_000)?);
                backoffs.record(upstream, backoff, now);
                ends.push((upstream, now + backoff));
            }
            for upstream in (1..=3).map(NameHash) {
                let active = ends.iter().filter(|(requester, end)| *requester == upstream && now < *end);
                assert_eq!(backoffs.ends_at(upstream, now), active.map(|(_, end)| *end).max());
            }
        }
        Ok(())
    });
}
