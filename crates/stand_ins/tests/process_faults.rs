//! Faults of separate processes, which callers must not notice.

use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use stand_ins::{BookingResult, Caller, Cluster, ClusterConfig, wait_status};
use tokio::task::JoinSet;

const FEEDS: usize = 24;
const SEED: u64 = 5;
/// Source addresses of callers of the document's first and second member.
const HOUSEHOLD: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);
const CREW: Ipv4Addr = Ipv4Addr::new(127, 0, 2, 1);
/// Limit on open flows of the member `crews` in the document.
const CREW_LIMIT: usize = 7;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Feeds that are followed until `stop` is set.
struct Feeds {
    tasks: JoinSet<anyhow::Result<()>>,
    ticks: Vec<Arc<AtomicU64>>,
    stop: Arc<AtomicBool>,
}

impl Feeds {
    /// Opens feeds and waits until each has received two ticks.
    async fn open(cluster: &Cluster) -> Self {
        let mut feeds = Self {
            tasks: JoinSet::new(),
            ticks: Vec::new(),
            stop: Arc::default(),
        };
        for _ in 0..FEEDS {
            let caller = caller(cluster, "flow", HOUSEHOLD);
            let ticks: Arc<AtomicU64> = Arc::default();
            let (tick_count, stop) = (Arc::clone(&ticks), Arc::clone(&feeds.stop));
            feeds.ticks.push(ticks);
            feeds.tasks.spawn(async move {
                let follow = caller.follow_feed(|progress| {
                    tick_count.store(progress.ticks, Ordering::Relaxed);
                    !stop.load(Ordering::Relaxed)
                });
                follow.await
            });
        }
        feeds.wait_ticks(2).await;
        feeds
    }

    /// Waits until each feed has received `additional` more ticks; a feed that ends fails the test.
    async fn wait_ticks(&mut self, additional: u64) {
        let current = |ticks: &Arc<AtomicU64>| ticks.load(Ordering::Relaxed);
        let targets: Vec<u64> = self
            .ticks
            .iter()
            .map(|ticks| current(ticks) + additional)
            .collect();
        while self
            .ticks
            .iter()
            .zip(&targets)
            .any(|(ticks, target)| current(ticks) < *target)
        {
            if let Some(ended) = self.tasks.try_join_next() {
                panic!("a feed ended: {ended:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn finish(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended
                .expect("the task did not panic")
                .expect("the feed is complete");
        }
    }
}

fn caller(cluster: &Cluster, mode: &str, source: Ipv4Addr) -> Caller {
    let listener = cluster.service_listeners.iter().find(|l| l.mode == mode);
    let listener = listener.expect("the document has such a listener");
    Caller {
        source: IpAddr::V4(source),
        target: listener.address,
        service: listener.service.clone(),
    }
}

async fn start_cluster(balancers: usize) -> Cluster {
    let config = ClusterConfig {
        document: Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/documents/small.yaml"),
        balancers,
        seed: SEED,
        program: PathBuf::from(env!("CARGO_BIN_EXE_stand_in")),
    };
    Cluster::start(&config).await.expect("the processes start")
}

/// SIGKILL: packets to the killed balancer are lost until the list of instances is updated.
#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_a_killed_balancer() {
    let mut cluster = start_cluster(3).await;
    let mut feeds = Feeds::open(&cluster).await;
    let mut killed = cluster.balancers.remove(0);
    killed.process.kill().expect("the balancer is killed");
    feeds.wait_ticks(3).await;
    cluster
        .publish_instances()
        .await
        .expect("the platform responds");
    feeds.wait_ticks(3).await;
    feeds.finish().await;
}

/// SIGSTOP and SIGCONT: a document moves buckets while an agent is paused.
#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_a_paused_agent() {
    let mut cluster = start_cluster(2).await;
    let mut feeds = Feeds::open(&cluster).await;
    cluster.agents[0]
        .process
        .pause()
        .expect("the agent is paused");
    cluster
        .set_state(1, "draining")
        .expect("there is a second upstream");
    cluster.publish().await.expect("the platform responds");
    let generation = cluster.document.generation;
    for daemon in cluster.balancers.iter().chain(&cluster.agents[1..]) {
        let in_force = wait_status(daemon, |status| status.generation >= generation).await;
        in_force.expect("the document is in force");
    }
    cluster.agents[0]
        .process
        .resume()
        .expect("the agent is resumed");
    let resumed = wait_status(&cluster.agents[0], |status| status.generation >= generation).await;
    resumed.expect("the resumed agent applies the document");
    feeds.wait_ticks(3).await;
    feeds.finish().await;
}

/// A paused balancer forwards none of its share of every flow's packets.
#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_a_paused_balancer() {
    let cluster = start_cluster(3).await;
    let mut feeds = Feeds::open(&cluster).await;
    cluster.balancers[1]
        .process
        .pause()
        .expect("the balancer is paused");
    feeds.wait_ticks(3).await;
    cluster.balancers[1]
        .process
        .resume()
        .expect("the balancer is resumed");
    feeds.wait_ticks(3).await;
    feeds.finish().await;
}

