//! Lists of cached prompt parts that a gateway reads from upstreams when it starts.

mod gateway_common;

use std::fmt::Write;

use bendhinge_lab::gateways::{Call, FleetShape, GatewayFleet, KEY, Told, until};
use gateway_common::{PATIENCE, RawEnd, RawUpstream, run};

const UPSTREAMS: usize = 8;
const BOX_MEMORY_MB: u64 = 160;
/// Just below the size at which a response is refused.
const LIST_BYTES: usize = 15 << 20;

/// Guards against upstreams whose lists of cached parts use up the memory of a gateway.
#[test]
fn large_lists_do_not_use_up_the_memory() {
    run(|tasks| async move {
        let shape = FleetShape { gateways: 1, engines: 1, services: 0 };
        let memory = format!("[memory]\nlimit_mb = {BOX_MEMORY_MB}\n");
        let mut fleet = GatewayFleet::start(&tasks, shape, &memory).await;
        let mut list = "[".to_owned();
        while list.len() < LIST_BYTES {
            // Writing to a string does not fail.
            let _ = write!(list, r#"{{"part":{},"tokens":100}},"#, list.len());
        }
        list.push_str(r#"{"part":1,"tokens":100}]"#);
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
        let mut lists = Vec::new();
        for number in 0..UPSTREAMS {
            let upstream = RawUpstream::start(&tasks, response.clone(), RawEnd::Close, 0).await;
            fleet.store.add(&format!("large-{number}"), "engines", upstream.address);
            lists.push(upstream);
        }
        fleet.gateways[0] = None;
        fleet.restart(0);
        fleet.until_ready().await;
        until(async || lists.iter().all(|upstream| !upstream.requests().is_empty())).await;
        let recovered = r#""event":"recovered","from":"upstream""#;
        until(async || {
            fleet.gateway(0).lines().iter().filter(|line| line.contains(recovered)).count() > UPSTREAMS
        })
        .await;
        let peak = fleet.gateway(0).peak_memory();
        assert!(peak < BOX_MEMORY_MB << 20, "{} MB", peak >> 20);
        lists.iter().enumerate().for_each(|(number, _)| fleet.store.remove(&format!("large-{number}")));
        until(async || {
            let call = Call { prompt: Some("7:100".to_owned()), ..Call::new("/resumable/x", KEY) };
            fleet.caller().send(fleet.callers(0), &call, PATIENCE).await.told == Told::Whole
        })
        .await;
    });
}
