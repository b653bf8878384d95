//! Follows the store, directly or through source processes that read it for others.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use ntex::client::Client;
use ntex::time::{Millis, sleep, timeout};
use plantainquay_core::relay::Sources;
use plantainquay_core::{Fleet, Timestamp};
use plantainquay_schema::{Changes, RelaySettings, StoreRevision};

use super::fetch::{Poll, fetch_changes};
use super::source_cache::SourceCache;
use super::{FleetState, Freshness, StoreError, StoreReader};
use crate::clock::sleep_for;
use crate::event;

/// Longest wait of a source for changes.
pub(super) const SOURCE_WAIT: Duration = Duration::from_millis(800);
/// Time beyond the wait after which a request to a source times out.
const SOURCE_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// Age of a source's state above which the process switches to another source.
///
/// Together with the wait for the response and a read of the store, this brings changes into
/// force within three seconds even if a source has lost the store without noticing.
const MAX_SOURCE_AGE: Duration = Duration::from_millis(1_900);
/// Consecutive failed reads after which a process considers the store lost.
const STORE_LOST_FAILURES: u32 = 2;
/// Delay before the sources are tried again when none of them has a current state.
const SOURCE_RETRY_DELAY: Millis = Millis(250);
/// Delay after a change, so that one watch returns a batch of changes.
const BATCH_DELAY: Millis = Millis(150);
/// Delay after a change of routes: these are whole documents, which are published in quick
/// succession and have seconds to come into force.
const ROUTES_DELAY: Millis = Millis(200);
/// Delay after the first failed read of the store; doubles up to one of the limits below.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Limit for a process whose state was never confirmed, since it can't serve yet.
const MAX_STARTING_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Limit for a source, since other processes depend on it.
const MAX_SOURCE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Limit for followers, which receive changes from a source once the store is back.
const MAX_FOLLOWER_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Follows the store until the process ends; must run in an ntex system.
pub async fn follow(settings: RelaySettings, state: Arc<FleetState>, store: Rc<StoreReader>) {
    let mut follower = Follower {
        settings,
        state,
        store,
        client: Client::new().await,
        retry_delay: INITIAL_RETRY_DELAY,
        consecutive_failures: 0,
        next_read_at: Timestamp::default(),
        can_watch: false,
        is_connected: false,
        source_cache: SourceCache::default(),
    };
    follower.read_initial_state().await;
    loop {
        let sources = follower.sources();
        if sources.is_empty() {
            follower.read_store(MAX_SOURCE_RETRY_DELAY).await;
            follower.wait_until_next_read().await;
        } else if !follower.follow_sources(&sources).await {
            follower.read_store(MAX_FOLLOWER_RETRY_DELAY).await;
            sleep(SOURCE_RETRY_DELAY).await;
        }
    }
}

struct Follower {
    settings: RelaySettings,
    state: Arc<FleetState>,
    store: Rc<StoreReader>,
    client: Client,
    /// Delay after the next failed read of the store.
    retry_delay: Duration,
    /// Failed reads since the last success.
    consecutive_failures: u32,
    /// Earliest time of the next read of the store.
    next_read_at: Timestamp,
    /// True if a watch may continue from the last revision.
    can_watch: bool,
    is_connected: bool,
    source_cache: SourceCache,
}

impl Follower {
    /// Reads routes and upstreams, possibly stale, to find the processes that can be sources.
    async fn read_initial_state(&mut self) {
        match (self.store.read_all)(Freshness::MayBeStale).await {
            Ok(changes) => self.state.apply(changes, "store"),
            Err(error) => self.record_failure(&error, MAX_STARTING_RETRY_DELAY),
        }
    }

    /// Returns the sources to try.
    fn sources(&mut self) -> Sources {
        self.source_cache.sources(&self.settings, &self.state)
    }

    /// Follows the first source with a current state for as long as its state is current.
    ///
    /// Returns true if there was one.
    async fn follow_sources(&mut self, sources: &[SocketAddr]) -> bool {
        for source in sources {
            let mut wait = Duration::ZERO;
            while let Some(changes) = self.fetch_from(*source, wait).await {
                let is_confirmed = changes.age.is_some_and(|age| age <= MAX_SOURCE_AGE);
                let is_usable = is_confirmed && !changes.is_cut_off;
                self.state.apply(changes, "peer");
                if !is_usable {
                    break;
                }
                self.state.set_cut_off(false);
                self.can_watch = false;
                wait = SOURCE_WAIT;
                if !self.sources().contains(source) {
                    return true;
                }
            }
            if wait > Duration::ZERO {
                // The source was usable until now: choose another one without delay.
                return true;
            }
        }
        false
    }

