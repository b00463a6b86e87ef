//! The operators' address: health, metrics, the time line, and what is in force.
//!
//! `/healthz` and `/readyz` are open, for the balancer; all else needs the operators' key.

use std::sync::Arc;

use bendhinge_codes::ResultCode;
use bendhinge_http::{Body, full_body};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::Serialize;

use crate::node::Node;

/// What `/status` tells.
#[derive(Debug, Serialize)]
struct Status {
    name: String,
    incarnation: u64,
    stopping: bool,
    fresh: bool,
    configuration_revision: u64,
    configuration_digest: String,
    latest_revision: u64,
    superseded_revision: Option<u64>,
    superseded_digest: Option<String>,
    list_revision: u64,
    counting_routers: Vec<String>,
    upstreams: usize,
    permits_outstanding: usize,
    peer_sent_bytes: u64,
    peer_received_bytes: u64,
    peer_foreign: u64,
}

/// Answers one request of an operator.
pub(crate) fn handle(node: &Arc<Node>, request: &Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/healthz" => return plain(StatusCode::OK, "ok\n"),
        "/readyz" => return ready(node),
        _ => {}
    }
    if !is_operator(node, request.headers()) {
        let code = ResultCode::OperatorKeyInvalid;
        node.metrics.result(code);
        return plain(StatusCode::UNAUTHORIZED, format!("{code}: {} {}\n", code.means(), code.action()));
    }
    match request.uri().path() {
        "/metrics" => plain(StatusCode::OK, metrics(node)),
        "/timeline" => json(&node.record.page(requested(request))),
        "/configuration" => configuration(node),
        "/members" => json(node.membership.lock().unwrap().directory.list()),
        "/status" => json(&status(node)),
        _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn ready(node: &Node) -> Response<Body> {
    if node.is_stopping() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if node.fleet().configuration.is_none() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "no configuration in force yet\n");
    }
    plain(StatusCode::OK, "ready\n")
}

/// Compares in a time that does not depend on where the two differ.
fn is_operator(node: &Node, headers: &HeaderMap) -> bool {
    let expected = node.settings.keys.operators.as_bytes();
    let given = headers.get("authorization").and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    given.is_some_and(|given| {
        let differences = given.iter().zip(expected).fold(0, |sum, (left, right)| sum | (left ^ right));
        given.len() == expected.len() && differences == 0
    })
}

fn requested(request: &Request<Incoming>) -> Option<&str> {
    request.uri().query().and_then(|query| query.strip_prefix("request="))
}

fn metrics(node: &Node) -> String {
    node.metrics.in_progress.set(node.in_progress.load(std::sync::atomic::Ordering::Relaxed) as u64);
    node.metrics.permits_outstanding.set(node.ledger.lock().unwrap().outstanding() as u64);
    node.metrics.freezes.set(node.freshness.lock().unwrap().gap_count());
    node.metrics.text()
}

fn configuration(node: &Node) -> Response<Body> {
    match &node.fleet().configuration {
        Some(configuration) => plain(StatusCode::OK, configuration.text.clone()),
        None => plain(StatusCode::NOT_FOUND, "no configuration in force yet\n"),
    }
}

fn status(node: &Node) -> Status {
    let fresh = node.is_fresh();
    let fleet = node.fleet();
    let (latest, superseded) = {
        let state = node.configuration.lock().unwrap();
        (state.latest().0, state.adoption.superseded())
    };
    let in_force = fleet.configuration.as_ref();
    Status {
        name: node.life.name.to_string(),
        incarnation: node.life.incarnation.0,
        stopping: node.is_stopping(),
        fresh,
        configuration_revision: in_force.map_or(0, |configuration| configuration.revision.0),
        configuration_digest: in_force
            .map(|configuration| configuration.digest.to_string())
            .unwrap_or_default(),
        latest_revision: latest.0,
        superseded_revision: superseded.map(|(revision, _)| revision.0),
        superseded_digest: superseded.map(|(_, digest)| digest.to_string()),
        list_revision: node.membership.lock().unwrap().directory.list().revision,
        counting_routers: fleet.counting.iter().map(ToString::to_string).collect(),
        upstreams: fleet.pools.values().map(|pool| pool.ranking.serving_count()).sum(),
        permits_outstanding: node.ledger.lock().unwrap().outstanding(),
        peer_sent_bytes: node.traffic.sent_bytes(),
        peer_received_bytes: node.traffic.received_bytes(),
        peer_foreign: node.traffic.rejected_connections(),
    }
}

fn plain(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut answer = Response::new(full_body(text.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert("content-type", "text/plain; charset=utf-8".parse().expect("a valid header"));
    answer
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    let mut answer = Response::new(full_body(serde_json::to_vec(value).expect("string keys")));
    answer.headers_mut().insert("content-type", "application/json".parse().expect("a valid header"));
    answer
}
