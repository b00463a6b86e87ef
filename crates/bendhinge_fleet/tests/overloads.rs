//! Tests which reports of overloaded upstreams are sent at once.

use std::time::Duration;

use bendhinge_fleet::{OverloadLog, UpdateSource, UpstreamLoad};
use bendhinge_ids::{Instant, NameHash};

const START: Instant = Instant::from_millis(10_000);
const PEER: UpdateSource = UpdateSource::Router(NameHash(1));
const OTHER: UpdateSource = UpdateSource::Router(NameHash(2));

fn report(upstream: u64, reported_at: Instant) -> UpstreamLoad {
    UpstreamLoad { upstream: NameHash(upstream), in_progress: 20, reported_at }
}

/// Guards against a message for each response of an overloaded upstream.
#[test]
fn an_upstream_is_reported_again_only_after_a_while() {
    let mut log = OverloadLog::default();
    let at = |millis| START + Duration::from_millis(millis);
    let recorded: Vec<u64> = (0..1_200)
        .step_by(100)
        .filter(|millis| log.record(report(1, at(*millis)), UpdateSource::Local, at(*millis)))
        .collect();
    assert_eq!(recorded, [0, 500, 1_000]);
    assert!(log.record(report(2, at(1_100)), UpdateSource::Local, at(1_100)), "another upstream");
    assert!(!log.record(report(1, START), PEER, at(1_200)), "a report that is older than a recorded one");
}

/// Guards against reports that are returned to their sender, sent twice or sent late.
#[test]
fn reports_are_sent_once_to_all_but_their_source() {
    let mut log = OverloadLog::default();
    log.record(report(1, START), PEER, START);
    log.record(report(2, START), UpdateSource::Local, START);
    assert_eq!(log.since(0, OTHER, START).entries.len(), 2);
    let to_source = log.since(0, PEER, START);
    assert_eq!(to_source.entries, [report(2, START)]);
    assert_eq!(log.since(to_source.last_sequence, OTHER, START).entries, []);
    assert_eq!(log.since(0, OTHER, START + Duration::from_secs(1)).entries, []);
}

/// Guards against reports that circulate: in any order of messages between routers, each router sends a report at most
/// once to each of the others.
#[test]
fn forwarded_reports_come_to_rest() {
    arbtest::arbtest(|random| {
        const ROUTERS: usize = 5;
        let source = |number: usize| UpdateSource::Router(NameHash(number as u64));
        let mut logs: Vec<OverloadLog> = std::iter::repeat_with(OverloadLog::default).take(ROUTERS).collect();
        let mut sent = [[0; ROUTERS]; ROUTERS];
        let mut messages = 0;
        logs[0].record(report(1, START), UpdateSource::Local, START);
        for _ in 0..200 {
            let from = random.int_in_range(0..=ROUTERS - 1)?;
            let to = random.int_in_range(0..=ROUTERS - 1)?;
            let batch = logs[from].since(sent[from][to], source(to), START);
            sent[from][to] = batch.last_sequence;
            messages += batch.entries.len();
            for report in batch.entries {
                logs[to].record(report, source(from), START);
            }
        }
        assert!(messages <= ROUTERS * ROUTERS, "{messages} messages");
        Ok(())
    });
}

/// Guards against an old report that circulates, since routers forget that they have sent it.
#[test]
fn outdated_reports_are_not_sent_on() {
    let mut log = OverloadLog::default();
    assert!(log.record(report(1, START), PEER, START));
    for millis in [500, 1_000, 1_999, 2_000, 60_000] {
        let now = START + Duration::from_millis(millis);
        log.prune(now);
        assert!(!log.record(report(1, START), OTHER, now), "after {millis} ms");
    }
}

/// Guards against memory that grows with the upstreams that were ever overloaded.
#[test]
fn expired_reports_are_dropped() {
    let mut log = OverloadLog::default();
    for number in 0..2_000 {
        log.record(report(number, START), UpdateSource::Local, START);
    }
    let later = START + Duration::from_secs(2);
    log.prune(later);
    assert_eq!(log.since(0, PEER, later).entries, []);
    assert!(log.record(report(1, later), PEER, later));
}