    /// Requests changes from a source; returns `None` on failure or timeout.
    async fn fetch_from(&self, source: SocketAddr, wait: Duration) -> Option<Changes> {
        let since = self.state.version();
        let response = fetch_changes(&self.client, source, since, Poll::Changes(wait));
        match timeout(wait + SOURCE_TIMEOUT_MARGIN, response).await {
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

    /// Reads the store once, unless the retry delay has not passed: everything, or the changes
    /// since the last read.
    async fn read_store(&mut self, max_retry_delay: Duration) {
        if self.state.now() < self.next_read_at {
            return;
        }
        let revision = self.state.with_fleet(Fleet::revision);
        let read = if self.can_watch {
            (self.store.watch)(revision).await
        } else {
            (self.store.read_all)(Freshness::Current).await
        };
        match read {
            Ok(changes) if changes.revision.era < revision.era => {
                let error = StoreError::EarlierEra(changes.revision.era);
                self.record_failure(&error, max_retry_delay);
            }
            Ok(changes) => {
                if changes.is_full {
                    log_full_read(revision, &changes);
                }
                self.record_success(changes).await;
            }
            Err(StoreError::HistoryGone) => {
                event(Level::Info, "history_gone", &[("after", &revision)]);
                self.can_watch = false;
            }
            Err(error) => self.record_failure(&error, max_retry_delay),
        }
    }

    async fn record_success(&mut self, changes: Changes) {
        let delay = if changes.routes.is_some() {
            ROUTES_DELAY
        } else if changes.upstreams.is_empty() && changes.departures.is_empty() {
            Millis::ZERO
        } else {
            BATCH_DELAY
        };
        self.state.apply(changes, "store");
        self.state.set_cut_off(false);
        self.can_watch = true;
        self.retry_delay = INITIAL_RETRY_DELAY;
        self.consecutive_failures = 0;
        if !std::mem::replace(&mut self.is_connected, true) {
            event(Level::Info, "store_connected", &[]);
        }
        sleep(delay).await;
    }

    fn record_failure(&mut self, error: &StoreError, max_retry_delay: Duration) {
        let now = self.state.now();
        self.consecutive_failures += 1;
        if self.consecutive_failures >= STORE_LOST_FAILURES {
            self.state.set_cut_off(true);
        }
        self.is_connected = false;
        event(Level::Warn, "store_lost", &[("reason", error)]);
        self.next_read_at = now + jittered(self.retry_delay, now.0);
        let is_starting = self.state.age(now).is_none();
        let max_delay = if is_starting {
            MAX_STARTING_RETRY_DELAY
        } else {
            max_retry_delay
        };
        self.retry_delay = (self.retry_delay * 2).min(max_delay);
    }

    async fn wait_until_next_read(&self) {
        let remaining = self.next_read_at.since(self.state.now());
        if remaining > Duration::ZERO {
            sleep_for(remaining).await;
        }
    }
}

/// Logs a full read by a process that had read up to `known_revision`.
fn log_full_read(known_revision: StoreRevision, changes: &Changes) {
    let generation = changes.routes.as_ref().map(|routes| routes.generation);
    let pairs: [(&str, &dyn fmt::Display); 4] = [
        ("known_revision", &known_revision),
        ("revision", &changes.revision),
        ("generation", &generation.unwrap_or_default()),
        ("upstreams", &changes.upstreams.len()),
    ];
    event(Level::Info, "store_read", &pairs);
}

fn log_source_lost(source: SocketAddr, reason: &dyn fmt::Display) {
    let pairs: [(&str, &dyn fmt::Display); 2] = [("source", &source), ("reason", reason)];
    event(Level::Warn, "source_lost", &pairs);
}

/// Returns a delay of 75% to 125% of `mean`, so that processes don't retry in step.
fn jittered(mean: Duration, seed: u64) -> Duration {
    let spread = u64::try_from(mean.as_micros() / 2).unwrap_or(u64::MAX);
    mean * 3 / 4 + Duration::from_micros(seed % spread.max(1))
}
