//! What a process knows of routes and upstreams, shared by its threads.

use std::fmt;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use log::Level;
use parking_lot::Mutex;
use plantainquay_core::relay::RelayView;
use plantainquay_core::{Applied, Asker, Fleet, Timestamp};
use plantainquay_schema::Changes;
use tokio::sync::watch;

use crate::{Clock, event};

/// Puts a view in force.
pub type InstallView = Box<dyn Fn(Arc<RelayView>) + Send + Sync>;

/// What a process knows, and who is told when it changes.
pub struct FleetState {
    inner: Mutex<Inner>,
    install: Mutex<Option<InstallView>>,
    /// Whether neither the store nor another process tells what is in force.
    is_cut_off: AtomicBool,
    /// Rises with each change.
    changed: watch::Sender<u64>,
    /// Time from the start of the process to the first view that is known to be current.
    start_to_ready: OnceLock<Duration>,
    peer_port: u16,
    clock: Clock,
}

#[derive(Default)]
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
    /// A process that knows nothing yet; other processes take messages on `peer_port`.
    #[must_use]
    pub fn new(peer_port: u16, clock: Clock) -> Self {
        Self {
            inner: Mutex::default(),
            install: Mutex::new(None),
            is_cut_off: AtomicBool::new(true),
            changed: watch::Sender::new(0),
            start_to_ready: OnceLock::new(),
            peer_port,
            clock,
        }
    }

    /// Names the receiver of views.
    pub fn set_install_view(&self, install: InstallView) {
        *self.install.lock() = Some(install);
    }

    /// Takes in changes from the store or from another process.
    pub fn apply(&self, changes: Changes, source: &str) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let applied = inner.fleet.apply(now, changes);
        let is_first_confirmed = inner.fleet.age(now).is_some() && !inner.view.is_confirmed();
        if applied != Applied::default() || is_first_confirmed {
            self.install(now, &mut inner);
            log_change(applied, &inner.fleet, now, source);
            if inner.view.is_current() {
                self.record_ready(now);
            }
        }
    }

    /// Whether routes and upstreams were ever known to be current; once they were, what is known
    /// serves even while the store is away.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.start_to_ready.get().is_some()
    }

    /// Time from the start of the process until it was ready.
    #[must_use]
    pub fn start_to_ready(&self) -> Option<Duration> {
        self.start_to_ready.get().copied()
    }

    fn record_ready(&self, now: Timestamp) {
        let after = now.since(Timestamp::default());
        if self.start_to_ready.set(after).is_ok() {
            let after_ms = after.as_millis();
            event(Level::Info, "ready", &[("after_ms", &after_ms)]);
        }
    }

    /// Forgets upstreams that left long ago.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let last = std::mem::replace(&mut inner.last_expiry, now);
        if inner.fleet.expire(now, last) {
            self.install(now, &mut inner);
        }
    }

    /// The present time on the process's clock.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Looks at the state.
    pub fn with_fleet<R>(&self, f: impl FnOnce(&Fleet) -> R) -> R {
        f(&self.inner.lock().fleet)
    }

    /// Time since the state was last confirmed; none when it never was.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.with_fleet(|fleet| fleet.age(now))
    }

    /// The view in force.
    #[must_use]
    pub fn view(&self) -> Arc<RelayView> {
        Arc::clone(&self.inner.lock().view)
    }

    /// Everything that is newer than what an asker has.
    #[must_use]
    pub fn changes_since(&self, asker: Asker) -> Changes {
        let now = self.clock.now();
        let changes = self.with_fleet(|fleet| fleet.changes_since(now, asker));
        Changes {
            is_cut_off: self.is_cut_off(),
            ..changes
        }
    }

    /// Whether neither the store nor another process tells what is in force.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off.load(Ordering::Relaxed)
    }

    /// Notes whether the process hears what is in force; askers are told of a change at once.
    pub fn set_cut_off(&self, is_cut_off: bool) {
        if self.is_cut_off.swap(is_cut_off, Ordering::Relaxed) != is_cut_off {
            self.changed.send_modify(|changes| *changes += 1);
        }
    }

    /// Tells of each change from now on.
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

fn log_change(applied: Applied, fleet: &Fleet, now: Timestamp, source: &str) {
    let upstreams = fleet.current(now).count();
    let pairs: [(&str, &dyn fmt::Display); 6] = [
        ("source", &source),
        ("generation", &fleet.routes().generation),
        ("new_routes", &applied.routes),
        ("revision", &fleet.revision()),
        ("new_upstreams", &applied.upstreams),
        ("upstreams", &upstreams),
    ];
    event(Level::Info, "view_changed", &pairs);
}
