//! Names, keys, numbers and instants that several duties share, each a type of its own.

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
    ConfigRevision, Digest, DigestError, EventSequence, Incarnation, PermitId, RequestDigest, RequestHint,
    RouterLife, share_of,
};
pub use time::Instant;
