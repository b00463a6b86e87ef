//! How long an answer is waited for.

use std::io;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_http::{
    FetchError, FetchTime, Fetched, Pool, ServeLimits, Server, Tasks, channel_body, empty_body, fetch,
    run_until,
};
use bytes::Bytes;
use hyper::{Request, Response};
use smol::Timer;

/// More than any test takes.
const LONG: Duration = Duration::from_secs(600);
const PIECES: usize = 8;
const PAUSE: Duration = Duration::from_millis(500);

/// Fetches from a server that sends `pieces` with a pause after each, and then nothing more if it `stalls`.
fn fetched(pieces: usize, stalls: bool, time: FetchTime) -> Result<Fetched, FetchError> {
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
                for _ in 0..pieces {
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
        fetch(&pool, address, request, 1 << 20, time).await
    };
    run_until(&tasks, NonZeroUsize::MIN, fetching)
}

/// The store may fall silent in the middle of a long answer.
#[test]
fn who_falls_silent_is_not_waited_for_as_long_as_a_whole_answer_may_take() {
    let time = FetchTime { silence: PAUSE, whole: LONG };
    assert!(matches!(fetched(1, true, time), Err(FetchError::Body(_))));
    assert!(matches!(fetched(0, true, time), Err(FetchError::Body(_) | FetchError::Timeout(_))));
}

#[test]
fn an_answer_that_goes_on_may_take_longer_than_any_silence_in_it() {
    let time = FetchTime { silence: PAUSE * 6, whole: LONG };
    let whole = fetched(PIECES, false, time).unwrap();
    assert_eq!(whole.body.len(), PIECES * b"piece".len());
}

#[test]
fn an_answer_is_not_waited_for_beyond_the_whole_time() {
    let time = FetchTime { silence: LONG, whole: PAUSE };
    assert!(matches!(fetched(PIECES, true, time), Err(FetchError::Timeout(_))));
}
