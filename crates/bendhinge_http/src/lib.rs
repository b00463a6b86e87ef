//! HTTP/1.1 over `smol`, based on hyper: a server, a pooled client that reports whether a failed
//! request was sent, and the worker threads for both.

mod abort_guard;
mod body;
mod client;
mod connection_buffers;
mod framing;
mod hop_by_hop;
mod limited_read;
mod pool;
mod serve;
mod signal;
mod workers;
mod write_timeout;

pub use body::{
    Body, BodyError, ReadBodyError, channel_body, empty_body, flush_before_error, full_body, read_body,
    read_body_reserved,
};
pub use client::{FetchError, FetchTimeouts, Fetched, fetch, fetch_bytes, fetch_json, fetch_path};
pub use connection_buffers::HeadBytes;
pub use framing::BodyFraming;
pub use hop_by_hop::remove_hop_by_hop_headers;
pub use pool::{ConnectError, Connection, Pool, SendFailure};
pub use serve::{CloseCallback, CloseConnection, ServeLimits, Server, StopHandle, serve_stream};
pub use signal::wait_for_termination;
pub use workers::{Tasks, run_until};
