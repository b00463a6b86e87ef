//! Values of settings that several sections share.

use std::str::FromStr;

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
