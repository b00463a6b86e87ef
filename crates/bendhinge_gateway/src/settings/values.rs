//! Values of settings that several sections share.

use std::str::FromStr;

use bendhinge_ids::{DataCentreName, RegionName};
use rustc_hash::FxHashMap;

/// A name as it is, or as a JSON string if it starts with a quotation mark.
pub(super) struct QuotedName<T>(pub(super) T);

/// A value that is no name.
#[derive(Debug, thiserror::Error)]
pub(super) enum InvalidName<E> {
    #[error("expected a JSON string: {0}")]
    Quoted(serde_json::Error),
    #[error(transparent)]
    Name(E),
}

impl<T: FromStr> FromStr for QuotedName<T> {
    type Err = InvalidName<T::Err>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !text.starts_with('"') {
            return text.parse().map(Self).map_err(InvalidName::Name);
        }
        let name: String = serde_json::from_str(text).map_err(InvalidName::Quoted)?;
        name.parse().map(Self).map_err(InvalidName::Name)
    }
}

/// The regions of data centres as a JSON object; empty means none.
#[derive(Default)]
pub(super) struct JsonRegions(pub(super) FxHashMap<DataCentreName, RegionName>);

impl FromStr for JsonRegions {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Ok(Self::default());
        }
        serde_json::from_str(text).map(Self)
    }
}

/// A comma-separated list of values.
pub(super) struct CommaSeparated<T>(pub(super) Vec<T>);

impl<T: FromStr> FromStr for CommaSeparated<T> {
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

/// The share of a box's memory that buffers may use.
pub(super) struct BufferShare(pub(super) f64);

/// A value that is no share.
#[derive(Debug, thiserror::Error)]
#[error("expected a number above 0 and at most 1")]
pub(super) struct InvalidShare;

impl FromStr for BufferShare {
    type Err = InvalidShare;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let share = text.parse().map_err(|_| InvalidShare)?;
        if share > 0.0 && share <= 1.0 { Ok(Self(share)) } else { Err(InvalidShare) }
    }
}

/// A switch: `yes` or `no`.
pub(super) struct YesNo(pub(super) bool);

/// A value that is neither `yes` nor `no`.
#[derive(Debug, thiserror::Error)]
#[error("expected yes or no")]
pub(super) struct InvalidYesNo;

impl FromStr for YesNo {
    type Err = InvalidYesNo;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "yes" => Ok(Self(true)),
            "no" => Ok(Self(false)),
            _ => Err(InvalidYesNo),
        }
    }
}
