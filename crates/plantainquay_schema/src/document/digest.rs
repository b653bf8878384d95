//! Digests used to compare documents.

use std::fmt;

use prost::Message;
use sha2::Digest as _;
use sha2::Sha256;

use crate::{Document, wire};

/// SHA-256 of a document, or of its voted part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Digest of a document's wire form.
    pub(super) fn of(document: &wire::document::Document) -> Self {
        Self(Sha256::digest(document.encode_to_vec()).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl Document {
    /// Digest of the whole document.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Digest of the voted content, which excludes environment, generation and facts.
    #[must_use]
    pub fn voted_digest(&self) -> Digest {
        let mut voted = self.to_wire().clone();
        voted.environment = String::new();
        voted.generation = 0;
        voted.facts = None;
        Digest::of(&voted)
    }
}
