//! Guards against connections and response data accumulating for callers that stop reading.

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
const CHUNK_BYTES: usize = 64 << 10;
static CHUNK: [u8; CHUNK_BYTES] = [b'x'; CHUNK_BYTES];
/// Makes a response larger than the socket buffers of the operating system.
const CHUNKS: usize = 1_000;
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns a response of `CHUNKS` chunks and counts those that its body channel accepted.
fn large_response(tasks: &Tasks, sent_chunks: &Arc<AtomicUsize>) -> Response<Body> {
    let (sender, body) = channel_body(1);
    let sent_chunks = Arc::clone(sent_chunks);
    let sending = async move {
        for _ in 0..CHUNKS {
            let chunk: io::Result<Bytes> = Ok(Bytes::from_static(&CHUNK));
            if sender.send(chunk).await.is_err() {
                return;
            }
            sent_chunks.fetch_add(1, Ordering::Relaxed);
        }
    };
    tasks.spawn(sending).detach();
    Response::new(body)
}

async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..3_000 {
        if condition() {
            return;
        }
        Timer::after(Duration::from_millis(10)).await;
    }
    panic!("condition not met within 30 s");
}

async fn send_request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: fleet.example\r\n\r\n").await.unwrap();
    stream
}

#[test]
fn write_timeout_closes_only_connections_of_callers_that_do_not_read() {
    let tasks = Tasks::default();
    let body = async {
        let limits = ServeLimits { write_timeout: WRITE_TIMEOUT, ..ServeLimits::default() };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (sent_chunks, timed_out) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let timed_out_counter = Arc::clone(&timed_out);
        let callback = Arc::new(move |_| {
            timed_out_counter.fetch_add(1, Ordering::Relaxed);
        });
        let server = Server::bind(any, limits, Arc::clone(&tasks)).await.unwrap().on_write_timeout(callback);
        let address = server.local_addr().unwrap();
        let (handler_tasks, chunk_counter) = (Arc::clone(&tasks), Arc::clone(&sent_chunks));
        let serving = server.run(move |_| {
            let response = large_response(&handler_tasks, &chunk_counter);
            async move { response }
        });
        tasks.spawn(serving).detach();
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            callers.push(send_request(address).await);
        }
        wait_until(|| timed_out.load(Ordering::Relaxed) == CALLERS).await;
        let accepted = sent_chunks.load(Ordering::Relaxed);
        assert!(
            accepted < CALLERS * CHUNKS / 2,
            "{accepted} chunks were accepted for callers that do not read"
        );
        let mut read_bytes = 0;
        let mut caller = send_request(address).await;
        let mut buffer = vec![0; CHUNK_BYTES];
        while read_bytes < CHUNKS * CHUNK_BYTES {
            read_bytes += caller.read(&mut buffer).await.unwrap();
        }
        assert_eq!(timed_out.load(Ordering::Relaxed), CALLERS, "the caller that reads did not time out");
    };
    run_until(&tasks, NonZeroUsize::MIN, body);
}
