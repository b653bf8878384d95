//! The routes and upstreams of a process, shared by its threads.

use std::fmt;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use log::Level;
use ntex::time::timeout;
use parking_lot::Mutex;
use plantainquay_core::relay::RelayView;
use plantainquay_core::{AppliedChanges, Fleet, FleetVersion, Timestamp};
use plantainquay_schema::{Changes, StoreRevision};
use tokio::sync::watch;

use crate::{Clock, event};

/// Longest wait for a confirmation that the state matches the store.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(300);

/// Is called after the state was confirmed to match the store.
pub type OnConfirmed = Box<dyn Fn() + Send + Sync>;

/// Installs a new view.
pub type InstallView = Box<dyn Fn(Arc<RelayView>) + Send + Sync>;

/// The routes and upstreams of a process, with the subscribers to their changes.
pub struct FleetState {
    inner: Mutex<Inner>,
    install: Mutex<Option<InstallView>>,
    on_confirmed: OnceLock<OnConfirmed>,
    /// True while neither the store nor another process confirms the state.
    is_cut_off: AtomicBool,
    /// Incremented on each change.
    changed: watch::Sender<u64>,
    /// Incremented on each request for a confirmation.
    confirmation_requests: watch::Sender<u64>,
    /// Incremented on each confirmation that the state matches the store.
    confirmations: watch::Sender<u64>,
    /// Time from the start of the process to the first current view.
    start_to_ready: OnceLock<Duration>,
    peer_port: u16,
    clock: Clock,
}

struct Inner {
    fleet: Fleet,
    view: Arc<RelayView>,
    last_expiry: Timestamp,
}

impl fmt::Debug for FleetState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetState").finish_non_exhaustive()
    }
}

impl FleetState {
    /// Creates a state that starts from `fleet`; other processes receive messages on `peer_port`.
    #[must_use]
    pub fn new(fleet: Fleet, peer_port: u16, clock: Clock) -> Self {
        let inner = Inner {
            fleet,
            view: Arc::default(),
            last_expiry: Timestamp::default(),
        };
        Self {
            inner: Mutex::new(inner),
            install: Mutex::new(None),
            on_confirmed: OnceLock::new(),
            is_cut_off: AtomicBool::new(true),
            changed: watch::Sender::new(0),
            confirmation_requests: watch::Sender::new(0),
            confirmations: watch::Sender::new(0),
            start_to_ready: OnceLock::new(),
            peer_port,
            clock,
        }
    }

    /// Sets the callback that installs new views.
    pub fn set_install_view(&self, install: InstallView) {
        *self.install.lock() = Some(install);
    }

    /// Sets the callback for confirmations, on which searches wait; the first one set is kept.
    pub fn set_on_confirmed(&self, on_confirmed: OnConfirmed) {
        let _already_set = self.on_confirmed.set(on_confirmed);
    }

