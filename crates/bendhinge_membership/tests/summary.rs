//! What a router reports of the upstreams that it tracks.

use bendhinge_ids::NameHash;
use bendhinge_membership::{UpstreamLoad, distrust_own_links};

/// Reports of `tracked` upstreams of which the first `unreachable` did not answer.
fn reports(tracked: u64, unreachable: u64) -> Vec<UpstreamLoad> {
    let report = |number| UpstreamLoad {
        upstream: NameHash(number),
        in_progress: 1,
        reachable: number >= unreachable,
    };
    (0..tracked).map(report).collect()
}

fn reported_unreachable(tracked: u64, unreachable: u64) -> usize {
    let mut reports = reports(tracked, unreachable);
    distrust_own_links(&mut reports);
    reports.iter().filter(|report| !report.reachable).count()
}

/// Guards against a router that is partitioned from the upstreams and makes all others avoid those that it tracks.
#[test]
fn a_router_that_reaches_hardly_any_upstream_reports_none_as_unreachable() {
    for (tracked, unreachable) in [(2, 2), (4, 3), (4, 4), (12, 9), (12, 12)] {
        assert_eq!(reported_unreachable(tracked, unreachable), 0, "{unreachable} of {tracked}");
    }
}

#[test]
fn single_unreachable_upstreams_are_reported() {
    for (tracked, unreachable) in [(1, 1), (2, 1), (4, 2), (12, 8), (12, 1)] {
        let reported = reported_unreachable(tracked, unreachable);
        assert_eq!(reported as u64, unreachable, "{unreachable} of {tracked}");
    }
}
