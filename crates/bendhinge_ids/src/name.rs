//! Types for names.
//!
//! Names of boxes, upstreams and priority classes have a syntax that is valid without escaping in paths, headers and
//! section titles. Operators choose the other names freely; whatever writes one into a header, a path or a document
//! encodes it there.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of an identifier, in bytes.
const MAX_IDENTIFIER_BYTES: usize = 64;
/// Maximum length of a free name, in bytes. Names are part of headers, messages and metric labels.
const MAX_FREE_NAME_BYTES: usize = 1024;

/// Error for a string that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The string is not an identifier.
    #[error("'{0}' is not a name: use 1 to {MAX_IDENTIFIER_BYTES} of a-z, A-Z, 0-9, '.', '_' and '-'")]
    NotAnIdentifier(String),
    /// The string is empty.
    #[error("a name is empty")]
    Empty,
    /// The string is too long.
    #[error("a name has {0} bytes, more than {MAX_FREE_NAME_BYTES}")]
    TooLong(usize),
}

fn parse_identifier(text: &str) -> Result<Arc<str>, NameError> {
    let has_valid_length = !text.is_empty() && text.len() <= MAX_IDENTIFIER_BYTES;
    let has_valid_characters =
        text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"._-".contains(&byte));
    if has_valid_length && has_valid_characters {
        Ok(Arc::from(text))
    } else {
        Err(NameError::NotAnIdentifier(text.to_owned()))
    }
}

fn parse_free_name(text: &str) -> Result<Arc<str>, NameError> {
    match text.len() {
        0 => Err(NameError::Empty),
        1..=MAX_FREE_NAME_BYTES => Ok(Arc::from(text)),
        length => Err(NameError::TooLong(length)),
    }
}

macro_rules! name_types {
    ($parse:ident: $($(#[$doc:meta])* $name:ident;)+) => {$(
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
                $parse(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                $parse(&text).map(Self)
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
    parse_identifier:
    /// Name of a box, which runs one router.
    BoxName;
    /// Name of an upstream: a model engine's runner or an instance of a plain service.
    UpstreamName;
    /// Name of a priority class.
    ClassName;
}

name_types! {
    parse_free_name:
    /// Name of a data centre, the unit that operators drain.
    DataCentreName;
    /// Name of a region, a group of nearby data centres.
    RegionName;
    /// Name of a customer, who authenticates with a bearer key.
    CustomerName;
    /// Name of a pool of interchangeable upstreams.
    PoolName;
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