    /// Applies changes from the store or from another process.
    pub fn apply(&self, changes: Changes, source: &str) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let known_revision = inner.fleet.revision();
        let is_restored = inner.fleet.is_restored(changes.revision);
        let is_confirmation = changes.age.is_some();
        let applied = inner.fleet.apply(now, changes);
        if is_restored {
            log_restore(known_revision, &inner.fleet, source);
        }
        let is_first_confirmed = inner.fleet.age(now).is_some() && !inner.view.is_confirmed();
        if applied != AppliedChanges::default() || is_first_confirmed || is_restored {
            self.install(now, &mut inner);
            log_change(applied, &inner.fleet, now, source);
            if inner.view.is_complete() {
                self.record_ready(now);
            }
        }
        drop(inner);
        if is_confirmation {
            self.confirmations.send_modify(|count| *count += 1);
            if let Some(on_confirmed) = self.on_confirmed.get() {
                on_confirmed();
            }
        }
    }

    /// Returns true if routes and upstreams were current at least once; from then on the last
    /// state is used even while the store is unreachable.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.start_to_ready.get().is_some()
    }

    /// Returns the time from the start of the process until it was ready.
    #[must_use]
    pub fn start_to_ready(&self) -> Option<Duration> {
        self.start_to_ready.get().copied()
    }

    fn record_ready(&self, now: Timestamp) {
        let elapsed = now.since(Timestamp::default());
        if self.start_to_ready.set(elapsed).is_ok() {
            let after_ms = elapsed.as_millis();
            event(Level::Info, "ready", &[("after_ms", &after_ms)]);
        }
    }

    /// Removes upstreams that left long ago.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let last = std::mem::replace(&mut inner.last_expiry, now);
        if inner.fleet.expire(now, last) {
            self.install(now, &mut inner);
        }
    }

    /// Returns the current time of the process's clock.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Calls `f` with the state while the lock is held.
    pub fn with_fleet<R>(&self, f: impl FnOnce(&Fleet) -> R) -> R {
        f(&self.inner.lock().fleet)
    }

    /// Returns the time since the state was last confirmed; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.with_fleet(|fleet| fleet.age(now))
    }

    /// Returns the version of the state, with which changes are requested.
    #[must_use]
    pub fn version(&self) -> FleetVersion {
        let now = self.clock.now();
        self.with_fleet(|fleet| fleet.version(now))
    }

    /// Returns the view in force.
    #[must_use]
    pub fn view(&self) -> Arc<RelayView> {
        Arc::clone(&self.inner.lock().view)
    }

    /// Returns the changes that are newer than `since`.
    #[must_use]
    pub fn changes_since(&self, since: FleetVersion) -> Changes {
        let now = self.clock.now();
        let changes = self.with_fleet(|fleet| fleet.changes_since(now, since));
        Changes {
            is_cut_off: self.is_cut_off(),
            ..changes
        }
    }

    /// Returns true if neither the store nor another process confirms the state.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off.load(Ordering::Relaxed)
    }

    /// Sets whether the process is cut off from the store and its sources; a change wakes waiting
    /// long polls.
    pub fn set_cut_off(&self, is_cut_off: bool) {
        if self.is_cut_off.swap(is_cut_off, Ordering::Relaxed) != is_cut_off {
            self.changed.send_modify(|changes| *changes += 1);
        }
    }

    /// Requests a confirmation that the state matches the store; see
    /// [`confirm_on_request`](super::confirm_on_request).
    pub fn request_confirmation(&self) {
        self.confirmation_requests.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of each later request for a confirmation.
    #[must_use]
    pub fn subscribe_confirmation_requests(&self) -> watch::Receiver<u64> {
        self.confirmation_requests.subscribe()
    }

    /// Waits until the state is known to have matched the store at `time` or later, for at most 300 ms;
    /// returns true if it is.
    pub async fn wait_until_confirmed_since(&self, time: Timestamp) -> bool {
        let mut confirmations = self.confirmations.subscribe();
        let is_confirmed = || {
            let now = self.clock.now();
            self.age(now).is_some_and(|age| age <= now.since(time))
        };
        let wait = async {
            while !is_confirmed() {
                if confirmations.changed().await.is_err() {
                    break;
                }
            }
        };
        timeout(CONFIRMATION_WAIT, wait).await.is_ok() && is_confirmed()
    }

    /// Returns a receiver that is notified of each later change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn install(&self, now: Timestamp, inner: &mut Inner) {
        let view = RelayView::build(&inner.fleet, now, self.peer_port, &inner.view);
        inner.view = Arc::new(view);
        if let Some(install) = &*self.install.lock() {
            install(Arc::clone(&inner.view));
        }
        self.changed.send_modify(|changes| *changes += 1);
    }
}

/// Logs that the store's revisions have started again since `known_revision`.
fn log_restore(known_revision: StoreRevision, fleet: &Fleet, source: &str) {
    let pairs: [(&str, &dyn fmt::Display); 4] = [
        ("source", &source),
        ("known_revision", &known_revision),
        ("revision", &fleet.revision()),
        ("generation", &fleet.routes().generation),
    ];
    event(Level::Warn, "store_restored", &pairs);
}

fn log_change(applied: AppliedChanges, fleet: &Fleet, now: Timestamp, source: &str) {
    let upstreams = fleet.current_upstreams(now).count();
    let history_ms = fleet.service_history().span(now).as_millis();
    let pairs: [(&str, &dyn fmt::Display); 7] = [
        ("source", &source),
        ("generation", &fleet.routes().generation),
        ("new_routes", &applied.routes),
        ("revision", &fleet.revision()),
        ("new_upstreams", &applied.upstreams),
        ("upstreams", &upstreams),
        ("history_ms", &history_ms),
    ];
    event(Level::Info, "view_changed", &pairs);
}
