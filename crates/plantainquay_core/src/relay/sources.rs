//! Selection of the processes from which a process fetches changes.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use plantainquay_schema::Name;
use smallvec::SmallVec;

use crate::rendezvous::splitmix64;
use crate::{Fleet, Timestamp};

/// Number of processes that one source serves.
const PROCESSES_PER_SOURCE: usize = 64;
/// Minimum number of sources, so that another remains when one fails.
const MIN_SOURCES: usize = 2;
/// Sources that a process tries before it reads the store directly.
const MAX_SOURCES_TRIED: usize = 3;

/// Sources in the order of attempts.
pub type Sources = SmallVec<[SocketAddr; MAX_SOURCES_TRIED]>;

/// Returns the sources for the process at `own_ip`; empty if it must read the store directly.
///
/// Agents are the sources, since the store lists all of them. All processes of a data centre
/// compute the same ranking. A source reads the store, and others fetch the changes from it.
#[must_use]
pub fn choose_sources(
    fleet: &Fleet,
    now: Timestamp,
    own_ip: IpAddr,
    data_centre: &Name,
    port: u16,
) -> Sources {
    let mut seen = HashSet::new();
    let ready = fleet
        .current_upstreams(now)
        .filter(|upstream| !upstream.entry.draining);
    let mut agents: Vec<RankedAgent> = ready
        .filter(|upstream| seen.insert(upstream.entry.ip))
        .map(|upstream| RankedAgent {
            // Local agents rank first if there are enough of them to serve their data centre.
            is_remote: upstream.entry.data_centre != *data_centre,
            rank: splitmix64(u64::from(upstream.entry.ip.to_bits())),
            ip: upstream.entry.ip,
        })
        .collect();
    let local_agents = agents.iter().filter(|agent| !agent.is_remote).count();
    if local_agents < PROCESSES_PER_SOURCE {
        for agent in &mut agents {
            agent.is_remote = false;
        }
    }
    agents.sort_unstable();
    let source_count = agents.len().div_ceil(PROCESSES_PER_SOURCE).max(MIN_SOURCES);
    let source_agents = &agents[..agents.len().min(source_count)];
    if source_agents
        .iter()
        .any(|agent| IpAddr::V4(agent.ip) == own_ip)
    {
        return SmallVec::new();
    }
    let start = usize::try_from(splitmix64(ip_hash(own_ip)) >> 32).unwrap_or(0);
    let start = start.checked_rem(source_agents.len()).unwrap_or(0);
    let rotated = source_agents[start..].iter().chain(&source_agents[..start]);
    let other_agents = agents[source_agents.len()..]
        .iter()
        .filter(|agent| IpAddr::V4(agent.ip) != own_ip);
    let chosen = rotated.chain(other_agents).take(MAX_SOURCES_TRIED);
    chosen
        .map(|agent| SocketAddr::new(IpAddr::V4(agent.ip), port))
        .collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RankedAgent {
    is_remote: bool,
    rank: u64,
    ip: Ipv4Addr,
}

fn ip_hash(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => splitmix64(u64::try_from(ip.to_bits() >> 64).unwrap_or(0)),
    }
}
