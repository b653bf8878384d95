//! Reads the platform: the configuration service and the list of instances.

use std::net::SocketAddr;
use std::str::Utf8Error;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use ntex::client::Client;
use ntex::client::error::ClientError;
use ntex::http::StatusCode;
use ntex::time::Millis;
use plantainquay_core::gossip::{is_watcher, poll_interval};
use plantainquay_schema::{Document, Settings, parse_instances};
use thiserror::Error;

use crate::clock::pause;
use crate::{Clock, DocumentStore, InstanceView, event};

/// Longest wait of one watch; the service answers earlier when something changes.
const WATCH_TIMEOUT: Millis = Millis(35_000);
/// Largest value of the configuration service, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Largest list of instances, in bytes.
const MAX_LIST_BYTES: usize = 16 << 20;
/// Interval of polls until the first document and the first list are there.
const START_POLL: Duration = Duration::from_millis(500);
/// Shortest interval of reads of the list of instances.
const LIST_POLL: Duration = Duration::from_secs(1);
const FIRST_RETRY: Duration = Duration::from_millis(100);
const LAST_RETRY: Duration = Duration::from_secs(5);

/// Reads the platform on behalf of one daemon.
#[derive(Debug)]
pub struct PlatformReader {
    settings: Settings,
    store: Arc<DocumentStore>,
    instances: Arc<InstanceView>,
    clock: Clock,
}

/// How a value is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ask {
    /// The answer comes at once.
    Now,
    /// The answer comes when the value changes, or after a while.
    OnChange,
}

/// What a process does about the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It lacks the first document or the list of instances, and polls closely.
    Newcomer,
    /// It watches on behalf of its data centre.
    Watcher,
    /// It hears from its peers, and polls slowly.
    Listener,
}

/// A value with the revision that the platform gave it.
#[derive(Debug)]
struct Value {
    bytes: Vec<u8>,
    revision: String,
}

#[derive(Debug, Error)]
enum ReadError {
    #[error("request failed: {0}")]
    Request(#[from] ClientError),
    #[error("answer cut short: {0}")]
    Payload(String),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("document is not UTF-8")]
    Encoding(#[from] Utf8Error),
    #[error("list of instances: {0}")]
    List(#[from] serde_json::Error),
}

impl PlatformReader {
    /// A reader for the daemon with these settings.
    #[must_use]
    pub fn new(
        settings: &Settings,
        store: Arc<DocumentStore>,
        instances: Arc<InstanceView>,
        clock: Clock,
    ) -> Self {
        Self {
            settings: settings.clone(),
            store,
            instances,
            clock,
        }
    }

    /// Reads the list of instances again and again, at a rate that the whole fleet shares.
    pub async fn run_instances(self: Arc<Self>) {
        let client = Client::new().await;
        loop {
            self.refresh_instances(&client).await;
            let known = self.instances.get().len();
            let interval = if known == 0 {
                START_POLL
            } else {
                poll_interval(known, LIST_POLL, self.seed())
            };
            pause(interval).await;
        }
    }

    /// Follows the platform for as long as the process lives; runs on an ntex system.
    ///
    /// While the platform is down, everything that is known stays so.
    pub async fn run(self: Arc<Self>) {
        let client = Client::new().await;
        let mut revision = String::new();
        let mut retry = FIRST_RETRY;
        loop {
            let ask = match self.standing(&revision) {
                Standing::Watcher => Ask::OnChange,
                Standing::Newcomer | Standing::Listener => Ask::Now,
            };
            match self.read_document(&client, ask, &mut revision).await {
                Ok(()) => retry = FIRST_RETRY,
                Err(error) => {
                    event(
                        Level::Warn,
                        "configuration_unreachable",
                        &[("reason", &error)],
                    );
                    pause(retry).await;
                    retry = (retry * 2).min(LAST_RETRY);
                    continue;
                }
            }
            match self.standing(&revision) {
                Standing::Newcomer => pause(START_POLL).await,
                Standing::Listener => pause(self.interval()).await,
                Standing::Watcher => {}
            }
        }
    }

    fn standing(&self, revision: &str) -> Standing {
        let instances = self.instances.get();
        let own = &self.settings;
        if revision.is_empty() || instances.is_empty() {
            Standing::Newcomer
        } else if is_watcher(&own.instance, &own.data_centre, &instances) {
            Standing::Watcher
        } else {
            Standing::Listener
        }
    }

    fn seed(&self) -> u64 {
        self.clock.now().0 ^ u64::from(self.settings.tunnel.port()) << 48
    }

    fn interval(&self) -> Duration {
        let known = self.instances.get().len();
        poll_interval(known, self.settings.platform.poll, self.seed())
    }

    async fn refresh_instances(&self, client: &Client) {
        let address = self.settings.platform.instances;
        let read = read(client, address, "instances", Ask::Now, "", MAX_LIST_BYTES).await;
        let list = read.and_then(|value| {
            let parsed = value.map(|value| serde_json::from_slice(&value.bytes));
            Ok(parsed.transpose()?)
        });
        match list {
            Ok(Some(list)) => self.instances.set(parse_instances(&list)),
            Ok(None) => {}
            Err(error) => event(Level::Warn, "instances_unreachable", &[("reason", &error)]),
        }
    }

    async fn read_document(
        &self,
        client: &Client,
        ask: Ask,
        revision: &mut String,
    ) -> Result<(), ReadError> {
        let address = self.settings.platform.configuration;
        let read = read(client, address, "document", ask, revision, MAX_VALUE_BYTES).await?;
        if let Some(value) = read {
            offer_text(&self.store, std::str::from_utf8(&value.bytes)?);
            *revision = value.revision;
        }
        Ok(())
    }
}

/// Reads a value; none when it still has the known revision.
async fn read(
    client: &Client,
    address: SocketAddr,
    name: &str,
    ask: Ask,
    revision: &str,
    max_bytes: usize,
) -> Result<Option<Value>, ReadError> {
    let wait = match ask {
        Ask::Now => "?wait=0",
        Ask::OnChange => "",
    };
    let url = format!("http://{address}/v1/{name}{wait}");
    let request = client.get(url).header("if-none-match", revision);
    let response = request.timeout(WATCH_TIMEOUT).send().await?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NOT_MODIFIED => return Ok(None),
        status => return Err(ReadError::Status(status)),
    }
    let etag = response
        .header("etag")
        .and_then(|value| value.to_str().ok());
    let revision = etag.unwrap_or_default().to_owned();
    let body = response.body().limit(max_bytes).await;
    let body = body.map_err(|error| ReadError::Payload(error.to_string()))?;
    Ok(Some(Value {
        bytes: body.to_vec(),
        revision,
    }))
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
