//! Requests that a gateway refuses as not run: what such a refusal rests on, and what is logged of it.

mod gateway_common;

use bendhinge_gateway::native::headers::{RAN, REQUEST, SIGNATURE};
use bendhinge_lab::gateways::{Call, FleetShape, KEY, Told, until};
use bendhinge_standin::gateway::UpstreamFault;
use gateway_common::{RawEnd, RawUpstream, call, line_of, metric, run, send, smallest, start};

/// Guards against a log line without the evidence for the end of a send.
#[test]
fn a_refused_request_is_logged_with_the_evidence_of_each_send() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 1, services: 2 }).await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::Full));
        let call = call("/unsafe/x");
        assert_eq!(send(&fleet, &call).await.told, Told::Status(503));
        let line = line_of(&fleet, &call).await;
        let sends = line["sends"].as_array().unwrap();
        assert_eq!(sends.len(), 2, "{line}");
        for send in sends {
            assert_eq!((&send["end"], &send["status"]), (&"rejected".into(), &503.into()), "{line}");
        }
        assert_eq!(metric(&fleet, "bendhinge_gateway_unrun_total").await, Some(1));
    });
}

/// Guards against a refusal without a line because the process is killed after it.
#[test]
fn a_refusal_is_logged_before_its_caller_is_told() {
    const KILLS: usize = 10;
    run(|tasks| async move {
        let mut fleet = smallest(&tasks).await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::Full));
        for _ in 0..KILLS {
            let call = call("/unsafe/x");
            until(async || send(&fleet, &call).await.told == Told::Status(503)).await;
            let mut process = fleet.gateways[0].take().unwrap();
            process.kill();
            until(async || process.lines().iter().any(|line| line.contains(&call.id))).await;
            fleet.restart(0);
        }
    });
}

/// Guards against a request that is refused as not run after it ran, because a header of the response denies the run.
#[test]
fn a_result_that_claims_that_nothing_ran_is_no_rejection() {
    const STATUSES: [&str; 4] =
        ["200 OK", "202 Accepted", "500 Internal Server Error", "504 Gateway Timeout"];
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 0 }).await;
        let mut wrong = Vec::new();
        for (number, status) in STATUSES.into_iter().enumerate() {
            let response = format!(
                "HTTP/1.1 {status}\r\n{REQUEST}: {{id}}\r\n{SIGNATURE}: s\r\n{RAN}: no\r\ncontent-length: 4\r\n\r\ndone"
            );
            let raw = RawUpstream::start(&tasks, response, RawEnd::Keep, 0).await;
            for (pool, call) in [("services", call("/unsafe/x")), ("engines", Call::stream("/stream/x", KEY))]
            {
                let name = format!("{pool}-{number}");
                fleet.store.add(&name, pool, raw.address);
                until(async || {
                    let told = send(&fleet, &call).await.told;
                    let ran = raw.requests().iter().any(|head| head.contains(&call.id));
                    if ran && matches!(told, Told::Status(408 | 421 | 429 | 503)) {
                        wrong.push(format!("{status} in {pool}: {told:?}"));
                    }
                    ran
                })
                .await;
                fleet.store.remove(&name);
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}
