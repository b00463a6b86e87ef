//! An upstream that handles each request differently and never runs a request that it rejects.
//!
//! It reads and writes its connections itself, so that rejections can come before the body is read, twice, in pieces,
//! or late in the place of the next response.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_gateway::native::headers::{DEADLINE, PROMPT, RAN, REQUEST, SIGNATURE};
use bendhinge_http::Tasks;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rustix::net::sockopt::set_socket_linger;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::upstream::Upstream;

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Treatment {
    Run,
    /// Run, and answered a second time in the place of the next response.
    RunAndRepeat,
    RunInPieces,
    /// Run, and the connection is closed without a response.
    RunAndClose,
    RunAndReset,
    /// Run, and answered only after its time is over.
    RunSilently,
    /// Run, and answered with a status that says nothing of that.
    RunAndFail(&'static str),
    Reject,
    RejectBeforeBody,
    RejectAndRepeat,
    RejectInPieces,
    RejectAndClose,
    /// Rejected when its time is nearly over.
    RejectLate,
    Misdirect,
    /// The connection is closed before the body is read.
    CloseUnread,
    ResetUnread,
}

impl Treatment {
    const ALL: [Self; 19] = [
        Self::Run,
        Self::RunAndRepeat,
        Self::RunInPieces,
        Self::RunAndClose,
        Self::RunAndReset,
        Self::RunSilently,
        Self::RunAndFail("500 Internal Server Error"),
        Self::RunAndFail("504 Gateway Timeout"),
        Self::RunAndFail("503 Service Unavailable"),
        Self::RunAndFail("429 Too Many Requests"),
        Self::Reject,
        Self::RejectBeforeBody,
        Self::RejectAndRepeat,
        Self::RejectInPieces,
        Self::RejectAndClose,
        Self::RejectLate,
        Self::Misdirect,
        Self::CloseUnread,
        Self::ResetUnread,
    ];

    const fn runs(self) -> bool {
        matches!(
            self,
            Self::Run
                | Self::RunAndRepeat
                | Self::RunInPieces
                | Self::RunAndClose
                | Self::RunAndReset
                | Self::RunSilently
                | Self::RunAndFail(_)
        )
    }

    const fn repeats(self) -> bool {
        matches!(self, Self::RunAndRepeat | Self::RejectAndRepeat)
    }

    const fn is_in_pieces(self) -> bool {
        matches!(self, Self::RunInPieces | Self::RejectInPieces)
    }

    const fn closes(self) -> bool {
        matches!(self, Self::RunAndClose | Self::RejectAndClose)
    }
}

/// An upstream that treats each request differently; cheap to clone.
#[derive(Clone)]
pub struct VariedUpstream {
    /// Where it is reached.
    pub address: SocketAddr,
    /// The share of requests that are run and answered, in percent; the others are treated in all ways alike.
    sound_percent: u64,
    seed: u64,
    runs: Arc<Mutex<Vec<String>>>,
}

/// The head of a request.
struct Head {
    id: String,
    body_bytes: usize,
    deadline: Duration,
    is_stream: bool,
}

impl VariedUpstream {
    /// Starts one on a free port. Its treatment of a request depends on the request's ID and `seed`.
    pub async fn start(tasks: &Tasks, sound_percent: u64, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let upstream = Self { address, sound_percent, seed, runs: Arc::default() };
        let (serving, spawning) = (upstream.clone(), Arc::clone(tasks));
        let accepting = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let upstream = serving.clone();
                let connection = async move {
                    // The gateway has closed the connection, or the treatment has.
                    let _ = upstream.serve(stream).await;
                };
                spawning.spawn(connection).detach();
            }
        };
        tasks.spawn(accepting).detach();
        Ok(upstream)
    }

    /// The IDs of the requests that it began to run.
    #[must_use]
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }

    fn treatment(&self, id: &str) -> Treatment {
        let hash = xxh3_64_with_seed(id.as_bytes(), self.seed);
        if hash % 100 < self.sound_percent {
            return Treatment::Run;
        }
        let index = usize::try_from(hash / 100 % Treatment::ALL.len() as u64).unwrap_or_default();
        Treatment::ALL[index]
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        const WORK: Duration = Duration::from_millis(3);
        let mut repeated: Option<String> = None;
        loop {
            let head = read_head(&mut stream).await?;
            let treatment = self.treatment(&head.id);
            match treatment {
                Treatment::CloseUnread => return Ok(()),
                Treatment::ResetUnread => return reset(&stream),
                Treatment::RejectBeforeBody => {
                    stream.write_all(response(&head, treatment).as_bytes()).await?;
                    skip_body(&mut stream, head.body_bytes).await?;
                    continue;
                }
                _ => {}
            }
            skip_body(&mut stream, head.body_bytes).await?;
            if treatment.runs() {
                self.runs.lock().unwrap().push(head.id.clone());
            }
            match treatment {
                Treatment::RunAndClose => {
                    Timer::after(WORK).await;
                    return Ok(());
                }
                Treatment::RunAndReset => {
                    Timer::after(WORK).await;
                    return reset(&stream);
                }
                Treatment::RunSilently => wait_open(&mut stream, head.deadline * 2).await,
                Treatment::RejectLate => wait_open(&mut stream, head.deadline.mul_f64(0.95)).await,
                _ => {
                    Timer::after(WORK).await;
                }
            }
            if let Some(repeated) = repeated.take() {
                stream.write_all(repeated.as_bytes()).await?;
            }
            let response = response(&head, treatment);
            if treatment.is_in_pieces() {
                write_in_pieces(&mut stream, &response).await?;
            } else {
                stream.write_all(response.as_bytes()).await?;
            }
            if treatment.closes() {
                return Ok(());
            }
            repeated = treatment.repeats().then_some(response);
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> io::Result<Head> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let field = |name: &str| {
        let mut fields = head.lines().filter_map(|line| line.split_once(':'));
        fields.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned())
    };
    let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or_default();
    Ok(Head {
        id: field(REQUEST.as_str()).unwrap_or_default(),
        body_bytes: usize::try_from(number("content-length")).unwrap_or_default(),
        deadline: Duration::from_millis(number(DEADLINE.as_str())),
        is_stream: field(PROMPT.as_str()).is_some(),
    })
}

