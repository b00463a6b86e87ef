//! Encrypted, mutually authenticated connections: the Noise pattern `NNpsk0` with the fleet's shared
//! key.
//!
//! Each connection has its own session keys and message counters, so a forged, altered or replayed
//! message closes only the connection on which it arrives.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use sha2::Digest as _;
use smol::LocalExecutor;
use smol::net::TcpStream;
use snow::{Builder, HandshakeState, TransportState};

use crate::traffic::OpenConnectionGuard;
use crate::{FrameCodec, TrafficCounters};

const NOISE_PATTERN: &str = "Noise_NNpsk0_25519_ChaChaPoly_BLAKE2s";
/// The maximum size of a frame's plaintext, and the size of the plaintext buffers. It is small since a
/// router of a large fleet has hundreds of connections and most messages are short.
const MAX_CHUNK_BYTES: usize = 4 << 10;
/// The size of the big-endian length that precedes each frame.
const LENGTH_BYTES: usize = 2;
const TAG_BYTES: usize = 16;
const ENCODING_BYTES: usize = 1;
/// The maximum size of a frame.
const MAX_FRAME_BYTES: usize = MAX_CHUNK_BYTES + ENCODING_BYTES + TAG_BYTES;
/// The maximum size of a handshake message. Those who send one are not authenticated yet.
const MAX_HANDSHAKE_BYTES: usize = 128;

/// The pre-shared key of a fleet.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

impl PeerKey {
    /// Derives the key from the text in the settings.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(sha2::Sha256::digest(text.as_bytes()).into())
    }

    /// Derives a key for another `purpose`, equal on all routers of the fleet. It does not reveal the
    /// pre-shared key.
    #[must_use]
    pub fn derive(&self, purpose: &str) -> [u8; 32] {
        sha2::Sha256::new_with_prefix(self.0).chain_update(purpose.as_bytes()).finalize().into()
    }
}

/// The reason why a connection could not be established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// An I/O error.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The peer does not hold the fleet's key, or a message was altered or replayed.
    #[error("peer failed authentication with the fleet key: {0}")]
    Authentication(#[from] snow::Error),
    /// The peer does not accept connections of this protocol.
    #[error("peer does not accept the protocol")]
    Unsupported,
}

/// The protocol spoken on a connection. The initiator names it in the payload of its handshake message, and the
/// responder repeats the name if it accepts the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Protocol {
    /// RPC.
    Rpc,
    /// HTTP, for forwarded requests.
    Http,
}

impl Protocol {
    /// The payload that names the protocol. It is empty for RPC, as it always was.
    const fn payload(self) -> &'static [u8] {
        match self {
            Self::Rpc => b"",
            Self::Http => b"http",
        }
    }

    fn from_payload(payload: &[u8]) -> Self {
        if payload == Self::Http.payload() { Self::Http } else { Self::Rpc }
    }
}

/// The role of this process in the handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionRole {
    /// Opens a connection for a protocol.
    Initiator(Protocol),
    /// Accepts a connection.
    Responder { accepts_http: bool },
}

/// The plaintext side of an encrypted connection.
pub(crate) struct SecureStream {
    pub(crate) reader: piper::Reader,
    pub(crate) writer: piper::Writer,
    pub(crate) protocol: Protocol,
}

