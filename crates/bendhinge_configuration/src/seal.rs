//! How a router knows that a document was confirmed: its seal, an HMAC over the rest of it.

use bendhinge_ini::{Document, Faults};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::SCHEMA;

/// The key with which `confirm` seals and routers check, from their settings.
#[derive(Clone)]
pub struct SealKey(Vec<u8>);

/// Why a document is not taken as confirmed.
#[derive(Debug, thiserror::Error)]
pub enum SealError {
    /// It has faults.
    #[error(transparent)]
    Faults(#[from] Faults),
    /// It has no valid seal.
    #[error("the document has no valid seal; publish what `bendhinge confirm` printed, unchanged")]
    Invalid,
}

impl SealKey {
    /// A key from the text in the settings.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }

    fn mac(&self, unsealed: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(unsealed.as_bytes());
        mac
    }

    /// The canonical text of `document` with its seal.
    #[must_use]
    pub fn seal(&self, mut document: Document) -> String {
        document.set(&SCHEMA, "fleet", "seal", "");
        let unsealed = document.canonical(&SCHEMA);
        let seal = hex::encode(self.mac(&unsealed).finalize().into_bytes());
        document.set(&SCHEMA, "fleet", "seal", &seal);
        document.canonical(&SCHEMA)
    }

    /// Reads a document that must have a valid seal.
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
