//! Follows the store, directly or through processes that read it on behalf of others.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use ntex::client::Client;
use ntex::time::{Millis, sleep, timeout};
use plantainquay_core::relay::{Sources, choose_sources};
use plantainquay_core::{Fleet, Timestamp};
use plantainquay_schema::{Changes, RelaySettings};

use super::{FleetState, Freshness, StoreError, StoreReader, fetch_changes};
use crate::clock::pause;
use crate::event;

/// Longest wait for changes at a source.
pub(super) const SOURCE_WAIT: Duration = Duration::from_millis(800);
/// Time beyond the wait after which a source is taken to be gone.
const SOURCE_GRACE: Duration = Duration::from_millis(400);
/// Age of a source's state above which another source is asked.
///
/// With the wait for the answer that shows it, and a read of the store, changes are in force
/// within three seconds although a source has lost the store without noticing.
const MAX_SOURCE_AGE: Duration = Duration::from_millis(1_900);
/// Failed reads in a row after which a process takes the store to be lost.
const LOST_AFTER: u32 = 2;
/// Pause before sources are asked again when none of them knows what is in force.
const SOURCE_PAUSE: Millis = Millis(250);
/// Pause after a change, so that changes that come together take one watch.
const BATCH_PAUSE: Millis = Millis(150);
/// Pause after a change of routes: whole documents, which come in quick succession and have
/// seconds to come into force.
const ROUTES_PAUSE: Millis = Millis(200);
/// Pause after a failed read of the store at first; it doubles up to one of the limits below.
const FIRST_RETRY: Duration = Duration::from_millis(50);
/// Limit for a process that doesn't know yet what is in force, and can't serve until it does.
const RETRY_NEWCOMER: Duration = Duration::from_millis(150);
/// Limit for a source, which many processes wait for.
const RETRY_SOURCE: Duration = Duration::from_millis(300);
/// Limit for the others, which hear from a source when the store is back.
const RETRY_FOLLOWER: Duration = Duration::from_secs(5);
/// Follows the store for as long as the process lives; runs on an ntex system.
pub async fn follow(settings: RelaySettings, state: Arc<FleetState>, store: StoreReader) {
    let mut follower = Follower {
        settings,
        state,
        store,
        client: Client::new().await,
        retry: FIRST_RETRY,
        failures: 0,
        next_read: Timestamp::default(),
        can_watch: false,
        is_connected: false,
        sources: Sources::new(),
        membership: None,
    };
    follower.start().await;
    loop {
        let sources = follower.sources();
        if sources.is_empty() {
            follower.read_store(RETRY_SOURCE).await;
            follower.pause_until_next_read().await;
        } else if !follower.follow_sources(&sources).await {
            follower.read_store(RETRY_FOLLOWER).await;
            sleep(SOURCE_PAUSE).await;
        }
    }
}

struct Follower {
    settings: RelaySettings,
    state: Arc<FleetState>,
    store: StoreReader,
    client: Client,
    /// Pause after the next failed read of the store.
    retry: Duration,
    /// Failed reads since the last good one.
    failures: u32,
    /// Moment before which the store is not read again.
    next_read: Timestamp,
    /// Whether a watch may continue from the revision that is known.
    can_watch: bool,
    is_connected: bool,
    /// The sources, and the membership that they were chosen from.
    sources: Sources,
    membership: Option<u64>,
}

impl Follower {
    /// Learns who the other processes are, from a read that may lag.
    async fn start(&mut self) {
        match (self.store.whole)(Freshness::MayLag).await {
            Ok(changes) => self.state.apply(changes, "store"),
            Err(error) => self.note_failure(&error, RETRY_NEWCOMER),
        }
    }

    /// The sources to try, chosen anew when upstreams have come or gone.
    fn sources(&mut self) -> Sources {
        let settings = &self.settings;
        let now = self.state.now();
        self.state.with(|fleet| {
            if self.membership.replace(fleet.service_change_count())
                != Some(fleet.service_change_count())
            {
                let (own, port) = (settings.own.ip(), settings.changes.port());
                self.sources = choose_sources(fleet, now, own, &settings.data_centre, port);
            }
        });
        self.sources.clone()
    }

    /// Hears of changes from the first source that knows what is in force, for as long as it does;
    /// returns whether there was one.
    async fn follow_sources(&mut self, sources: &[SocketAddr]) -> bool {
        for source in sources {
            let mut wait = Duration::ZERO;
            while let Some(changes) = self.ask(*source, wait).await {
                let is_confirmed = changes.age.is_some_and(|age| age <= MAX_SOURCE_AGE);
                let is_of_use = is_confirmed && !changes.is_cut_off;
                self.state.apply(changes, "peer");
                if !is_of_use {
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
    async fn ask(&self, source: SocketAddr, wait: Duration) -> Option<Changes> {
        let own = self.state.with(Fleet::version);
        let answer = fetch_changes(&self.client, source, own, wait);
        match timeout(wait + SOURCE_GRACE, answer).await {
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
    async fn read_store(&mut self, longest_retry: Duration) {
        if self.state.now() < self.next_read {
            return;
        }
        let revision = self.state.with(Fleet::revision);
        let read = if self.can_watch {
            (self.store.watch)(revision).await
        } else {
            (self.store.whole)(Freshness::Current).await
        };
        match read {
            Ok(changes) => self.note_success(changes).await,
            Err(StoreError::HistoryGone) => self.can_watch = false,
            Err(error) => self.note_failure(&error, longest_retry),
        }
    }

    async fn note_success(&mut self, changes: Changes) {
        let pause = if changes.routes.is_some() {
            ROUTES_PAUSE
        } else if changes.upstreams.is_empty() && changes.departures.is_empty() {
            Millis::ZERO
        } else {
            BATCH_PAUSE
        };
        self.state.apply(changes, "store");
        self.state.set_cut_off(false);
        self.can_watch = true;
        self.retry = FIRST_RETRY;
        self.failures = 0;
        if !std::mem::replace(&mut self.is_connected, true) {
            event(Level::Info, "store_connected", &[]);
        }
        sleep(pause).await;
    }

    fn note_failure(&mut self, error: &StoreError, longest_retry: Duration) {
        let now = self.state.now();
        self.failures += 1;
        if self.failures >= LOST_AFTER {
            self.state.set_cut_off(true);
        }
        self.is_connected = false;
        event(Level::Warn, "store_lost", &[("reason", error)]);
        self.next_read = now + jittered(self.retry, now.0);
        let is_newcomer = self.state.age(now).is_none();
        let longest = if is_newcomer {
            RETRY_NEWCOMER
        } else {
            longest_retry
        };
        self.retry = (self.retry * 2).min(longest);
    }

    async fn pause_until_next_read(&self) {
        let left = self.next_read.since(self.state.now());
        if left > Duration::ZERO {
            pause(left).await;
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