/// Performs the handshake on `stream`, then encrypts and decrypts on `executor` until either end is
/// dropped.
pub(crate) async fn secure(
    mut stream: TcpStream,
    key: &PeerKey,
    role: ConnectionRole,
    traffic: &Arc<TrafficCounters>,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<SecureStream, ConnectError> {
    stream.set_nodelay(true)?;
    let (transport, protocol) = perform_handshake(&mut stream, key, role, traffic).await?;
    let transport = Rc::new(RefCell::new(transport));
    let (reader, plaintext_writer) = piper::pipe(MAX_CHUNK_BYTES);
    let (plaintext_reader, writer) = piper::pipe(MAX_CHUNK_BYTES);
    let incoming =
        receive_frames(stream.clone(), Rc::clone(&transport), plaintext_writer, Arc::clone(traffic));
    let outgoing = send_frames(stream, transport, plaintext_reader, Arc::clone(traffic));
    let open_guard = OpenConnectionGuard::new(traffic);
    let incoming = async move {
        incoming.await;
        drop(open_guard);
    };
    executor.spawn(incoming).detach();
    executor.spawn(outgoing).detach();
    Ok(SecureStream { reader, writer, protocol })
}

async fn perform_handshake(
    stream: &mut TcpStream,
    key: &PeerKey,
    role: ConnectionRole,
    traffic: &TrafficCounters,
) -> Result<(TransportState, Protocol), ConnectError> {
    let builder = Builder::new(NOISE_PATTERN.parse()?).psk(0, &key.0)?;
    let mut state = match role {
        ConnectionRole::Initiator(_) => builder.build_initiator()?,
        ConnectionRole::Responder { .. } => builder.build_responder()?,
    };
    let protocol = match role {
        ConnectionRole::Initiator(protocol) => {
            send_handshake(stream, &mut state, protocol, traffic).await?;
            let accepted = receive_handshake(stream, &mut state, traffic).await?;
            if accepted != protocol {
                return Err(ConnectError::Unsupported);
            }
            protocol
        }
        ConnectionRole::Responder { accepts_http } => {
            let requested = receive_handshake(stream, &mut state, traffic).await?;
            let protocol = if accepts_http { requested } else { Protocol::Rpc };
            send_handshake(stream, &mut state, protocol, traffic).await?;
            protocol
        }
    };
    Ok((state.into_transport_mode()?, protocol))
}

async fn send_handshake(
    stream: &mut TcpStream,
    state: &mut HandshakeState,
    protocol: Protocol,
    traffic: &TrafficCounters,
) -> Result<(), ConnectError> {
    let mut frame = [0; MAX_HANDSHAKE_BYTES];
    let length = state.write_message(protocol.payload(), &mut frame)?;
    write_frame(stream, &frame[..length], traffic).await?;
    Ok(())
}

async fn receive_handshake(
    stream: &mut TcpStream,
    state: &mut HandshakeState,
    traffic: &TrafficCounters,
) -> Result<Protocol, ConnectError> {
    let frame = read_frame(stream, MAX_HANDSHAKE_BYTES, traffic).await?;
    let mut payload = vec![0; frame.len()];
    let result = state.read_message(&frame, &mut payload);
    let length = result.inspect_err(|_| traffic.record_rejected())?;
    Ok(Protocol::from_payload(&payload[..length]))
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8], traffic: &TrafficCounters) -> std::io::Result<()> {
    let length = u16::try_from(frame.len()).map_err(std::io::Error::other)?;
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + frame.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(frame);
    stream.write_all(&bytes).await?;
    traffic.record_sent(bytes.len());
    Ok(())
}

async fn read_frame(
    stream: &mut TcpStream,
    max_bytes: usize,
    traffic: &TrafficCounters,
) -> std::io::Result<Vec<u8>> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    let length = usize::from(u16::from_be_bytes(length));
    if length > max_bytes {
        traffic.record_rejected();
        let message = format!("frame of {length} bytes exceeds {max_bytes} bytes");
        return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, message));
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    traffic.record_received(LENGTH_BYTES + frame.len());
    Ok(frame)
}

/// Decrypts frames into `plaintext` until the connection ends or a frame is invalid.
async fn receive_frames(
    mut stream: TcpStream,
    transport: Rc<RefCell<TransportState>>,
    mut plaintext: piper::Writer,
    traffic: Arc<TrafficCounters>,
) {
    let mut codec = FrameCodec::default();
    while let Ok(frame) = read_frame(&mut stream, MAX_FRAME_BYTES, &traffic).await {
        let mut encoded = vec![0; frame.len()];
        let decrypted = transport.borrow_mut().read_message(&frame, &mut encoded);
        let chunk = decrypted.ok().and_then(|length| codec.decode(&encoded[..length], MAX_CHUNK_BYTES).ok());
        let Some(chunk) = chunk else {
            traffic.record_rejected();
            break;
        };
        if plaintext.write_all(&chunk).await.is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Encrypts the data read from `plaintext` into frames until either side is closed.
async fn send_frames(
    mut stream: TcpStream,
    transport: Rc<RefCell<TransportState>>,
    mut plaintext: piper::Reader,
    traffic: Arc<TrafficCounters>,
) {
    let mut chunk = vec![0; MAX_CHUNK_BYTES];
    let mut frame = vec![0; MAX_FRAME_BYTES];
    let mut codec = FrameCodec::default();
    while let Ok(length) = plaintext.read(&mut chunk).await {
        if length == 0 {
            break;
        }
        let encoded = codec.encode(&chunk[..length]);
        let encrypted = transport.borrow_mut().write_message(&encoded, &mut frame);
        let Ok(length) = encrypted else { break };
        if write_frame(&mut stream, &frame[..length], &traffic).await.is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
