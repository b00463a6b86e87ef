//! Load reports of the upstreams that this router counts for, and orders to engines.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_configuration::{EngineOrder, engine_order};
use bendhinge_http::{fetch, fetch_json, full_body};
use bendhinge_ids::UpstreamName;
use bendhinge_placement::LoadReport;
use bendhinge_timeline::EventKind;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use smol::Timer;

use super::Control;
use crate::membership;
use crate::membership::Target;
use crate::node::Node;

/// Time for an upstream to answer a load query or an order.
const TIME: Duration = Duration::from_secs(1);

/// An upstream's report.
#[derive(Debug, Deserialize)]
struct Report {
    in_progress: u32,
    #[serde(default)]
    lag_ms: u64,
}

/// The orders that engines took from this router.
type Taken = Rc<RefCell<HashMap<UpstreamName, EngineOrder>>>;

pub(super) async fn run(control: Control) {
    let taken = Taken::default();
    loop {
        Timer::after(control.node.settings.control.load).await;
        let owned = control.node.fleet().owned_upstreams();
        taken.borrow_mut().retain(|name, _| owned.iter().any(|target| target.name == *name));
        for target in owned {
            let task = look_after(Arc::clone(&control.node), target, Rc::clone(&taken));
            control.executor.spawn(task).detach();
        }
    }
}

async fn look_after(node: Arc<Node>, target: Arc<Target>, taken: Taken) {
    let asked_at = bendhinge_clock::now();
    let report = fetch_json::<Report>(&node.upstreams, target.address, "/v1/load", TIME).await;
    let answered = report.is_ok();
    if let Ok(report) = report {
        let measured_at = asked_at - Duration::from_millis(report.lag_ms);
        let report = LoadReport { in_progress: report.in_progress, measured_at };
        node.ledger.lock().unwrap().apply_report(&target.name, report);
    }
    let changed = node.health.lock().unwrap().queried(target.hash, answered);
    if let Some(reachable) = changed {
        let upstream = target.name.to_string();
        spdlog::info!("an upstream's health changed", kv: { upstream = upstream.as_str(), reachable });
        node.note(EventKind::UpstreamHealth { upstream, reachable });
        membership::rebuild_fleet(&node);
    }
    if answered {
        give_order(&node, &target, &taken).await;
    }
}

/// Orders the engine to be what the confirmed configuration says, if it was not yet told.
async fn give_order(node: &Node, target: &Target, taken: &Taken) {
    let fleet = node.fleet();
    let order = fleet
        .configuration
        .as_ref()
        .and_then(|configuration| engine_order(configuration, &target.pool, &target.name));
    let Some(order) = order else { return };
    let known = taken.borrow().get(&target.name).is_some_and(|known| known.equals_ignoring_fence(&order));
    if known || !node.is_fresh() {
        return;
    }
    let body = serde_json::to_vec(&order).unwrap_or_default();
    let request =
        Request::post("/v1/orders").header("host", target.address.to_string()).body(full_body(body));
    let request = request.expect("the parts were made here");
    let answer = fetch(&node.upstreams, target.address, request, 1 << 16, TIME).await;
    if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
        node.note(EventKind::OrderTaken { upstream: target.name.to_string(), fence: order.fence });
        taken.borrow_mut().insert(target.name.clone(), order);
    }
}
