//! Records of the software that began streams.

use std::collections::HashMap;
use std::time::Duration;

use arbtest::arbtest;
use bendhinge_fleet::{OwnStream, StreamId, StreamRecord, StreamRecordLimits, StreamRecords, StreamSoftware};
use bendhinge_ids::{Instant, NameHash};

const LIMITS: StreamRecordLimits = StreamRecordLimits { total: 8, per_customer: 3 };

fn at(seconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(seconds)
}

fn record(stream: u64, software: u64, expires: u64) -> StreamRecord {
    StreamRecord {
        stream: StreamId(stream),
        software: StreamSoftware::Known(NameHash(software)),
        expires_at: at(expires),
    }
}

fn own(stream: u64, software: u64, customer: u64) -> OwnStream {
    OwnStream {
        record: record(stream, software, 10),
        customer: NameHash(customer),
        pool: NameHash(1),
        forwarded_by: None,
    }
}

#[test]
fn records_are_found_until_they_expire() {
    let mut records = StreamRecords::new(LIMITS);
    assert!(records.record_own(own(1, 7, 1)));
    assert!(records.merge(record(2, 8, 20)));
    assert_eq!(records.find(StreamId(1), at(9)), Some(record(1, 7, 10)));
    assert_eq!(records.find(StreamId(1), at(10)), None);
    assert_eq!(records.find(StreamId(2), at(10)), Some(record(2, 8, 20)));
    records.prune(at(30));
    assert!(records.is_empty());
}

/// Guards against a request ID that is used twice, whose later stream would replace the software of the first.
#[test]
fn different_software_makes_a_record_ambiguous() {
    let mut records = StreamRecords::new(LIMITS);
    records.record_own(own(1, 7, 1));
    records.merge(record(1, 7, 15));
    assert_eq!(records.find(StreamId(1), at(0)), Some(record(1, 7, 15)));
    records.merge(record(1, 8, 10));
    let software = |records: &StreamRecords| records.find(StreamId(1), at(0)).unwrap().software;
    assert_eq!(software(&records), StreamSoftware::Ambiguous);
    records.record_own(own(1, 7, 1));
    assert_eq!(software(&records), StreamSoftware::Ambiguous);
}

/// Guards against a customer whose requests fill the table.
#[test]
fn records_are_limited_by_customer_and_in_all() {
    let mut records = StreamRecords::new(LIMITS);
    let is_recorded: Vec<bool> = (0..5).map(|stream| records.record_own(own(stream, 7, 1))).collect();
    assert_eq!(is_recorded, [true, true, true, false, false]);
    assert!(records.record_own(own(0, 7, 1)), "a known stream is renewed");
    assert!(records.record_own(own(10, 7, 2)));
    let merged = (20..40).filter(|stream| records.merge(record(*stream, 7, 10))).count();
    assert_eq!((merged, records.len()), (4, LIMITS.total));
    records.prune(at(10));
    assert!(records.record_own(own(4, 7, 1)), "expired records no longer count");
}

#[test]
fn own_records_are_sent_once_when_they_are_needed() {
    let mut records = StreamRecords::new(LIMITS);
    records.record_own(own(1, 7, 1));
    records.merge(record(2, 7, 10));
    assert!(records.take_unsent(|_, _| false, at(0)).is_empty());
    let unsent =
        records.take_unsent(|pool, lifetime| pool == NameHash(1) && lifetime > Duration::ZERO, at(0));
    assert_eq!(unsent.iter().map(|unsent| unsent.record).collect::<Vec<_>>(), [record(1, 7, 10)]);
    assert!(records.take_unsent(|_, _| true, at(0)).is_empty());
    // A stream that was resumed is sent again, since its record expires later.
    records.record_own(own(1, 7, 1));
    assert_eq!(records.take_unsent(|_, _| true, at(0)).len(), 1);
    assert_eq!(records.all(at(0)).len(), 2);
}

/// Compares the table with a map without limits, under records of a few streams in any order.
#[test]
fn records_match_a_simple_table() {
    arbtest(|u| {
        let limits = StreamRecordLimits { total: 100, per_customer: 100 };
        let mut records = StreamRecords::new(limits);
        let mut expected: HashMap<u64, (Vec<u64>, u64)> = HashMap::new();
        let mut now = 0;
        for _ in 0..u.int_in_range(1..=40)? {
            let (stream, software) = (u.int_in_range(0..=5)?, u.int_in_range(1..=2)?);
            let expires = now + u.int_in_range(1..=20)?;
            match u.int_in_range(0..=3)? {
                0 => {
                    let own =
                        OwnStream { record: record(stream, software, expires), ..own(0, 0, stream % 2) };
                    assert!(records.record_own(own));
                }
                1 => assert!(records.merge(record(stream, software, expires))),
                2 => {
                    now += u.int_in_range(0..=10)?;
                    records.prune(at(now));
                    expected.retain(|_, (_, expires)| now < *expires);
                    continue;
                }
                _ => {
                    now += 1;
                    records.prune(at(now));
                    expected.retain(|_, (_, expires)| now < *expires);
                    continue;
                }
            }
            let (versions, latest) = expected.entry(stream).or_insert((Vec::new(), 0));
            versions.push(software);
            *latest = expires.max(*latest);
        }
        for stream in 0..=5 {
            let found = records.find(StreamId(stream), at(now)).map(|record| record.software);
            let expected = expected.get(&stream).map(|(versions, _)| {
                let is_single = versions.iter().all(|version| *version == versions[0]);
                if is_single {
                    StreamSoftware::Known(NameHash(versions[0]))
                } else {
                    StreamSoftware::Ambiguous
                }
            });
            assert_eq!(found, expected, "stream {stream}");
        }
        Ok(())
    });
}
