//! Selection of the document in force.

use std::sync::Arc;

use plantainquay_schema::{Digest, Document, Generation, InForce, Name};

/// The document in force, with the rule for replacing it.
#[derive(Debug, Default)]
pub struct DocumentState {
    environment: Option<Name>,
    in_force: Option<(Arc<Document>, Digest)>,
    conflicts: u64,
}

/// Outcome of offering a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document is now in force.
    Applied,
    /// The document was already in force.
    Same,
    /// A newer generation is in force; the document is ignored.
    Older,
    /// Two documents have the same generation; the offered one has the higher digest and is now in
    /// force.
    ConflictApplied,
    /// Two documents have the same generation; the one in force has the higher digest and stays.
    ConflictKept,
    /// The document belongs to another environment.
    OtherEnvironment,
}

impl DocumentState {
    /// Puts a document in force if it replaces the current one.
    ///
    /// Generations only increase. Of two documents with the same generation, every process keeps
    /// the one with the higher digest, so that all processes converge whatever the order of offers.
    pub fn offer(&mut self, document: &Arc<Document>) -> OfferOutcome {
        if self
            .environment
            .as_ref()
            .is_some_and(|own| *own != document.environment)
        {
            return OfferOutcome::OtherEnvironment;
        }
        let digest = document.digest();
        let outcome = self.evaluate(document.generation, digest);
        if matches!(
            outcome,
            OfferOutcome::ConflictApplied | OfferOutcome::ConflictKept
        ) {
            self.conflicts += 1;
        }
        if matches!(
            outcome,
            OfferOutcome::Applied | OfferOutcome::ConflictApplied
        ) {
            self.environment = Some(document.environment.clone());
            self.in_force = Some((Arc::clone(document), digest));
        }
        outcome
    }

    /// The document in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<Document>> {
        self.in_force.as_ref().map(|(document, _)| document)
    }

    /// Generation in force; zero without a document.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.in_force().map_or(Generation(0), |d| d.generation)
    }

    /// Digest of the document in force.
    #[must_use]
    pub fn digest(&self) -> Option<Digest> {
        self.in_force.as_ref().map(|(_, digest)| *digest)
    }

    /// Summary of the document in force for other processes.
    #[must_use]
    pub fn to_in_force(&self) -> InForce {
        let Some((document, digest)) = &self.in_force else {
            return InForce::default();
        };
        InForce {
            environment: document.environment.clone(),
            generation: document.generation,
            digest: *digest,
        }
    }

    /// Number of offers that conflicted with a document of the same generation.
    #[must_use]
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    fn evaluate(&self, generation: Generation, digest: Digest) -> OfferOutcome {
        let Some((current, current_digest)) = &self.in_force else {
            return OfferOutcome::Applied;
        };
        if generation != current.generation {
            let is_newer = generation > current.generation;
            return if is_newer {
                OfferOutcome::Applied
            } else {
                OfferOutcome::Older
            };
        }
        match digest.cmp(current_digest) {
            std::cmp::Ordering::Equal => OfferOutcome::Same,
            std::cmp::Ordering::Greater => OfferOutcome::ConflictApplied,
            std::cmp::Ordering::Less => OfferOutcome::ConflictKept,
        }
    }
}
