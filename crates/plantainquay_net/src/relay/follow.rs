//! Follows the store, directly or through processes that read it on behalf of others.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use ntex::client::Client;
use ntex::time::{Millis, sleep, timeout};
use plantainquay_core::relay::{Sources, sources};
use plantainquay_core::{Fleet, Timestamp};
use plantainquay_schema::{Changes, RelaySettings};

use super::{FleetState, Freshness, StoreError, StoreReader, fetch_changes};
use crate::clock::sleep_for;
use crate::event;

/// Longest wait for changes at a source.
pub(super) const SOURCE_WAIT: Duration = Duration::from_millis(800);
/// Time beyond the wait after which a source is taken to be gone.
const SOURCE_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// Age of a source's state above which another source is asked.
///
/// With the wait for the answer that shows it, and a read of the store, changes are in force
/// within three seconds although a source has lost the store without noticing.
const MAX_SOURCE_AGE: Duration = Duration::from_millis(1_900);
/// Failed reads in a row after which a process takes the store to be lost.
const STORE_LOST_FAILURES: u32 = 2;
/// Pause before sources are asked again when none of them knows what is in force.
const SOURCE_RETRY_DELAY: Millis = Millis(250);
/// Pause after a change, so that changes that come together take one watch.
const BATCH_DELAY: Millis = Millis(150);
/// Pause after a change of routes: whole documents, which come in quick succession and have
/// seconds to come into force.
const ROUTES_DELAY: Millis = Millis(200);
/// Pause after a failed read of the store at first; it doubles up to one of the limits below.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Limit for a process that doesn't know yet what is in force, and can't serve until it does.
const MAX_STARTING_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Limit for a source, which many processes wait for.
const MAX_SOURCE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Limit for the others, which hear from a source when the store is back.
const MAX_FOLLOWER_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Follows the store for as long as the process lives; runs on an ntex system.
pub async fn follow(settings: RelaySettings, state: Arc<FleetState>, store: StoreReader) {
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
        sources: Sources::new(),
        membership: None,
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
    store: StoreReader,
    client: Client,
    /// Pause after the next failed read of the store.
    retry_delay: Duration,
    /// Failed reads since the last good one.
    consecutive_failures: u32,
    /// Moment before which the store is not read again.
    next_read_at: Timestamp,
    /// Whether a watch may continue from the revision that is known.
    can_watch: bool,
    is_connected: bool,
    /// The sources, and the membership that they were chosen from.
    sources: Sources,
    membership: Option<u64>,
}

impl Follower {
    /// Learns who the other processes are, from a read that may lag.
    async fn read_initial_state(&mut self) {
        match (self.store.read_all)(Freshness::MayBeStale).await {
            Ok(changes) => self.state.apply(changes, "store"),
            Err(error) => self.record_failure(&error, MAX_STARTING_RETRY_DELAY),
        }
    }

    /// The sources to try, chosen anew when upstreams have come or gone.
    fn sources(&mut self) -> Sources {
        let settings = &self.settings;
        let now = self.state.now();
        self.state.with_fleet(|fleet| {
            if self.membership.replace(fleet.membership()) != Some(fleet.membership()) {
                let (own, port) = (settings.own.ip(), settings.changes.port());
                self.sources = sources(fleet, now, own, &settings.data_centre, port);
            }
        });
        self.sources.clone()
    }

    /// Hears of changes from the first source that knows what is in force, for as long as it does;
    /// returns whether there was one.
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
                // The source was of use until now: choose again at once.
                return true;
            }
        }
        false
    }

    /// Asks a source for changes; none when it doesn't answer.
    async fn fetch_from(&self, source: SocketAddr, wait: Duration) -> Option<Changes> {
        let asker = self.state.with_fleet(Fleet::as_asker);
        let response = fetch_changes(&self.client, source, asker, wait);
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

    /// Reads the store once, unless a failure was a moment ago: everything, or what has changed
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
            Ok(changes) => self.record_success(changes).await,
            Err(StoreError::HistoryGone) => self.can_watch = false,
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

fn log_source_lost(source: SocketAddr, reason: &dyn fmt::Display) {
    let pairs: [(&str, &dyn fmt::Display); 2] = [("source", &source), ("reason", reason)];
    event(Level::Warn, "source_lost", &pairs);
}

/// A pause of 75% to 125% of `mean`, so that processes don't retry together.
fn jittered(mean: Duration, seed: u64) -> Duration {
    let spread = u64::try_from(mean.as_micros() / 2).unwrap_or(u64::MAX);
    mean * 3 / 4 + Duration::from_micros(seed % spread.max(1))
}
