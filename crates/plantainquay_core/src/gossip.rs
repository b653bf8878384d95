//! Dissemination of documents: selection of watchers and peers, and poll intervals.
//!
//! A few processes of each data centre watch the configuration service. The others receive new
//! documents from peers by gossip, and poll the service at a low rate that the whole fleet
//! shares.

use std::net::SocketAddr;
use std::time::Duration;

use plantainquay_schema::{Document, InForce, Instance, Name};
use smallvec::SmallVec;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Watchers in each data centre; several, since the list of instances may be stale.
pub const WATCHERS_PER_DATA_CENTRE: usize = 3;
/// Slow polls per second of the whole fleet.
pub const FLEET_POLLS_PER_SECOND: u32 = 300;
/// Number of peers to which a new document is pushed immediately.
pub const PUSH_FANOUT: usize = 3;
/// Divisor of the poll interval that gives the range of its jitter, which prevents synchronised
/// polls.
const JITTER_DIVISOR: u64 = 4;

/// Peers of one gossip round.
pub type Peers = SmallVec<[SocketAddr; PUSH_FANOUT]>;

/// Comparison of the documents in force in two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Both have the same document.
    Same,
    /// The other process's document replaces the own one.
    OtherIsNewer,
    /// The own document replaces the other process's.
    OwnIsNewer,
    /// The documents belong to different environments; neither replaces the other.
    OtherEnvironment,
}

/// Compares two documents in force by the rule of [`crate::DocumentState::offer`].
#[must_use]
pub fn compare(own: &InForce, other: &InForce) -> Comparison {
    let both_have_document = own.generation.0 > 0 && other.generation.0 > 0;
    if both_have_document && own.environment != other.environment {
        return Comparison::OtherEnvironment;
    }
    match (own.generation, own.digest).cmp(&(other.generation, other.digest)) {
        std::cmp::Ordering::Equal => Comparison::Same,
        std::cmp::Ordering::Less => Comparison::OtherIsNewer,
        std::cmp::Ordering::Greater => Comparison::OwnIsNewer,
    }
}

/// Returns true if `own_name` ranks among the watchers of its data centre, by rendezvous hash over
/// the instances that are not leaving.
///
/// An instance that isn't listed yet watches, since other processes may not know of it.
#[must_use]
pub fn is_watcher(own_name: &Name, data_centre: &Name, instances: &[Instance]) -> bool {
    let in_data_centre = || {
        instances
            .iter()
            .filter(|i| i.data_centre == *data_centre && !i.leaving)
    };
    if !in_data_centre().any(|i| i.name == *own_name) {
        return true;
    }
    let rank = |name: &Name| xxh3_64(name.as_str().as_bytes());
    let own_rank = (rank(own_name), own_name);
    let ranked_before = in_data_centre().filter(|i| (rank(&i.name), &i.name) < own_rank);
    ranked_before.count() < WATCHERS_PER_DATA_CENTRE
}

/// Returns the time until the next slow poll: `min_interval`, or more if the instances would
/// otherwise exceed [`FLEET_POLLS_PER_SECOND`], with jitter.
#[must_use]
pub fn poll_interval(instances: usize, min_interval: Duration, seed: u64) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    let fleet_interval = Duration::from_secs(instances.into()) / FLEET_POLLS_PER_SECOND;
    let mean = fleet_interval.max(min_interval);
    let micros = u64::try_from(mean.as_micros()).unwrap_or(u64::MAX);
    let jitter_range = (micros / JITTER_DIVISOR).max(1);
    let jitter = xxh3_64(&seed.to_le_bytes()) % jitter_range;
    Duration::from_micros(micros - jitter_range / 2 + jitter)
}

/// Chooses up to `count` random peers among the agents of `document` and the listed `instances`.
#[must_use]
pub fn random_peers(
    document: Option<&Document>,
    instances: &[Instance],
    own_address: SocketAddr,
    seed: u64,
    count: usize,
) -> Peers {
    let agent_addresses = document
        .into_iter()
        .flat_map(|d| &d.services)
        .flat_map(|s| &s.upstreams);
    let agent_addresses: Vec<SocketAddr> = agent_addresses.map(|u| u.agent).collect();
    let instance_addresses: Vec<SocketAddr> = instances.iter().map(|i| i.tunnel).collect();
    let candidate_count = agent_addresses.len() + instance_addresses.len();
    let mut chosen = Peers::new();
    // A draw may select a peer again, or this process; the number of draws is bounded.
    for draw in 0..4 * count as u64 {
        let hash = xxh3_64_with_seed(&draw.to_le_bytes(), seed);
        let Some(index) = usize::try_from(hash >> 32)
            .unwrap_or(0)
            .checked_rem(candidate_count)
        else {
            break;
        };
        let peer = agent_addresses
            .get(index)
            .unwrap_or_else(|| &instance_addresses[index - agent_addresses.len()]);
        if *peer != own_address && !chosen.contains(peer) && chosen.len() < count {
            chosen.push(*peer);
        }
    }
    chosen
}
