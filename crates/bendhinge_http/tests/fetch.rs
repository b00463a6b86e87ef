//! Timeouts of `fetch`.

use std::io;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_http::{
    FetchError, FetchTimeouts, Fetched, Pool, ServeLimits, Server, Tasks, channel_body, empty_body, fetch,
    run_until,
};
use bytes::Bytes;
use hyper::{Request, Response};
use smol::Timer;

/// Longer than any of these tests runs.
const LONG: Duration = Duration::from_secs(600);
const CHUNKS: usize = 8;
const PAUSE: Duration = Duration::from_millis(500);

/// Fetches from a server that sends `chunk_count` chunks with a pause after each, then hangs if `stalls` is set.
fn fetched(chunk_count: usize, stalls: bool, timeouts: FetchTimeouts) -> Result<Fetched, FetchError> {
    let tasks = Tasks::default();
    let serving = Arc::clone(&tasks);
    let fetching = async move {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any, ServeLimits::default(), Arc::clone(&serving)).await.unwrap();
        let address = server.local_addr().unwrap();
        let spawning = Arc::clone(&serving);
        let answering = server.run(move |_| {
            let (sender, body) = channel_body(1);
            let sending = async move {
                for _ in 0..chunk_count {
                    sender.send(io::Result::Ok(Bytes::from_static(b"piece"))).await.unwrap();
                    Timer::after(PAUSE).await;
                }
                if stalls {
                    std::future::pending::<()>().await;
                }
            };
            spawning.spawn(sending).detach();
            async { Response::new(body) }
        });
        serving.spawn(answering).detach();
        let pool = Pool::new(serving, LONG, LONG);
        let request = Request::get("/").header("host", address.to_string()).body(empty_body()).unwrap();
        fetch(&pool, address, request, 1 << 20, timeouts).await
    };
    run_until(&tasks, NonZeroUsize::MIN, fetching)
}

/// The read timeout applies even if the total timeout is long.
#[test]
fn stalled_response_fails_at_the_read_timeout() {
    let timeouts = FetchTimeouts { read: PAUSE, total: LONG };
    assert!(matches!(fetched(1, true, timeouts), Err(FetchError::Body(_))));
    assert!(matches!(fetched(0, true, timeouts), Err(FetchError::Body(_) | FetchError::Timeout(_))));
}

#[test]
fn steady_response_may_exceed_the_read_timeout() {
    let timeouts = FetchTimeouts { read: PAUSE * 6, total: LONG };
    let response = fetched(CHUNKS, false, timeouts).unwrap();
    assert_eq!(response.body.len(), CHUNKS * b"piece".len());
}

#[test]
fn response_fails_at_the_total_timeout() {
    let timeouts = FetchTimeouts { read: LONG, total: PAUSE };
    assert!(matches!(fetched(CHUNKS, true, timeouts), Err(FetchError::Timeout(_))));
}
