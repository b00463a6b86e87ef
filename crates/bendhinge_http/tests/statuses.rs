//! Statuses of responses that a client takes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bendhinge_http::{FetchError, Fetched, Pool, Tasks, fetch_path, run_until};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Fetches from a server that answers one request with `response`.
fn fetch_from(response: String) -> Result<Fetched, FetchError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|length| length > 0) {
            head.push(byte[0]);
        }
        stream.write_all(response.as_bytes()).unwrap();
    });
    let tasks = Tasks::default();
    let pool = Pool::new(Arc::clone(&tasks), TIMEOUT, TIMEOUT);
    let fetched = run_until(&tasks, NonZeroUsize::MIN, fetch_path(&pool, address, "/", TIMEOUT));
    serving.join().unwrap();
    fetched
}

/// Guards against statuses that are no final ones and are taken for responses, on all paths of the client: to upstreams,
/// other gateways and the store.
#[test]
fn only_final_statuses_are_responses() {
    for status in [200_u16, 204, 304, 404, 499, 500, 599] {
        let fetched = fetch_from(format!("HTTP/1.1 {status} Odd\r\ncontent-length: 0\r\n\r\n"));
        assert_eq!(fetched.unwrap().status.as_u16(), status);
    }
    for status in [101_u16, 600, 777, 999] {
        let fetched = fetch_from(format!("HTTP/1.1 {status} Odd\r\ncontent-length: 0\r\n\r\n"));
        assert!(matches!(fetched, Err(FetchError::Status(told)) if told.as_u16() == status), "{fetched:?}");
    }
    for status in ["000", "099", "20", "2000", "-20", ""] {
        let fetched = fetch_from(format!("HTTP/1.1 {status} Odd\r\ncontent-length: 0\r\n\r\n"));
        assert!(matches!(fetched, Err(FetchError::ConnectionLost(_))), "{status}: {fetched:?}");
    }
}

/// Interim responses precede the final one.
#[test]
fn interim_responses_are_skipped() {
    let response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n".repeat(3)
        + "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(fetch_from(response).unwrap().status.as_u16(), 200);
}
