//! Retry budgets of gateways, over real connections.

mod gateway_common;

use bendhinge_lab::gateways::{Call, FleetShape, GatewayFleet, Told, until};
use bendhinge_standin::gateway::UpstreamFault;
use gateway_common::{call, run, send};
use serde_json::{Value, json};

/// Waits for the line of a request and returns the budget behind its first retry, whether allowed or denied.
async fn retry_budget(fleet: &GatewayFleet, call: &Call) -> Value {
    let find = || {
        let lines = fleet.gateway(0).lines();
        let mut values = lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        values.find(|line| line["event"] == "request" && line["request"] == call.id.as_str())
    };
    until(async || find().is_some()).await;
    let line = find().unwrap();
    let retry = line["sends"].get(1).map_or(&line["denied_retry"], |send| &send["retry"]);
    retry["budget"].clone()
}

/// Returns the budget for the retries of the first request after the start of a gateway and after its restart.
async fn budgets_after_starts(fleet: &mut GatewayFleet) -> [Value; 2] {
    let mut budgets = [Value::Null, Value::Null];
    for budget in &mut budgets {
        let call = call("/safe/x");
        assert_ne!(send(fleet, &call).await.told, Told::Whole);
        *budget = retry_budget(fleet, &call).await;
        fleet.gateways[0] = None;
        fleet.restart(0);
        fleet.until_ready().await;
    }
    budgets
}

/// Guards against gateways that spend a whole retry budget after each restart.
#[test]
fn a_restarted_gateway_assumes_that_its_retry_budget_was_spent() {
    // The window outlasts the test.
    const SECTIONS: &str = "[retries]\nratio = 1\nslack = 0\nspan_s = 600\n";
    run(|tasks| async move {
        let shape = FleetShape { gateways: 1, engines: 0, services: 2 };
        for (switch, expected) in [("assume_spent = yes\n", 0.2), ("", 0.8)] {
            let mut fleet = GatewayFleet::start(&tasks, shape, &format!("{SECTIONS}{switch}")).await;
            fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::Full));
            assert_eq!(
                budgets_after_starts(&mut fleet).await,
                [json!(expected), json!(expected)],
                "{switch}"
            );
        }
    });
}
