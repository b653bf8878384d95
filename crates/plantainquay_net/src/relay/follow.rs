//! Follows the store, directly or through processes that read it on behalf of others.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::time::{Millis, sleep, timeout};
use plantainquay_core::relay::sources;
use plantainquay_schema::{Changes, RelaySettings, wire};
use prost::Message as _;

use super::{FleetState, Freshness, StoreError, StoreReader};
use crate::event;

/// Longest wait for changes at another process.
pub(super) const SOURCE_WAIT: Duration = Duration::from_secs(1);
/// Time beyond the wait after which a source is taken to be gone.
const SOURCE_GRACE: Duration = Duration::from_millis(400);
/// Age of a source's state above which another source is asked.
///
/// A source that watches confirms its state each time that a watch ends.
const MAX_SOURCE_AGE: Duration = Duration::from_millis(4_500);
/// Pause after a change, so that changes that come together take one watch.
const BATCH_PAUSE: Millis = Millis(40);
/// First and last pause after a failed read of the store; it doubles in between.
const FIRST_RETRY: Duration = Duration::from_millis(50);
const LAST_RETRY: Duration = Duration::from_secs(1);
/// Last pause of a process that doesn't know yet what is in force, and can't serve until it does.
const LAST_RETRY_UNCONFIRMED: Duration = Duration::from_millis(150);
/// Largest answer of another process, in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Follows the store for as long as the process lives; runs on an ntex system.
pub async fn follow(settings: RelaySettings, state: Arc<FleetState>, store: StoreReader) {
    let mut follower = Follower {
        settings,
        state,
        store,
        client: Client::new().await,
        retry: FIRST_RETRY,
        has_read_whole: false,
        is_connected: false,
    };
    follower.start().await;
    loop {
        let sources = follower.sources();
        if sources.is_empty() || !follower.follow_sources(&sources).await {
            follower.read_store().await;
        }
    }
}

struct Follower {
    settings: RelaySettings,
    state: Arc<FleetState>,
    store: StoreReader,
    client: Client,
    retry: Duration,
    /// Whether a watch may continue from the revision that is known.
    has_read_whole: bool,
    is_connected: bool,
}

impl Follower {
    /// Learns who the other processes are, from a read that may lag.
    async fn start(&mut self) {
        match (self.store.whole)(Freshness::MayLag).await {
            Ok(changes) => self.state.apply(changes, "store"),
            Err(error) => self.log_store_lost(&error),
        }
    }

    fn sources(&self) -> Vec<SocketAddr> {
        let own = &self.settings;
        let port = own.changes.port();
        let now = self.state.now();
        self.state.with(|fleet| {
            let sources = sources(fleet, now, own.changes.ip(), &own.data_centre, port);
            sources.iter().map(|source| source.address).collect()
        })
    }

    /// Hears of changes from one source after the other, for as long as one of them is of use.
    async fn follow_sources(&mut self, sources: &[SocketAddr]) -> bool {
        for source in sources {
            let mut any = false;
            while let Some(changes) = self.ask(*source).await {
                let is_confirmed = changes.age.is_some_and(|age| age <= MAX_SOURCE_AGE);
                self.state.apply(changes, "peer");
                if !is_confirmed {
                    break;
                }
                any = true;
                if !self.sources().contains(source) {
                    return true;
                }
            }
            self.has_read_whole = false;
            if any {
                return true;
            }
        }
        false
    }

    /// Asks a source for changes; none when it doesn't answer.
    async fn ask(&self, source: SocketAddr) -> Option<Changes> {
        let (generation, revision, is_confirmed) = self.known();
        let wait = if is_confirmed {
            SOURCE_WAIT
        } else {
            Duration::ZERO
        };
        let url = format!(
            "http://{source}/v1/changes?generation={generation}&revision={revision}&wait_ms={}",
            wait.as_millis()
        );
        let answer = timeout(wait + SOURCE_GRACE, self.fetch(&url)).await;
        match answer {
            Ok(Ok(changes)) => Some(changes),
            Ok(Err(error)) => {
                log_source_lost(source, &error);
                None
            }
            Err(()) => {
                log_source_lost(source, &"timeout");
                None
            }
        }
    }

    async fn fetch(&self, url: &str) -> Result<Changes, String> {
        let response = self.client.get(url).send().await;
        let response = response.map_err(|error| error.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status().as_u16()));
        }
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| error.to_string())?;
        let changes = wire::fleet::Changes::decode(body).map_err(|e| e.to_string())?;
        Changes::try_from(changes).map_err(|faults| faults.to_string())
    }

    /// Reads the store once: everything, or what has changed since the last read.
    async fn read_store(&mut self) {
        let (_, revision, _) = self.known();
        let was_confirmed = self.state.age(self.state.now()).is_some();
        let read = if self.has_read_whole {
            (self.store.watch)(revision).await
        } else {
            (self.store.whole)(Freshness::Current).await
        };
        match read {
            Ok(changes) => {
                let any = !changes.upstreams.is_empty() || !changes.departures.is_empty();
                self.state.apply(changes, "store");
                self.has_read_whole = true;
                self.retry = FIRST_RETRY;
                if !std::mem::replace(&mut self.is_connected, true) {
                    event(Level::Info, "store_connected", &[]);
                }
                if any {
                    sleep(BATCH_PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => self.has_read_whole = false,
            Err(error) => {
                self.log_store_lost(&error);
                sleep(jittered(self.retry, self.state.now().0)).await;
                let last = if was_confirmed {
                    LAST_RETRY
                } else {
                    LAST_RETRY_UNCONFIRMED
                };
                self.retry = (self.retry * 2).min(last);
            }
        }
    }

    fn known(&self) -> (u64, u64, bool) {
        let now = self.state.now();
        self.state.with(|fleet| {
            let age = fleet.age(now);
            let is_confirmed = age.is_some_and(|age| age <= MAX_SOURCE_AGE);
            (fleet.routes().generation.0, fleet.revision(), is_confirmed)
        })
    }

    fn log_store_lost(&mut self, error: &StoreError) {
        self.is_connected = false;
        event(Level::Warn, "store_lost", &[("reason", error)]);
    }
}

fn log_source_lost(source: SocketAddr, reason: &dyn fmt::Display) {
    let pairs: [(&str, &dyn fmt::Display); 2] = [("source", &source), ("reason", reason)];
    event(Level::Warn, "source_lost", &pairs);
}

/// A pause of 75% to 125% of `mean`, so that processes don't retry together.
fn jittered(mean: Duration, seed: u64) -> Millis {
    let millis = u64::try_from(mean.as_millis()).unwrap_or(u64::MAX);
    let spread = (millis / 2).max(1);
    let millis = millis - millis / 4 + seed % spread;
    Millis(u32::try_from(millis).unwrap_or(u32::MAX))
}
