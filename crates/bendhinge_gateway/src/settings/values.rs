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
