//! RPC between routers: `capnp-rpc` over connections that are encrypted and authenticated with the
//! fleet's shared key.
//!
//! The objects of `capnp-rpc` are not [`Send`], so all code of this crate runs on one
//! [`smol::LocalExecutor`].

mod acceptor;
mod client;
mod codec;
mod connector;
mod convert;
mod fleet;
mod pool;
mod secure;
mod server;
mod service;
mod stream;
mod traffic;

#[expect(warnings, clippy::all, clippy::pedantic, missing_docs, reason = "generated code is taken as it is")]
mod peer_capnp;

#[expect(warnings, clippy::all, clippy::pedantic, missing_docs, reason = "generated code is taken as it is")]
mod fleet_capnp;

/// The maximum size of a document that is fetched from a peer, in bytes.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// The maximum number of entries of an upstream list that is fetched from a peer.
const MAX_LIST_ENTRIES: usize = 1 << 16;

pub use acceptor::StreamHandler;
pub use client::{CallError, PeerClient};
pub use codec::{DecodeError, FrameCodec};
pub use fleet::{
    CachedPartsPage, FleetClient, FleetService, HeldVersion, ObservedCachedPart, ObservedCrash,
    ObservedCrashHistory, ObservedFailureEvidence, ObservedFailureReport, ObservedInFlightSends,
    ObservedLoad, ObservedPartCrash, ObservedPartHistory, ObservedPartition, ObservedSoftware,
    ObservedStream, PeerMessage, PermitAnswer, PermitGuard, RemotePermit, StreamAnswer, serve_fleet,
    serve_fleet_and_streams,
};
pub use pool::{PeerConnection, PeerPool, PeerPoolTimeouts};
pub use secure::{ConnectError, PeerKey};
pub use server::serve;
pub use service::{ClaimRequest, ClaimResponse, ConfigResponse, PeerService, PermitResponse, Traced};
pub use stream::PeerStream;
pub use traffic::TrafficCounters;
