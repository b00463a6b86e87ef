//! Newtypes for names, identifiers, hashes and timestamps that are shared between crates.

mod chat;
mod name;
mod number;
mod time;

pub use chat::{ChatKey, RequestId};
pub use name::{
    BoxName, ClassName, CustomerName, DataCentreName, ModelName, NameError, NameHash, PoolName, RegionName,
    UpstreamName,
};
pub use number::{
    ConfigRevision, Digest, DigestError, EventSequence, Incarnation, PartDigest, PermitId, RequestDigest,
    RequestHint, RouterInstance, hash_to_fraction,
};
pub use time::Instant;
