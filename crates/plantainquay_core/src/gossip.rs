//! How documents spread: who watches the configuration service, and who tells whom.
//!
//! A few processes of each data centre watch the service. The others hear of a new document from
//! their peers within moments, and poll the service themselves only now and then, at a rate that
//! the whole fleet shares.

use std::net::SocketAddr;
use std::time::Duration;

use plantainquay_schema::{Document, InForce, Instance, Name};
use smallvec::SmallVec;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Watchers in each data centre; more than one, since the list of instances lags.
pub const WATCHERS_PER_DATA_CENTRE: usize = 3;
/// Slow polls a second of the whole fleet together.
pub const FLEET_POLLS_PER_SECOND: u32 = 300;
/// Peers that are told of a new document at once.
pub const PUSH_FANOUT: usize = 3;
/// Spread of a poll's interval, as a share of it, so that polls don't fall together.
const JITTER_DIVISOR: u64 = 4;

/// Peers of one round.
pub type Peers = SmallVec<[SocketAddr; PUSH_FANOUT]>;

/// What two processes do about the documents that they have in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Both have the same one.
    Same,
    /// The other's replaces the own one.
    OtherIsNewer,
    /// The own one replaces the other's.
    OwnIsNewer,
    /// They belong to different environments and have nothing to say to each other.
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

/// Whether `own` is one of its data centre's watchers, by rendezvous hash over the live instances.
///
/// An instance that the list doesn't name yet watches, since nobody may know of it.
#[must_use]
pub fn is_watcher(own: &Name, data_centre: &Name, instances: &[Instance]) -> bool {
    let in_data_centre = || {
        instances
            .iter()
            .filter(|i| i.data_centre == *data_centre && !i.leaving)
    };
    if !in_data_centre().any(|i| i.name == *own) {
        return true;
    }
    let rank = |name: &Name| xxh3_64(name.as_str().as_bytes());
    let own_rank = (rank(own), own);
    let ranked_before = in_data_centre().filter(|i| (rank(&i.name), &i.name) < own_rank);
    ranked_before.count() < WATCHERS_PER_DATA_CENTRE
}

/// Time until the next slow poll: at least `min_interval`, and longer the more instances share the
/// fleet's rate.
#[must_use]
pub fn poll_interval(instances: usize, min_interval: Duration, seed: u64) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    let fleet_interval = Duration::from_secs(instances.into()) / FLEET_POLLS_PER_SECOND;
    let mean = fleet_interval.max(min_interval);
    let micros = u64::try_from(mean.as_micros()).unwrap_or(u64::MAX);
    let spread = (micros / JITTER_DIVISOR).max(1);
    let jitter = xxh3_64(&seed.to_le_bytes()) % spread;
    Duration::from_micros(micros - spread / 2 + jitter)
}

/// Random peers: agents of the document in force, and instances of the platform's list.
#[must_use]
pub fn random_peers(
    document: Option<&Document>,
    instances: &[Instance],
    own: SocketAddr,
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
    // Draws that hit a peer twice, or this process, are not repeated for ever.
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
        if *peer != own && !chosen.contains(peer) && chosen.len() < count {
            chosen.push(*peer);
        }
    }
    chosen
}
