//! What an operator states.

use bendhinge_codes::ResultCode;
use bendhinge_ini::{Document, Faults};

use crate::SCHEMA;

/// One change that an operator states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Intent {
    /// Set a key of a section.
    Set {
        /// The section's title, as `class.readers`.
        title: String,
        /// The key.
        key: String,
        /// Its new value.
        value: String,
    },
    /// Remove a section.
    Remove {
        /// The section's title.
        title: String,
    },
}

/// Why an intent gives no plan.
#[derive(Debug, thiserror::Error)]
pub enum IntentError {
    /// The text has not the form of an intent.
    #[error("{code}: '{0}' is not an intent; write SECTION.KEY=VALUE, as class.readers.share=20", code = ResultCode::IntentInvalid)]
    Form(String),
    /// What is to be removed is not there.
    #[error("{code}: there is no section [{0}] to remove", code = ResultCode::IntentInvalid)]
    NothingToRemove(String),
    /// The section `fleet` is written by the tool alone.
    #[error("{code}: [fleet] is written by plan and confirm", code = ResultCode::IntentInvalid)]
    FleetSection,
    /// The configuration that would result has faults.
    #[error(transparent)]
    Faults(#[from] Faults),
}

impl Intent {
    /// Reads `SECTION.KEY=VALUE`.
    pub fn parse_set(text: &str) -> Result<Self, IntentError> {
        let form = || IntentError::Form(text.to_owned());
        let (place, value) = text.split_once('=').ok_or_else(form)?;
        let (title, key) = place.trim().rsplit_once('.').ok_or_else(form)?;
        Ok(Self::Set { title: title.to_owned(), key: key.to_owned(), value: value.trim().to_owned() })
    }

    pub(crate) fn apply(&self, document: &mut Document) -> Result<(), IntentError> {
        match self {
            Self::Set { title, .. } | Self::Remove { title } if title == "fleet" => {
                Err(IntentError::FleetSection)
            }
            Self::Set { title, key, value } => {
                document.set(&SCHEMA, title, key, value);
                Ok(())
            }
            Self::Remove { title } if document.remove(title) => Ok(()),
            Self::Remove { title } => Err(IntentError::NothingToRemove(title.clone())),
        }
    }
}
