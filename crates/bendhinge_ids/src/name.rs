//! Types for names chosen by operators. All share one syntax that is valid without escaping in paths, headers,
//! section titles and metric labels.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

const MAX_NAME_BYTES: usize = 64;

/// Error for a string that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not a name: use 1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-'")]
pub struct NameError(pub String);

fn parse_name(text: &str) -> Result<Arc<str>, NameError> {
    let has_valid_length = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    let has_valid_characters =
        text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"._-".contains(&byte));
    if has_valid_length && has_valid_characters {
        Ok(Arc::from(text))
    } else {
        Err(NameError(text.to_owned()))
    }
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                parse_name(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                parse_name(&text).map(Self)
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

name_types! {
    /// Name of a box, which runs one router.
    BoxName;
    /// Name of a data centre, the unit that operators drain.
    DataCentreName;
    /// Name of a region, a group of nearby data centres.
    RegionName;
    /// Name of a customer, who authenticates with a bearer key.
    CustomerName;
    /// Name of an upstream: a model engine's runner or an instance of a plain service.
    UpstreamName;
    /// Name of a pool of interchangeable upstreams.
    PoolName;
    /// Name of a priority class.
    ClassName;
    /// Name of a model, as used by callers.
    ModelName;
}

/// Hash of a name; a compact substitute for the name in messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NameHash(pub u64);

impl NameHash {
    /// Hashes `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}
