//! Identity of the document that a process has in force.

use crate::{Digest, Generation, Name, wire};

/// Identifies the document that a process has in force, as sent to other processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// Environment of the document; empty if there is no document.
    pub environment: Name,
    /// Generation of the document; zero if there is no document.
    pub generation: Generation,
    /// Digest of the whole document.
    pub digest: Digest,
}

impl From<&InForce> for wire::peer::InForce {
    fn from(in_force: &InForce) -> Self {
        Self {
            environment: in_force.environment.to_string(),
            generation: in_force.generation.0,
            digest: in_force.digest.0.to_vec(),
        }
    }
}

impl TryFrom<&wire::peer::InForce> for InForce {
    type Error = std::array::TryFromSliceError;

    fn try_from(in_force: &wire::peer::InForce) -> Result<Self, Self::Error> {
        Ok(Self {
            environment: in_force.environment.as_str().into(),
            generation: Generation(in_force.generation),
            digest: Digest(in_force.digest.as_slice().try_into()?),
        })
    }
}