async fn skip_body(stream: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let mut body = vec![0; bytes];
    stream.read_exact(&mut body).await
}

/// Waits for `time`, or until the gateway closes the connection.
async fn wait_open(stream: &mut TcpStream, time: Duration) {
    let closed = async {
        // Nothing is sent while a response is awaited.
        let _ = stream.read(&mut [0]).await;
    };
    let waiting = async {
        Timer::after(time).await;
    };
    closed.or(waiting).await;
}

async fn write_in_pieces(stream: &mut TcpStream, response: &str) -> io::Result<()> {
    const PIECE: usize = 23;
    const PAUSE: Duration = Duration::from_millis(1);
    for piece in response.as_bytes().chunks(PIECE) {
        stream.write_all(piece).await?;
        Timer::after(PAUSE).await;
    }
    Ok(())
}

fn reset(stream: &TcpStream) -> io::Result<()> {
    set_socket_linger(stream, Some(Duration::ZERO))?;
    Ok(())
}

fn reported_as_not_run() -> String {
    format!("{RAN}: no\r\n")
}

fn response(head: &Head, treatment: Treatment) -> String {
    /// Events in a stream.
    const EVENTS: u32 = 12;
    let id = &head.id;
    let (status, body) = match treatment {
        Treatment::Misdirect => ("421 Misdirected Request", String::new()),
        Treatment::RunAndFail(status) => (status, "failed".to_owned()),
        _ if !treatment.runs() => ("503 Service Unavailable", "full".to_owned()),
        _ if head.is_stream => {
            ("200 OK", (0..EVENTS).map(|event| Upstream::expected_event(id, event)).collect())
        }
        _ => ("200 OK", Upstream::expected_body(id)),
    };
    let mut text = format!(
        "HTTP/1.1 {status}\r\n{REQUEST}: {id}\r\n{SIGNATURE}: signed-{id}\r\ncontent-length: {}\r\n",
        body.len()
    );
    if !treatment.runs() && treatment != Treatment::Misdirect {
        text.push_str(&reported_as_not_run());
    }
    if head.is_stream && status == "200 OK" {
        text += "content-type: text/event-stream\r\n";
    }
    text + "\r\n" + &body
}
