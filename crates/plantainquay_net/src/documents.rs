//! Documents from the configuration service and from other processes.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::time::{Millis, sleep};
use parking_lot::Mutex;
use plantainquay_core::{Documents, Offer, Timestamp};
use plantainquay_schema::{Document, Generation, Platform};
use thiserror::Error;

use crate::{Clock, event};

/// Longest wait of one watch; the service answers earlier when something changes.
const WATCH_TIMEOUT: Millis = Millis(35_000);
const MAX_DOCUMENT_BYTES: usize = 1 << 20;
const FIRST_RETRY: Duration = Duration::from_millis(100);
const LAST_RETRY: Duration = Duration::from_secs(5);

/// What is done when a document comes into force.
type Install = Box<dyn Fn(Timestamp, &Arc<Document>) + Send + Sync>;

/// The document in force, and what is done when it changes.
pub struct DocumentStore {
    documents: Mutex<Documents>,
    install: Install,
    clock: Clock,
}

#[derive(Debug, Error)]
enum WatchError {
    #[error("request failed: {0}")]
    Request(#[from] ntex::client::error::ClientError),
    #[error("answer cut short: {0}")]
    Payload(String),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("not UTF-8")]
    Encoding(#[from] std::str::Utf8Error),
}

impl DocumentStore {
    /// A store without a document; `install` is called under its lock, one call at a time.
    pub fn new(
        clock: Clock,
        install: impl Fn(Timestamp, &Arc<Document>) + Send + Sync + 'static,
    ) -> Self {
        Self {
            documents: Mutex::default(),
            install: Box::new(install),
            clock,
        }
    }

    /// Considers a document from `source`, and puts it in force if it is newer.
    pub fn offer(&self, document: &Arc<Document>, source: &str) -> Offer {
        let mut documents = self.documents.lock();
        let offer = documents.offer(document);
        if matches!(offer, Offer::Applied | Offer::ConflictApplied) {
            (self.install)(self.clock.now(), document);
        }
        drop(documents);
        log_offer(offer, document, source);
        offer
    }

    /// Calls `f` with the documents, locked.
    pub fn with<R>(&self, f: impl FnOnce(&Documents) -> R) -> R {
        f(&self.documents.lock())
    }

    /// Generation in force; zero when there is none.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.with(Documents::generation)
    }
}

impl fmt::Debug for DocumentStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DocumentStore")
            .field("documents", &self.documents)
            .finish_non_exhaustive()
    }
}

/// Watches the configuration service for as long as the process lives.
///
/// While the service is down, the document in force stays so.
pub async fn watch_configuration(platform: Platform, store: Arc<DocumentStore>) {
    let client = Client::new().await;
    let mut revision = String::new();
    let mut retry = FIRST_RETRY;
    loop {
        match watch_once(&client, &platform, &revision).await {
            Ok(Some((text, new_revision))) => {
                revision = new_revision;
                retry = FIRST_RETRY;
                offer_text(&store, &text);
            }
            Ok(None) => retry = FIRST_RETRY,
            Err(error) => {
                event(
                    Level::Warn,
                    "configuration_unreachable",
                    &[("reason", &error)],
                );
                sleep(Millis(u32::try_from(retry.as_millis()).unwrap_or(u32::MAX))).await;
                retry = (retry * 2).min(LAST_RETRY);
            }
        }
    }
}

/// One long poll; none when nothing has changed.
async fn watch_once(
    client: &Client,
    platform: &Platform,
    revision: &str,
) -> Result<Option<(String, String)>, WatchError> {
    let url = format!("http://{}/v1/document", platform.configuration);
    let request = client.get(url).header("if-none-match", revision);
    let response = request.timeout(WATCH_TIMEOUT).send().await?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_MODIFIED => return Ok(None),
        status => return Err(WatchError::Status(status)),
    }
    let etag = response
        .header("etag")
        .and_then(|value| value.to_str().ok());
    let etag = etag.unwrap_or_default().to_owned();
    let body = response.body().limit(MAX_DOCUMENT_BYTES).await;
    let body = body.map_err(|error| WatchError::Payload(error.to_string()))?;
    Ok(Some((std::str::from_utf8(&body)?.to_owned(), etag)))
}

fn offer_text(store: &DocumentStore, text: &str) {
    match Document::from_yaml(text) {
        Ok(document) => {
            store.offer(&Arc::new(document), "configuration");
        }
        Err(faults) => {
            for fault in faults.iter() {
                event(Level::Error, "document_refused", &[("fault", fault)]);
            }
        }
    }
}

fn log_offer(offer: Offer, document: &Document, source: &str) {
    let (level, name) = match offer {
        Offer::Applied => (Level::Info, "document_applied"),
        Offer::Same => (Level::Debug, "document_same"),
        Offer::Older => (Level::Warn, "document_older"),
        Offer::ConflictApplied => (Level::Error, "document_conflict_applied"),
        Offer::ConflictKept => (Level::Error, "document_conflict_kept"),
        Offer::OtherEnvironment => (Level::Error, "document_of_other_environment"),
    };
    let generation = document.generation;
    event(
        level,
        name,
        &[("generation", &generation), ("source", &source)],
    );
}
