//! Client of the platform's configuration service and list of instances.

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

use crate::clock::sleep_for;
use crate::{Clock, DocumentStore, InstanceView, event};

/// Timeout of a request; the service responds to a long poll earlier if the value changes.
const WATCH_TIMEOUT: Millis = Millis(35_000);
/// Largest value of the configuration service, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Largest list of instances, in bytes.
const MAX_INSTANCES_BYTES: usize = 16 << 20;
/// Poll interval until the first document and the first list have been read.
const STARTING_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest poll interval of the list of instances.
const MIN_INSTANCES_POLL_INTERVAL: Duration = Duration::from_secs(1);
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Reads the platform on behalf of one daemon.
#[derive(Debug)]
pub struct PlatformReader {
    settings: Settings,
    store: Arc<DocumentStore>,
    instances: Arc<InstanceView>,
    clock: Clock,
}

/// Time at which the service responds to a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadMode {
    /// Immediately.
    Immediate,
    /// When the value changes, or after a timeout.
    LongPoll,
}

/// A process's role in reading the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollRole {
    /// Has no document or no list of instances yet, and polls at a short interval.
    Starting,
    /// Watches the service on behalf of its data centre.
    Watcher,
    /// Receives documents from peers, and polls at a long interval.
    Follower,
}

/// A value with its revision on the platform.
#[derive(Debug)]
struct FetchedValue {
    bytes: Vec<u8>,
    revision: String,
}

#[derive(Debug)]
#[derive(Error)]
enum ReadError {
    #[error("request failed: {0}")]
    Request(#[from] ClientError),
    #[error("response body: {0}")]
    Payload(String),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("document is not UTF-8")]
    Encoding(#[from] Utf8Error),
    #[error("list of instances: {0}")]
    Instances(#[from] serde_json::Error),
}

impl PlatformReader {
    /// Creates a reader for the daemon with these settings.
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

    /// Polls the list of instances at an interval that grows with the size of the fleet.
    pub async fn poll_instances(self: Arc<Self>) {
        let client = Client::new().await;
        loop {
            self.refresh_instances(&client).await;
            let instance_count = self.instances.get().len();
            let interval = if instance_count == 0 {
                STARTING_POLL_INTERVAL
            } else {
                poll_interval(
                    instance_count,
                    MIN_INSTANCES_POLL_INTERVAL,
                    self.jitter_seed(),
                )
            };
            sleep_for(interval).await;
        }
    }

    /// Follows the configuration until the process ends; must run in an ntex system.
    ///
    /// While the platform is unreachable, the last document and list of instances stay in use.
    pub async fn follow_configuration(self: Arc<Self>) {
        let client = Client::new().await;
        let mut revision = String::new();
        let mut retry_delay = INITIAL_RETRY_DELAY;
        loop {
            let mode = match self.poll_role(&revision) {
                PollRole::Watcher => ReadMode::LongPoll,
                PollRole::Starting | PollRole::Follower => ReadMode::Immediate,
            };
            match self.read_document(&client, mode, &mut revision).await {
                Ok(()) => retry_delay = INITIAL_RETRY_DELAY,
                Err(error) => {
                    event(
                        Level::Warn,
                        "configuration_unreachable",
                        &[("reason", &error)],
                    );
                    sleep_for(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                    continue;
                }
            }
            match self.poll_role(&revision) {
                PollRole::Starting => sleep_for(STARTING_POLL_INTERVAL).await,
                PollRole::Follower => sleep_for(self.document_poll_interval()).await,
                PollRole::Watcher => {}
            }
        }
    }

    fn poll_role(&self, revision: &str) -> PollRole {
        let instances = self.instances.get();
        let settings = &self.settings;
        if revision.is_empty() || instances.is_empty() {
            PollRole::Starting
        } else if is_watcher(&settings.instance, &settings.data_centre, &instances) {
            PollRole::Watcher
        } else {
            PollRole::Follower
        }
    }

    fn jitter_seed(&self) -> u64 {
        self.clock.now().0 ^ u64::from(self.settings.tunnel.port()) << 48
    }

    fn document_poll_interval(&self) -> Duration {
        let instance_count = self.instances.get().len();
        poll_interval(
            instance_count,
            self.settings.platform.poll,
            self.jitter_seed(),
        )
    }

    async fn refresh_instances(&self, client: &Client) {
        let address = self.settings.platform.instances;
        let fetched = fetch_value(
            client,
            address,
            "instances",
            ReadMode::Immediate,
            "",
            MAX_INSTANCES_BYTES,
        )
        .await;
        let list = fetched.and_then(|value| {
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
        mode: ReadMode,
        revision: &mut String,
    ) -> Result<(), ReadError> {
        let address = self.settings.platform.configuration;
        let fetched =
            fetch_value(client, address, "document", mode, revision, MAX_VALUE_BYTES).await?;
        if let Some(value) = fetched {
            offer_yaml(&self.store, std::str::from_utf8(&value.bytes)?);
            *revision = value.revision;
        }
        Ok(())
    }
}

/// Reads a value; returns `None` if its revision is still `revision`.
async fn fetch_value(
    client: &Client,
    address: SocketAddr,
    name: &str,
    mode: ReadMode,
    revision: &str,
    max_bytes: usize,
) -> Result<Option<FetchedValue>, ReadError> {
    let query = match mode {
        ReadMode::Immediate => "?wait=0",
        ReadMode::LongPoll => "",
    };
    let url = format!("http://{address}/v1/{name}{query}");
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
    Ok(Some(FetchedValue {
        bytes: body.to_vec(),
        revision,
    }))
}

fn offer_yaml(store: &DocumentStore, text: &str) {
    match Document::from_yaml(text) {
        Ok(document) => {
            store.offer(&Arc::new(document), "configuration");
        }
        Err(errors) => {
            for error in errors.iter() {
                event(Level::Error, "document_refused", &[("fault", error)]);
            }
        }
    }
}
