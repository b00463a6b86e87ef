//! Responses of upstreams whose status is no final status of HTTP.

mod gateway_common;

use bendhinge_lab::gateways::{FleetShape, KEY, until};
use gateway_common::{RawEnd, RawUpstream, call, run, send_raw, start};

/// Statuses below and above those of final responses, one that is too short, and one of a change of protocol.
const STATUSES: [&str; 8] = ["000", "001", "099", "20", "101", "600", "777", "999"];

/// Guards against a status that no caller can understand, or that says that the connection changes its protocol, and
/// that is passed on as the response to a request.
#[test]
fn only_final_statuses_are_passed_on() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 0 }).await;
        let mut wrong = Vec::new();
        for (number, status) in STATUSES.into_iter().enumerate() {
            let response = format!(
                "HTTP/1.1 {status} Odd\r\nx-bendhinge-request: {{id}}\r\nx-bendhinge-signature: s\r\n\
                 upgrade: other\r\nconnection: upgrade\r\ncontent-length: 4\r\n\r\nbody"
            );
            let upstream = RawUpstream::start(&tasks, response, RawEnd::Keep, 0).await;
            for (pool, path) in
                [("services", "/safe/x"), ("services", "/unsafe/x"), ("engines", "/resumable/x")]
            {
                let name = format!("{pool}-{number}");
                fleet.store.add(&name, pool, upstream.address);
                until(async || {
                    let call = call(path);
                    let head = format!(
                        "POST {path} HTTP/1.1\r\nhost: fleet.example\r\nauthorization: Bearer {KEY}\r\n\
                         x-bendhinge-request: {}\r\nx-bendhinge-prompt: 1:100\r\ncontent-length: 0\r\n\r\n",
                        call.id
                    );
                    let answer = send_raw(&fleet, head.as_bytes(), "\r\n\r\n").await;
                    let has_run = upstream.requests().iter().any(|head| head.contains(&call.id));
                    let is_own =
                        ["502", "503"].iter().any(|own| answer.starts_with(&format!("HTTP/1.1 {own} ")));
                    if has_run && !is_own {
                        wrong.push(format!("{status} at {path}: {answer}"));
                    }
                    has_run
                })
                .await;
                fleet.store.remove(&name);
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}
