//! Steps of the demo.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Result;
use stand_ins::{Cluster, ClusterConfig};

use crate::load::{Counts, Load};
use crate::options::Options;
use crate::summary::{Summary, imbalance};

const STEP_INTERVAL: Duration = Duration::from_secs(2);
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs all steps; returns the summary.
pub(crate) async fn run(options: &Options) -> Result<Summary> {
    println!("starting processes");
    let config = ClusterConfig {
        document: options.document.clone(),
        balancers: options.balancers,
        seed: options.seed,
        program: std::env::current_exe()?,
    };
    let mut cluster = Cluster::start(&config).await?;
    println!("logs in {}", cluster.run_dir().display());
    let load = Load::start(&cluster.service_listeners, options.flows);
    load.wait_for_feeds(options.flows).await;
    let imbalance = imbalance(&load.counts.feeds.lock(), &upstream_counts(&cluster));
    println!("{} feeds are open", options.flows);
    tokio::time::sleep(STEP_INTERVAL).await;

    stop_balancer(&mut cluster).await?;
    tokio::time::sleep(STEP_INTERVAL).await;

    println!("starting another balancer");
    cluster.start_balancer()?;
    cluster.wait_ready().await?;
    cluster.publish_instances().await?;
    tokio::time::sleep(STEP_INTERVAL).await;

    let mut in_force_after = drain_upstream(&mut cluster).await?;
    tokio::time::sleep(STEP_INTERVAL).await;
    in_force_after = in_force_after.max(undrain_upstream(&mut cluster).await?);
    if options.changes_per_second > 0 {
        in_force_after = in_force_after.max(publish_changes(&mut cluster, options).await?);
    }
    tokio::time::sleep(STEP_INTERVAL).await;

    println!("stopping the load");
    let counts = load.finish().await;
    summarise(&cluster, &counts, imbalance, in_force_after).await
}

fn upstream_counts(cluster: &Cluster) -> HashMap<String, usize> {
    let services = cluster.document.services.iter();
    services
        .map(|s| (s.name.clone(), s.upstreams.len()))
        .collect()
}

/// Stops a balancer as an operator does: marks it as leaving in the list of instances, then sends
/// SIGTERM.
async fn stop_balancer(cluster: &mut Cluster) -> Result<()> {
    let name = cluster.balancers[0].process.name().to_owned();
    println!("stopping {name}");
    "leaving".clone_into(&mut cluster.balancers[0].instance.state);
    cluster.publish_instances().await?;
    let mut leaving = cluster.balancers.remove(0);
    leaving.process.terminate()?;
    let stopped = tokio::task::spawn_blocking(move || leaving.process.wait_exit(STOP_TIMEOUT));
    anyhow::ensure!(stopped.await??, "{name} did not stop");
    cluster.publish_instances().await
}

async fn drain_upstream(cluster: &mut Cluster) -> Result<Duration> {
    cluster.set_state(0, "draining")?;
    let elapsed = cluster.publish_and_wait().await?;
    println!(
        "upstream is draining, in force after {} ms",
        elapsed.as_millis()
    );
    Ok(elapsed)
}

async fn undrain_upstream(cluster: &mut Cluster) -> Result<Duration> {
    cluster.set_state(0, "serving")?;
    let elapsed = cluster.publish_and_wait().await?;
    println!(
        "upstream is serving again, in force after {} ms",
        elapsed.as_millis()
    );
    Ok(elapsed)
}

/// Drains and restores one upstream after the other at the requested rate of changes.
async fn publish_changes(cluster: &mut Cluster, options: &Options) -> Result<Duration> {
    let changes = u64::from(options.changes_per_second) * options.seconds;
    let interval = Duration::from_secs(1) / options.changes_per_second;
    println!(
        "publishing {changes} changes, {} per second",
        options.changes_per_second
    );
    let upstreams = cluster
        .document
        .facts
        .as_ref()
        .map_or(0, |facts| facts.upstreams.len());
    let mut timer = tokio::time::interval(interval);
    let mut draining = None;
    for change in 0..changes {
        timer.tick().await;
        if let Some(index) = draining.take() {
            cluster.set_state(index, "serving")?;
        } else {
            let index = usize::try_from(change / 2).unwrap_or(0) % upstreams;
            cluster.set_state(index, "draining")?;
            draining = Some(index);
        }
        cluster.publish().await?;
    }
    cluster.publish_and_wait().await
}

async fn summarise(
    cluster: &Cluster,
    counts: &Counts,
    imbalance: f64,
    in_force_after: Duration,
) -> Result<Summary> {
    let ledgers = cluster.ledgers().await?;
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for ledger in &ledgers {
        for (id, count) in &ledger.runs {
            *runs.entry(id).or_default() += count;
        }
    }
    let run_ids: HashSet<&str> = runs.keys().copied().collect();
    let not_run_ids = counts.not_run_ids.lock();
    let misreported = not_run_ids
        .iter()
        .filter(|id| run_ids.contains(id.as_str()))
        .count();
    println!(
        "bookings reported as not run: {} ({misreported} of them ran), unknown outcome: {}",
        not_run_ids.len(),
        counts.unknown.load(Ordering::Relaxed)
    );
    Ok(Summary {
        flows: counts.flows.load(Ordering::Relaxed),
        failed: counts.failed.load(Ordering::Relaxed),
        bookings: counts.bookings.load(Ordering::Relaxed),
        doubled: runs.values().filter(|count| **count > 1).count() as u64,
        misdelivered: ledgers.iter().map(|ledger| ledger.misdelivered).sum(),
        imbalance,
        in_force_after,
    })
}
