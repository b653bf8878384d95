//! Callers of the demo and what they count.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use stand_ins::{BookingResult, Caller, ServiceListener};
use tokio::task::JoinSet;

/// Time between two bookings, or two downloads, of one entrance.
const BOOKING_INTERVAL: Duration = Duration::from_millis(20);
const DOWNLOAD_INTERVAL: Duration = Duration::from_millis(100);
const DOWNLOAD_BYTES: usize = 300_000;

/// What the callers count.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) flows: AtomicU64,
    pub(crate) broken: AtomicU64,
    pub(crate) bookings: AtomicU64,
    pub(crate) not_run: AtomicU64,
    pub(crate) unknown: AtomicU64,
    /// Feeds that tick at the moment, by service and upstream.
    pub(crate) feeds: Mutex<HashMap<(String, u32), u64>>,
    /// Bookings that callers were told did not run.
    pub(crate) not_run_ids: Mutex<Vec<String>>,
    stop: AtomicBool,
}

/// The running callers.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) counts: Arc<Counts>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Opens `flows` feeds over the `flow` entrances and starts the other callers.
    pub(crate) fn start(entrances: &[ServiceListener], flows: usize) -> Self {
        let mut load = Self {
            counts: Arc::default(),
            tasks: JoinSet::new(),
        };
        load.open_feeds(entrances, flows);
        for entrance in entrances {
            let counts = Arc::clone(&load.counts);
            let caller = caller(entrance, 0);
            if entrance.mode == "request" {
                load.tasks.spawn(keep_booking(caller, counts));
            } else {
                load.tasks.spawn(keep_downloading(caller, counts));
            }
        }
        load
    }

    fn open_feeds(&mut self, entrances: &[ServiceListener], flows: usize) {
        let of_feeds: Vec<&ServiceListener> =
            entrances.iter().filter(|e| e.mode == "flow").collect();
        for i in 0..flows {
            let entrance = of_feeds[i % of_feeds.len()];
            let counts = Arc::clone(&self.counts);
            self.tasks.spawn(keep_feed(caller(entrance, i), counts));
        }
    }

    /// Waits until `flows` feeds tick.
    pub(crate) async fn wait_feeds(&self, flows: usize) {
        const CHECK: Duration = Duration::from_millis(20);
        const LONGEST_CHECKS: usize = 500;
        for _ in 0..LONGEST_CHECKS {
            let ticking: u64 = self.counts.feeds.lock().values().sum();
            if ticking >= flows as u64 {
                return;
            }
            tokio::time::sleep(CHECK).await;
        }
    }

    /// Lets every caller finish what it is at.
    pub(crate) async fn finish(mut self) -> Arc<Counts> {
        self.counts.stop.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        self.counts
    }
}

fn caller(entrance: &ServiceListener, index: usize) -> Caller {
    let member = u8::try_from(index % 2 + 1).unwrap_or(1);
    let host = u8::try_from(index / 2 % 250 + 1).unwrap_or(1);
    Caller {
        source: IpAddr::V4(Ipv4Addr::new(127, 0, member, host)),
        target: entrance.address,
        service: entrance.service.clone(),
    }
}

async fn keep_feed(caller: Caller, counts: Arc<Counts>) {
    counts.flows.fetch_add(1, Ordering::Relaxed);
    let mut counted = None;
    let result = caller
        .follow_feed(|report| {
            if counted.is_none() {
                let key = (caller.service.clone(), report.upstream);
                *counts.feeds.lock().entry(key.clone()).or_default() += 1;
                counted = Some(key);
            }
            !counts.stop.load(Ordering::Relaxed)
        })
        .await;
    note_flow(&caller, "feed", result, &counts);
}

async fn keep_downloading(caller: Caller, counts: Arc<Counts>) {
    while !counts.stop.load(Ordering::Relaxed) {
        counts.flows.fetch_add(1, Ordering::Relaxed);
        let result = caller.download(DOWNLOAD_BYTES).await;
        note_flow(&caller, "download", result, &counts);
        tokio::time::sleep(DOWNLOAD_INTERVAL).await;
    }
}

async fn keep_booking(caller: Caller, counts: Arc<Counts>) {
    let mut n = 0;
    let mut running = JoinSet::new();
    while !counts.stop.load(Ordering::Relaxed) {
        n += 1;
        let id = format!("{}-{n}", caller.service);
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
        Err(error) => note_flow(caller, id, Err(error), counts),
    }
}

fn note_flow(caller: &Caller, what: &str, result: anyhow::Result<()>, counts: &Counts) {
    if let Err(error) = result {
        counts.broken.fetch_add(1, Ordering::Relaxed);
        println!("broken {what} of {}: {error:#}", caller.service);
    }
}
