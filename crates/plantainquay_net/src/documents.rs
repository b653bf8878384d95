//! The document in force and the reaction to its changes.

use std::fmt;
use std::sync::Arc;

use log::Level;
use parking_lot::Mutex;
use plantainquay_core::{DocumentState, OfferOutcome, Timestamp};
use plantainquay_schema::{Document, Generation, InForce};
use tokio::sync::watch;

use crate::{Clock, event};

/// Called when a document comes into force.
type InstallDocument = Box<dyn Fn(Timestamp, &Arc<Document>) + Send + Sync>;

/// The document in force, with the callback that installs a new one.
pub struct DocumentStore {
    documents: Mutex<DocumentState>,
    install: InstallDocument,
    clock: Clock,
    changed: watch::Sender<Generation>,
}

impl DocumentStore {
    /// Creates an empty store; `install` is called under the store's lock, one call at a time.
    pub fn new(
        clock: Clock,
        install: impl Fn(Timestamp, &Arc<Document>) + Send + Sync + 'static,
    ) -> Self {
        Self {
            documents: Mutex::default(),
            install: Box::new(install),
            clock,
            changed: watch::Sender::new(Generation(0)),
        }
    }

    /// Offers a document from `source`, and puts it in force if it is newer.
    pub fn offer(&self, document: &Arc<Document>, source: &str) -> OfferOutcome {
        let mut documents = self.documents.lock();
        let offer = documents.offer(document);
        let applied = matches!(offer, OfferOutcome::Applied | OfferOutcome::ConflictApplied);
        if applied {
            (self.install)(self.clock.now(), document);
        }
        drop(documents);
        if applied {
            self.changed.send_replace(document.generation);
        }
        log_offer(offer, document, source);
        offer
    }

    /// Returns a receiver that is notified of each document that comes into force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Generation> {
        self.changed.subscribe()
    }

    /// Calls `f` with the documents while the lock is held.
    pub fn with_documents<R>(&self, f: impl FnOnce(&DocumentState) -> R) -> R {
        f(&self.documents.lock())
    }

    /// Returns the document in force.
    #[must_use]
    pub fn in_force(&self) -> Option<Arc<Document>> {
        self.with_documents(|documents| documents.in_force().cloned())
    }

    /// Returns the version summary that is sent to other processes.
    #[must_use]
    pub fn to_in_force(&self) -> InForce {
        self.with_documents(DocumentState::to_in_force)
    }
}

impl fmt::Debug for DocumentStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DocumentStore")
            .field("documents", &self.documents)
            .finish_non_exhaustive()
    }
}

fn log_offer(offer: OfferOutcome, document: &Document, source: &str) {
    let (level, name) = match offer {
        OfferOutcome::Applied => (Level::Info, "document_applied"),
        OfferOutcome::Same => (Level::Debug, "document_same"),
        OfferOutcome::Older => (Level::Warn, "document_older"),
        OfferOutcome::ConflictApplied => (Level::Error, "document_conflict_applied"),
        OfferOutcome::ConflictKept => (Level::Error, "document_conflict_kept"),
        OfferOutcome::OtherEnvironment => (Level::Error, "document_of_other_environment"),
    };
    let generation = document.generation;
    event(
        level,
        name,
        &[("generation", &generation), ("source", &source)],
    );
}
