//! Document seals: an HMAC over the rest of the document proves that it was confirmed.

use bendhinge_ini::{Document, Faults};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::SCHEMA;

/// HMAC key used by `confirm` to seal documents and by routers to verify them.
#[derive(Clone)]
pub struct SealKey(Vec<u8>);

/// Reason for rejecting a document.
#[derive(Debug, thiserror::Error)]
pub enum SealError {
    /// The document is invalid.
    #[error(transparent)]
    Faults(#[from] Faults),
    /// The seal is missing or does not match the document.
    #[error(
        "the seal of the document is missing or invalid; publish the output of `bendhinge confirm` unchanged"
    )]
    Invalid,
}

impl SealKey {
    /// Creates a key from its text in the settings.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }

    fn mac(&self, unsealed: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(unsealed.as_bytes());
        mac
    }

    /// Returns the canonical text of `document` including its seal.
    #[must_use]
    pub fn seal(&self, mut document: Document) -> String {
        document.set(&SCHEMA, "fleet", "seal", "");
        let unsealed = document.canonical(&SCHEMA);
        let seal = hex::encode(self.mac(&unsealed).finalize().into_bytes());
        document.set(&SCHEMA, "fleet", "seal", &seal);
        document.canonical(&SCHEMA)
    }

    /// Parses a document and verifies its seal; `file` is named in faults.
    pub fn open(&self, file: &str, text: &str) -> Result<crate::Configuration, SealError> {
        let configuration = crate::parse(file, text)?;
        let mut unsealed = Document::parse(file, text, &SCHEMA);
        let seal = unsealed.section("fleet").and_then(|fleet| fleet.text("seal")).unwrap_or_default();
        let seal = hex::decode(seal).map_err(|_| SealError::Invalid)?;
        unsealed.set(&SCHEMA, "fleet", "seal", "");
        let unsealed = unsealed.canonical(&SCHEMA);
        self.mac(&unsealed).verify_slice(&seal).map_err(|_| SealError::Invalid)?;
        Ok(configuration)
    }
}
