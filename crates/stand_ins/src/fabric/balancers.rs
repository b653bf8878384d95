//! Live balancers, to which the fabric sprays packets.

use std::net::SocketAddr;
use std::sync::Arc;

use ntex::client::Client;
use ntex::time::{Millis, sleep};
use parking_lot::Mutex;
use plantainquay_schema::wire::platform::InstanceList;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const WATCH_TIMEOUT: Millis = Millis(35_000);
const RETRY_DELAY: Millis = Millis(100);

/// Live balancers and the random number generator that selects among them.
#[derive(Debug)]
pub(super) struct Balancers {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    live: Vec<SocketAddr>,
    rng: StdRng,
}

impl Balancers {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            inner: Mutex::new(Inner {
                live: Vec::new(),
                rng: StdRng::seed_from_u64(seed),
            }),
        }
    }

    /// Selects a random balancer and a random index below `source_count`.
    pub(super) fn choose(&self, source_count: usize) -> Option<(SocketAddr, usize)> {
        let mut inner = self.inner.lock();
        if inner.live.is_empty() {
            return None;
        }
        let count = inner.live.len();
        let index = inner.rng.random_range(0..count);
        let source_index = inner.rng.random_range(0..source_count);
        Some((inner.live[index], source_index))
    }

    /// Returns true with a probability of `percent` in 100.
    pub(super) fn random_bool(&self, percent: u32) -> bool {
        self.inner.lock().rng.random_range(0..100) < percent
    }

    fn set_live(&self, list: &InstanceList) {
        let balancers = list.instances.iter();
        let live = balancers.filter(|i| i.role == "balancer" && i.state == "live");
        self.inner.lock().live = live.filter_map(|i| i.tunnel.parse().ok()).collect();
    }
}

/// Updates the live balancers from the platform's list of instances by long polling.
pub(super) async fn watch_instances(address: SocketAddr, balancers: Arc<Balancers>) {
    let client = Client::new().await;
    let mut revision = String::new();
    loop {
        match fetch_instances(&client, address, &revision).await {
            Some((list, new_revision)) => {
                balancers.set_live(&list);
                revision = new_revision;
            }
            None => sleep(RETRY_DELAY).await,
        }
    }
}

async fn fetch_instances(
    client: &Client,
    address: SocketAddr,
    revision: &str,
) -> Option<(InstanceList, String)> {
    let request = client.get(format!("http://{address}/v1/instances"));
    let request = request
        .header("if-none-match", revision)
        .timeout(WATCH_TIMEOUT);
    let response = request.send().await.ok()?;
    let etag = response.header("etag")?.to_str().ok()?.to_owned();
    let body = response.body().await.ok()?;
    Some((serde_json::from_slice(&body).ok()?, etag))
}
