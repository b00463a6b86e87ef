//! Connections that show on both sides that they belong: the Noise pattern `NNpsk0` of the
//! library `snow`, with the fleet's shared key.
//!
//! Each connection has fresh keys and counts its messages, so that a message from elsewhere,
//! altered, or replayed ends the connection that it came on, and no other.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use sha2::Digest as _;
use smol::LocalExecutor;
use smol::net::TcpStream;
use snow::{Builder, HandshakeState, TransportState};

use crate::traffic::OpenConnection;
use crate::{Squeeze, Traffic};

const PATTERN: &str = "Noise_NNpsk0_25519_ChaChaPoly_BLAKE2s";
/// Plain bytes in a frame, and between it and the messages' reader and writer. A router of a
/// large fleet has hundreds of connections, and most messages are a few hundred bytes.
const LARGEST_PIECE: usize = 4 << 10;
/// The length that stands before each frame, big-endian.
const LENGTH_BYTES: usize = 2;
const TAG_BYTES: usize = 16;
const FORM_BYTES: usize = 1;

/// The key that all routers of a fleet share.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

impl PeerKey {
    /// A key from the text in the settings.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(sha2::Sha256::digest(text.as_bytes()).into())
    }

    /// A key for another `purpose`, the same at all routers of the fleet. It tells nothing of this one.
    #[must_use]
    pub fn derived(&self, purpose: &str) -> [u8; 32] {
        sha2::Sha256::new_with_prefix(self.0).chain_update(purpose.as_bytes()).finalize().into()
    }
}

/// Why a connection could not be secured.
#[derive(Debug, thiserror::Error)]
pub enum SecureError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The other side does not hold the key, or a message was altered or replayed.
    #[error("the other side does not belong to the fleet: {0}")]
    Foreign(#[from] snow::Error),
}

/// Which side of a connection this process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionSide {
    Opened,
    Accepted,
}

/// The plain ends of a secured connection.
pub(crate) struct SecureEnds {
    pub(crate) reader: piper::Reader,
    pub(crate) writer: piper::Writer,
}

/// Secures `stream` and keeps it going on `executor` until either end is dropped.
pub(crate) async fn secure(
    mut stream: TcpStream,
    key: &PeerKey,
    side: ConnectionSide,
    traffic: &Arc<Traffic>,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<SecureEnds, SecureError> {
    stream.set_nodelay(true)?;
    let transport = shake_hands(&mut stream, key, side, traffic).await?;
    let transport = Rc::new(RefCell::new(transport));
    let (reader, to_reader) = piper::pipe(LARGEST_PIECE);
    let (from_writer, writer) = piper::pipe(LARGEST_PIECE);
    let incoming = receive_frames(stream.clone(), Rc::clone(&transport), to_reader, Arc::clone(traffic));
    let outgoing = send_frames(stream, transport, from_writer, Arc::clone(traffic));
    let open = OpenConnection::counted_in(traffic);
    let incoming = async move {
        incoming.await;
        drop(open);
    };
    executor.spawn(incoming).detach();
    executor.spawn(outgoing).detach();
    Ok(SecureEnds { reader, writer })
}

async fn shake_hands(
    stream: &mut TcpStream,
    key: &PeerKey,
    side: ConnectionSide,
    traffic: &Traffic,
) -> Result<TransportState, SecureError> {
    let builder = Builder::new(PATTERN.parse()?).psk(0, &key.0)?;
    let mut state = match side {
        ConnectionSide::Opened => builder.build_initiator()?,
        ConnectionSide::Accepted => builder.build_responder()?,
    };
    match side {
        ConnectionSide::Opened => {
            send_handshake(stream, &mut state, traffic).await?;
            receive_handshake(stream, &mut state, traffic).await?;
        }
        ConnectionSide::Accepted => {
            receive_handshake(stream, &mut state, traffic).await?;
            send_handshake(stream, &mut state, traffic).await?;
        }
    }
    Ok(state.into_transport_mode()?)
}

async fn send_handshake(
    stream: &mut TcpStream,
    state: &mut HandshakeState,
    traffic: &Traffic,
) -> Result<(), SecureError> {
    let mut frame = [0; 128];
    let length = state.write_message(&[], &mut frame)?;
    write_frame(stream, &frame[..length], traffic).await?;
    Ok(())
}

async fn receive_handshake(
    stream: &mut TcpStream,
    state: &mut HandshakeState,
    traffic: &Traffic,
) -> Result<(), SecureError> {
    let frame = read_frame(stream, traffic).await?;
    let mut payload = vec![0; frame.len()];
    let read = state.read_message(&frame, &mut payload);
    read.inspect_err(|_| traffic.foreign())?;
    Ok(())
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8], traffic: &Traffic) -> std::io::Result<()> {
    let length = u16::try_from(frame.len()).map_err(std::io::Error::other)?;
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + frame.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(frame);
    stream.write_all(&bytes).await?;
    traffic.sent(bytes.len());
    Ok(())
}

async fn read_frame(stream: &mut TcpStream, traffic: &Traffic) -> std::io::Result<Vec<u8>> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    let mut frame = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut frame).await?;
    traffic.received(LENGTH_BYTES + frame.len());
    Ok(frame)
}

/// Passes frames on until the connection ends or one of them is not genuine.
async fn receive_frames(
    mut stream: TcpStream,
    transport: Rc<RefCell<TransportState>>,
    mut plain: piper::Writer,
    traffic: Arc<Traffic>,
) {
    let mut squeeze = Squeeze::default();
    while let Ok(frame) = read_frame(&mut stream, &traffic).await {
        let mut packed = vec![0; frame.len()];
        let read = transport.borrow_mut().read_message(&frame, &mut packed);
        let piece = read.ok().and_then(|length| squeeze.unpack(&packed[..length], LARGEST_PIECE).ok());
        let Some(piece) = piece else {
            traffic.foreign();
            break;
        };
        if plain.write_all(&piece).await.is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

async fn send_frames(
    mut stream: TcpStream,
    transport: Rc<RefCell<TransportState>>,
    mut plain: piper::Reader,
    traffic: Arc<Traffic>,
) {
    let mut piece = vec![0; LARGEST_PIECE];
    let mut frame = vec![0; LARGEST_PIECE + FORM_BYTES + TAG_BYTES];
    let mut squeeze = Squeeze::default();
    while let Ok(length) = plain.read(&mut piece).await {
        if length == 0 {
            break;
        }
        let packed = squeeze.pack(&piece[..length]);
        let written = transport.borrow_mut().write_message(&packed, &mut frame);
        let Ok(length) = written else { break };
        if write_frame(&mut stream, &frame[..length], &traffic).await.is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
