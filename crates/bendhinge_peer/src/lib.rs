//! What routers say to each other: `capnp-rpc` over connections that only holders of the
//! fleet's shared key can open.
//!
//! The objects of `capnp-rpc` stay on one thread: everything here runs on one
//! [`smol::LocalExecutor`].

mod answering;
mod calling;
mod client;
mod convert;
mod duties;
mod fleet;
mod pool;
mod secure;
mod server;
mod squeeze;
mod traffic;

#[expect(warnings, clippy::all, clippy::pedantic, missing_docs, reason = "generated code is taken as it is")]
mod peer_capnp;

#[expect(warnings, clippy::all, clippy::pedantic, missing_docs, reason = "generated code is taken as it is")]
mod fleet_capnp;

pub use client::{CallError, PeerClient};
pub use duties::{ClaimRequest, ConfigAnswer, OnceAnswer, PeerDuties, PermitAnswer, Told};
pub use fleet::{
    FleetClient, FleetDuties, Known, ObservedCrash, ObservedDoubt, ObservedFailure, ObservedLoad,
    ObservedRead, ObservedSends, ObservedSuspicion, PeerMessage, ReadsPage, serve_fleet,
};
pub use pool::{PeerConnection, PeerPool, PeerPoolLimits};
pub use secure::{PeerKey, SecureError};
pub use server::serve;
pub use squeeze::{Squeeze, UnpackError};
pub use traffic::Traffic;
