//! Peers and operators show that they belong.

mod common;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_http::{empty_body, fetch};
use bendhinge_peer::{PeerClient, PeerConnection, PeerKey, TrafficCounters};
use common::{eventually, run, start};
use futures_lite::AsyncWriteExt;
use hyper::Request;
use smol::LocalExecutor;

const TIME: Duration = Duration::from_secs(2);

#[test]
fn a_peer_without_the_key_is_dropped_and_counted() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let address = fleet.routers["box-1"].address("peers");
        let connected = {
            let executor = Rc::new(LocalExecutor::new());
            let key = PeerKey::new("a key of 16 and more characters");
            let traffic = Arc::new(TrafficCounters::default());
            smol::block_on(executor.run(PeerClient::connect(address, &key, TIME, &traffic, &executor)))
                .is_ok()
        };
        assert!(!connected);
        eventually("it is counted", || async { fleet.status("box-1").await.unwrap()["peer_foreign"] == 1 })
            .await;
    });
}

/// What a peer sent is recorded and sent again on another connection: nothing comes of it.
#[test]
fn garbage_and_replays_are_dropped_and_counted() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let address = fleet.routers["box-1"].address("peers");
        for frame in [vec![0_u8, 48], vec![0, 4, 1, 2, 3, 4], vec![0xff; 70_000]] {
            let mut stream = smol::net::TcpStream::connect(address).await.unwrap();
            let mut bytes = frame;
            bytes.resize(bytes.len().max(50), 7);
            // The router may close before all is written.
            let _ = stream.write_all(&bytes).await;
            let _ = stream.close().await;
        }
        eventually("all are counted", || async {
            fleet.status("box-1").await.unwrap()["peer_foreign"].as_u64().unwrap() >= 3
        })
        .await;
    });
}

#[test]
fn operators_need_their_key() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        let address = fleet.routers["box-1"].address("operators");
        let open = ["/healthz", "/readyz"];
        for path in ["/healthz", "/readyz", "/metrics", "/timeline", "/configuration", "/members", "/status"]
        {
            for key in [None, Some("wrong"), Some("example-operator-key-change-mE")] {
                let mut request = Request::get(path).header("host", "x");
                if let Some(key) = key {
                    request = request.header("authorization", format!("Bearer {key}"));
                }
                let answer = fetch(&fleet.pool, address, request.body(empty_body()).unwrap(), 1 << 20, TIME)
                    .await
                    .unwrap();
                let expected = if open.contains(&path) { 200 } else { 401 };
                assert_eq!(answer.status.as_u16(), expected, "{path} {key:?}");
            }
        }
    });
}

/// Operators' pages are not on the callers' address.
#[test]
fn callers_do_not_reach_operators_pages() {
    run(|tasks| async move {
        let fleet = start(&tasks).await;
        for path in ["/metrics", "/timeline", "/configuration", "/status"] {
            let outcome = common::caller(&fleet)
                .call(fleet.callers()[0], hyper::Method::GET, path, &[], String::new())
                .await;
            assert_eq!(outcome.status, 404, "{path}");
        }
    });
}
