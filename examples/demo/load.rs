//! Load of the demo: callers, and counts of their operations and failures.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use stand_ins::{BookingResult, Caller, ServiceListener};
use tokio::task::JoinSet;

/// Time between two bookings, or between two downloads, at one listener.
const BOOKING_INTERVAL: Duration = Duration::from_millis(20);
const DOWNLOAD_INTERVAL: Duration = Duration::from_millis(100);
const DOWNLOAD_BYTES: usize = 300_000;

/// Counters that all callers share.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) flows: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) bookings: AtomicU64,
    pub(crate) not_run: AtomicU64,
    pub(crate) unknown: AtomicU64,
    /// Number of feeds that have received a tick, by service and upstream.
    pub(crate) feeds: Mutex<HashMap<(String, u32), u64>>,
    /// Ids of bookings whose response says that they did not run.
    pub(crate) not_run_ids: Mutex<Vec<String>>,
    stop: AtomicBool,
}

/// Running callers and their counters.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) counts: Arc<Counts>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Opens `flows` feeds at the listeners in `flow` mode; starts bookings or downloads at each
    /// listener.
    pub(crate) fn start(listeners: &[ServiceListener], flows: usize) -> Self {
        let mut load = Self {
            counts: Arc::default(),
            tasks: JoinSet::new(),
        };
        load.open_feeds(listeners, flows);
        for listener in listeners {
            let counts = Arc::clone(&load.counts);
            let caller = caller(listener, 0);
            if listener.mode == "request" {
                load.tasks.spawn(run_bookings(caller, counts));
            } else {
                load.tasks.spawn(run_downloads(caller, counts));
            }
        }
        load
    }

    fn open_feeds(&mut self, listeners: &[ServiceListener], flows: usize) {
        let flow_listeners: Vec<&ServiceListener> =
            listeners.iter().filter(|l| l.mode == "flow").collect();
        for i in 0..flows {
            let listener = flow_listeners[i % flow_listeners.len()];
            let counts = Arc::clone(&self.counts);
            self.tasks.spawn(run_feed(caller(listener, i), counts));
        }
    }

    /// Waits until `flows` feeds have received a tick, up to a timeout.
    pub(crate) async fn wait_for_feeds(&self, flows: usize) {
        const CHECK_INTERVAL: Duration = Duration::from_millis(20);
        const MAX_CHECKS: usize = 500;
        for _ in 0..MAX_CHECKS {
            let open_feeds: u64 = self.counts.feeds.lock().values().sum();
            if open_feeds >= flows as u64 {
                return;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Stops the load and waits for operations in progress.
    pub(crate) async fn finish(mut self) -> Arc<Counts> {
        self.counts.stop.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        self.counts
    }
}

fn caller(listener: &ServiceListener, index: usize) -> Caller {
    let member = u8::try_from(index % 2 + 1).unwrap_or(1);
    let host = u8::try_from(index / 2 % 250 + 1).unwrap_or(1);
    Caller {
        source: IpAddr::V4(Ipv4Addr::new(127, 0, member, host)),
        target: listener.address,
        service: listener.service.clone(),
    }
}

async fn run_feed(caller: Caller, counts: Arc<Counts>) {
    counts.flows.fetch_add(1, Ordering::Relaxed);
    let mut feed_key = None;
    let result = caller
        .follow_feed(|progress| {
            if feed_key.is_none() {
                let key = (caller.service.clone(), progress.upstream);
                *counts.feeds.lock().entry(key.clone()).or_default() += 1;
                feed_key = Some(key);
            }
            !counts.stop.load(Ordering::Relaxed)
        })
        .await;
    record_failure(&caller, "feed", result, &counts);
}

async fn run_downloads(caller: Caller, counts: Arc<Counts>) {
    while !counts.stop.load(Ordering::Relaxed) {
        counts.flows.fetch_add(1, Ordering::Relaxed);
        let result = caller.download(DOWNLOAD_BYTES).await;
        record_failure(&caller, "download", result, &counts);
        tokio::time::sleep(DOWNLOAD_INTERVAL).await;
    }
}

async fn run_bookings(caller: Caller, counts: Arc<Counts>) {
    let mut number = 0;
    let mut running = JoinSet::new();
    while !counts.stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{}-{number}", caller.service);
        let (caller, counts) = (caller.clone(), Arc::clone(&counts));
        running.spawn(async move { book(&caller, &id, &counts).await });
        tokio::time::sleep(BOOKING_INTERVAL).await;
    }
    while running.join_next().await.is_some() {}
}

async fn book(caller: &Caller, id: &str, counts: &Counts) {
    counts.bookings.fetch_add(1, Ordering::Relaxed);
    match caller.book(id).await {
        Ok(BookingResult::Confirmed) => {}
        Ok(BookingResult::NotRun) => {
            counts.not_run.fetch_add(1, Ordering::Relaxed);
            counts.not_run_ids.lock().push(id.to_owned());
        }
        Ok(BookingResult::Unknown) => {
            counts.unknown.fetch_add(1, Ordering::Relaxed);
        }
        Err(error) => record_failure(caller, id, Err(error), counts),
    }
}

fn record_failure(caller: &Caller, operation: &str, result: anyhow::Result<()>, counts: &Counts) {
    if let Err(error) = result {
        counts.failed.fetch_add(1, Ordering::Relaxed);
        println!("{operation} of {} failed: {error:#}", caller.service);
    }
}