/// Platform down: the document in force stays, new flows open, and the next document is applied
/// after recovery.
#[tokio::test(flavor = "multi_thread")]
async fn everything_goes_on_while_the_platform_is_down() {
    let mut cluster = start_cluster(2).await;
    let mut feeds = Feeds::open(&cluster).await;
    cluster
        .set_platform_down(true)
        .await
        .expect("the platform responds");
    feeds.wait_ticks(3).await;
    let new_feeds = Feeds::open(&cluster).await;
    let booking = caller(&cluster, "request", HOUSEHOLD)
        .book("while-down")
        .await;
    assert_eq!(booking.expect("a response"), BookingResult::Confirmed);
    cluster
        .set_state(0, "draining")
        .expect("there is an upstream");
    cluster.publish().await.expect("the platform responds");
    cluster
        .set_platform_down(false)
        .await
        .expect("the platform responds");
    let generation = cluster.document.generation;
    for daemon in cluster.balancers.iter().chain(&cluster.agents) {
        let in_force = wait_status(daemon, |status| status.generation >= generation).await;
        in_force.expect("the document is in force");
    }
    feeds.wait_ticks(3).await;
    feeds.finish().await;
    new_feeds.finish().await;
}

/// SIGTERM on an agent: open feeds continue until they end, new ones go to other agents.
#[tokio::test(flavor = "multi_thread")]
async fn agent_that_is_asked_to_leave_finishes_its_feeds() {
    let mut cluster = start_cluster(2).await;
    let mut feeds = Feeds::open(&cluster).await;
    cluster.agents[0]
        .process
        .terminate()
        .expect("SIGTERM is sent");
    let leaving = wait_status(&cluster.agents[0], |status| status.leaving).await;
    leaving.expect("the agent reports that it is leaving");
    let before = stand_ins::fetch_status(cluster.agents[0].http)
        .await
        .expect("the agent responds");
    let mut new_feeds = Feeds::open(&cluster).await;
    feeds.wait_ticks(3).await;
    new_feeds.wait_ticks(3).await;
    let after = stand_ins::fetch_status(cluster.agents[0].http)
        .await
        .expect("the agent responds");
    assert!(
        after.open_flows <= before.open_flows,
        "a leaving agent accepted a new flow"
    );
    feeds.finish().await;
    new_feeds.finish().await;
    let ended = cluster.agents[0].process.wait_exit(Duration::from_mins(1));
    assert!(
        ended.expect("the process can be waited for"),
        "the agent exits once it is idle"
    );
}

/// A voted limit applies to all agents together, and its capacity is released when flows end.
#[tokio::test(flavor = "multi_thread")]
async fn open_flows_of_a_member_stay_within_its_limit() {
    let cluster = start_cluster(2).await;
    for _ in 0..2 {
        let started_feeds: Arc<AtomicU64> = Arc::default();
        let stop: Arc<AtomicBool> = Arc::default();
        let mut tasks = JoinSet::new();
        for _ in 0..FEEDS {
            let caller = caller(&cluster, "flow", CREW);
            let (started_feeds, stop) = (Arc::clone(&started_feeds), Arc::clone(&stop));
            tasks.spawn(async move {
                let follow = caller.follow_feed(|progress| {
                    started_feeds.fetch_add(u64::from(progress.ticks == 1), Ordering::Relaxed);
                    !stop.load(Ordering::Relaxed)
                });
                follow.await
            });
        }
        // Feeds beyond the limit are refused at once; the others continue.
        for _ in CREW_LIMIT..FEEDS {
            let refused = tasks.join_next().await.expect("there is a task");
            assert!(
                refused.expect("the task did not panic").is_err(),
                "a feed ended without an error"
            );
        }
        while started_feeds.load(Ordering::Relaxed) < CREW_LIMIT as u64 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        stop.store(true, Ordering::Relaxed);
        while let Some(ended) = tasks.join_next().await {
            ended
                .expect("the task did not panic")
                .expect("the feed is complete");
        }
        assert_eq!(started_feeds.load(Ordering::Relaxed), CREW_LIMIT as u64);
        for agent in &cluster.agents {
            let idle = wait_status(agent, |status| status.open_flows == 0).await;
            idle.expect("ended flows are released");
        }
    }
}

/// SIGKILL on an agent: once the list of instances no longer contains the agent, new flows go to
/// other agents without a new document.
#[tokio::test(flavor = "multi_thread")]
async fn new_flows_avoid_a_killed_agent() {
    let mut cluster = start_cluster(2).await;
    let mut killed = cluster.agents.remove(0);
    killed.process.kill().expect("the agent is killed");
    cluster
        .publish_instances()
        .await
        .expect("the platform responds");
    let mut feeds = Feeds::open(&cluster).await;
    feeds.wait_ticks(3).await;
    feeds.finish().await;
}
