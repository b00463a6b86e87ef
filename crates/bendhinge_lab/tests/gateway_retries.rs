//! Retry budgets of gateways, over real connections.

mod gateway_common;

use bendhinge_lab::gateways::{Call, FleetShape, GatewayFleet, Told, until};
use bendhinge_standin::gateway::UpstreamFault;
use gateway_common::{call, line_of, run, send};
use serde_json::{Value, json};

/// Waits for the line of a request and returns the figures behind its first retry, whether allowed or denied.
async fn first_retry(fleet: &GatewayFleet, call: &Call) -> Value {
    let line = line_of(fleet, call).await;
    line["sends"].get(1).map_or(&line["denied_retry"], |send| &send["retry"]).clone()
}

/// Returns the budget for the retries of the first request after the start of a gateway and after its restart.
async fn budgets_after_starts(fleet: &mut GatewayFleet) -> [Value; 2] {
    let mut budgets = [Value::Null, Value::Null];
    for budget in &mut budgets {
        let call = call("/safe/x");
        assert_ne!(send(fleet, &call).await.told, Told::Whole);
        *budget = first_retry(fleet, &call).await["budget"].clone();
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

/// Guards against gateways that each use the base retries of the whole fleet while they cannot reach each other.
#[test]
fn a_gateway_that_knows_nobody_shares_the_base_retries_with_its_seeds() {
    run(|tasks| async move {
        let shape = FleetShape { gateways: 1, engines: 0, services: 2 };
        let mut fleet = GatewayFleet::start(&tasks, shape, "[retries]\nratio = 0\nslack = 80\n").await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::Failed));
        fleet.settings[0].seeds =
            ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"].map(|seed| seed.parse().unwrap()).into();
        fleet.gateways[0] = None;
        fleet.restart(0);
        fleet.until_ready().await;
        // Half of the base retries are used, and the first share is one retry.
        let shares = [json!(1.0), json!(10.0)];
        let last_share = async || {
            let call = call("/safe/x");
            send(&fleet, &call).await;
            let base = first_retry(&fleet, &call).await["base"].clone();
            assert!(shares.contains(&base), "{base}");
            base == shares[1]
        };
        until(last_share).await;
    });
}
