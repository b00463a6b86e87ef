//! Upstreams that send much and do not end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bendhinge_http::Tasks;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

/// The head of a stream; `{id}` stands for the ID of the request.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-bendhinge-request: {id}\r\nx-bendhinge-signature: s\r\n\
                               content-type: text/event-stream\r\n\r\n";

/// What an upstream sends in response to each request. It then keeps the connection open and is silent.
#[derive(Clone)]
pub struct Flood {
    /// What it sends first, by the ID of the request.
    pub first: Arc<dyn Fn(&str) -> String + Send + Sync>,
    /// What it sends then, again and again.
    pub repeated: &'static str,
    /// The number of bytes of the repetitions.
    pub bytes: usize,
    /// The pause after each repetition; without one, they are sent in large pieces.
    pub pause: Option<Duration>,
}

/// An upstream that sends a [`Flood`].
pub struct FloodingUpstream {
    pub address: SocketAddr,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    requests: AtomicUsize,
    open: AtomicUsize,
}

impl FloodingUpstream {
    pub async fn start(tasks: &Tasks, flood: Flood) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let counts = Arc::new(Counts::default());
        let (counted, spawning) = (Arc::clone(&counts), Arc::clone(tasks));
        let accepting = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (counts, flood) = (Arc::clone(&counted), flood.clone());
                let serving = async move {
                    counts.open.fetch_add(1, Ordering::Relaxed);
                    // The gateway closes the connection.
                    let _ = serve(stream, &flood, &counts).await;
                    counts.open.fetch_sub(1, Ordering::Relaxed);
                };
                spawning.spawn(serving).detach();
            }
        };
        tasks.spawn(accepting).detach();
        Self { address, counts }
    }

    /// The number of requests that it has received.
    pub fn requests(&self) -> usize {
        self.counts.requests.load(Ordering::Relaxed)
    }

    /// The number of its open connections.
    pub fn open(&self) -> usize {
        self.counts.open.load(Ordering::Relaxed)
    }
}

async fn serve(mut stream: TcpStream, flood: &Flood, counts: &Counts) -> std::io::Result<()> {
    let piece_bytes = if flood.pause.is_some() { 1 } else { 64 << 10 };
    let mut request = [0; 4096];
    let length = stream.read(&mut request).await?;
    let request = String::from_utf8_lossy(&request[..length]).into_owned();
    let Some((_, id)) = request.split_once("x-bendhinge-request: ") else { return Ok(()) };
    counts.requests.fetch_add(1, Ordering::Relaxed);
    let first = (flood.first)(id.lines().next().unwrap_or_default());
    stream.write_all(first.as_bytes()).await?;
    let piece = flood.repeated.repeat((piece_bytes / flood.repeated.len()).max(1));
    for _ in 0..flood.bytes / piece.len() {
        stream.write_all(piece.as_bytes()).await?;
        if let Some(pause) = flood.pause {
            Timer::after(pause).await;
        }
    }
    stream.read(&mut [0]).await?;
    Ok(())
}
