//! Callers that stop reading their answers.
//!
//! Pattern: thousands of callers whose connections stay open while nothing is taken from them. What is kept for each is
//! bounded, and is given up after a while.

use std::io;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bendhinge_http::{Body, ServeLimits, Server, Tasks, channel_body, run_until};
use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hyper::Response;
use smol::Timer;
use smol::net::TcpStream;

const CALLERS: usize = 50;
const PIECE: usize = 64 << 10;
static FILLED: [u8; PIECE] = [b'x'; PIECE];
/// More than the system's own buffers take in.
const PIECES: usize = 1_000;
const UNREAD_FOR: Duration = Duration::from_millis(200);

/// An answer whose pieces are counted as they are asked for.
fn endless(tasks: &Tasks, asked_for: &Arc<AtomicUsize>) -> Response<Body> {
    let (sender, body) = channel_body(1);
    let asked_for = Arc::clone(asked_for);
    let sending = async move {
        for _ in 0..PIECES {
            let piece: io::Result<Bytes> = Ok(Bytes::from_static(&FILLED));
            if sender.send(piece).await.is_err() {
                return;
            }
            asked_for.fetch_add(1, Ordering::Relaxed);
        }
    };
    tasks.spawn(sending).detach();
    Response::new(body)
}

async fn until(holds: impl Fn() -> bool) {
    for _ in 0..3_000 {
        if holds() {
            return;
        }
        Timer::after(Duration::from_millis(10)).await;
    }
    panic!("what was waited for did not come");
}

async fn send(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: fleet.example\r\n\r\n").await.unwrap();
    stream
}

#[test]
fn callers_that_leave_answers_unread_are_cut_and_those_that_read_are_not() {
    let tasks = Tasks::default();
    let body = async {
        let limits = ServeLimits { unread_for: UNREAD_FOR, ..ServeLimits::default() };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (asked_for, cut) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let counting = Arc::clone(&cut);
        let noting = Arc::new(move |_| {
            counting.fetch_add(1, Ordering::Relaxed);
        });
        let server = Server::bind(any, limits, Arc::clone(&tasks)).await.unwrap().noting_unread(noting);
        let address = server.local_addr().unwrap();
        let (spawning, counted) = (Arc::clone(&tasks), Arc::clone(&asked_for));
        let serving = server.run(move |_| {
            let answer = endless(&spawning, &counted);
            async move { answer }
        });
        tasks.spawn(serving).detach();
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            callers.push(send(address).await);
        }
        until(|| cut.load(Ordering::Relaxed) == CALLERS).await;
        let kept = asked_for.load(Ordering::Relaxed);
        assert!(kept < CALLERS * PIECES / 2, "{kept} pieces were taken for callers that read nothing");
        let mut read = 0;
        let mut caller = send(address).await;
        let mut buffer = vec![0; PIECE];
        while read < PIECES * PIECE {
            read += caller.read(&mut buffer).await.unwrap();
        }
        assert_eq!(cut.load(Ordering::Relaxed), CALLERS, "one that reads is not cut");
    };
    run_until(&tasks, NonZeroUsize::MIN, body);
}
