//! Names that operators choose. All have one form, so that they can stand in paths, headers,
//! section titles and metric labels as they are.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The longest name, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// Why a text is not a name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not a name: use 1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-'")]
pub struct NameError(pub String);

fn check(text: &str) -> Result<Arc<str>, NameError> {
    let fits = !text.is_empty() && text.len() <= NAME_MAX_BYTES;
    let plain = text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"._-".contains(&byte));
    if fits && plain { Ok(Arc::from(text)) } else { Err(NameError(text.to_owned())) }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check(&text).map(Self)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    )+};
}

names! {
    /// A box that runs one router.
    BoxName;
    /// A data centre: the unit in which operators drain.
    DataCentreName;
    /// A region: data centres near each other.
    RegionName;
    /// A customer: whoever holds a bearer key.
    CustomerName;
    /// An upstream: one model engine's runner or one instance of a plain service.
    UpstreamName;
    /// A pool of upstreams that can stand in for one another.
    PoolName;
    /// A priority class.
    ClassName;
    /// A model as callers name it.
    ModelName;
}

/// A name's hash, which is shorter to send than the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NameHash(pub u64);

impl NameHash {
    /// The hash of `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}
