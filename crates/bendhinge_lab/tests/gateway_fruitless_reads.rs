//! Reads of the store whose answers neither update nor confirm what a gateway holds.

mod gateway_common;

use std::time::{Duration, Instant};

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{FleetShape, GatewayFleet, until};
use gateway_common::{metric, run, start};
use smol::Timer;

/// Reads of one gateway: of a long list, so that changes are read, and of a short one.
const SHAPE: FleetShape = FleetShape { gateways: 1, engines: 0, services: 1 };
const WATCHED: Duration = Duration::from_secs(3);
/// The default of `urgent_retry_ms`: the shortest delay after a failed read.
const MIN_DELAY: Duration = Duration::from_millis(300);
/// A read of changes makes two calls.
const CALLS_PER_READ: u64 = 2;
const UNAPPLIED: &str = "bendhinge_gateway_store_read_seconds_count{result=\"not_applied\"";

/// Panics if the gateway reads the store more often than after failed reads, while it cannot apply what it gets.
async fn assert_reads_wait(fleet: &GatewayFleet) {
    let (start, reads) = (Instant::now(), fleet.store.reads());
    Timer::after(WATCHED).await;
    let reads = fleet.store.reads() - reads;
    let periods = start.elapsed().as_millis() / MIN_DELAY.as_millis() + 2;
    assert!(u128::from(reads) <= periods * u128::from(CALLS_PER_READ), "{reads} calls in {periods} periods");
    until(async || metric(fleet, UNAPPLIED).await > Some(0)).await;
}

fn count_lines(fleet: &GatewayFleet, text: &str) -> usize {
    fleet.gateway(0).lines().iter().filter(|line| line.contains(text)).count()
}

async fn with_spares(tasks: &Tasks, spares: u32) -> GatewayFleet {
    let fleet = start(tasks, SHAPE).await;
    for number in 0..spares {
        fleet.store.add(&format!("spare-{number:03}"), "spares", ([127, 0, 0, 1], 9).into());
    }
    let revision = format!(r#""what":"upstreams","revision":{},"#, fleet.store.revision());
    until(async || count_lines(&fleet, &revision) > 0).await;
    fleet
}

/// Guards against a gateway that reads the store without a pause because it cannot read the rules, and that logs a
/// line for each read.
#[test]
fn rules_that_cannot_be_read_do_not_cause_a_flood_of_reads() {
    run(|tasks| async move {
        let fleet = with_spares(&tasks, 0).await;
        fleet.store.put_rules("no rules");
        until(async || count_lines(&fleet, r#""event":"rules_refused""#) > 0).await;
        assert_reads_wait(&fleet).await;
        assert_eq!(count_lines(&fleet, r#""event":"rules_refused""#), 1, "one line for a document");
        assert_eq!(count_lines(&fleet, r#""what":"store","there":false"#), 1);
        fleet.store.put_rules(&bendhinge_lab::gateways::RULES.replace("version = 1", "version = 2"));
        until(async || count_lines(&fleet, r#""what":"store","there":true"#) > 1).await;
    });
}
/// Guards against a store that answers with an older revision, as after a loss of its history: a gateway took that for
/// a confirmation of what it held, or read without a pause.
#[test]
fn an_older_revision_confirms_nothing() {
    for spares in [0, 201] {
        run(|tasks| async move {
            let fleet = with_spares(&tasks, spares).await;
            fleet.store.restore_revision(1);
            assert_reads_wait(&fleet).await;
            assert_eq!(count_lines(&fleet, r#""what":"store","there":false"#), 1);
            until(async || !fleet.is_ready(0).await).await;
        });
    }
}
