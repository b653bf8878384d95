//! Which processes a process hears of changes from.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use plantainquay_schema::Name;
use smallvec::SmallVec;

use crate::rendezvous::splitmix64;
use crate::{Fleet, Timestamp};

/// Processes that hear of changes from one source.
const FAN_OUT: usize = 64;
/// Sources at least, so that the loss of one leaves another.
const MIN_SOURCES: usize = 2;
/// Sources that a process tries before it reads the store itself.
const TRIED: usize = 3;

/// Sources in the order in which they are tried.
pub type Sources = SmallVec<[SocketAddr; TRIED]>;

/// The sources that the process on `own` tries, in order; empty when it is to read the store.
///
/// Agents are the sources, since the store names every one of them. Each process computes the same
/// ranking within a data centre; whoever is asked reads the store on behalf of the askers.
#[must_use]
pub fn sources(
    fleet: &Fleet,
    now: Timestamp,
    own: IpAddr,
    data_centre: &Name,
    port: u16,
) -> Sources {
    let mut seen = HashSet::new();
    let ready = fleet.current(now).filter(|known| !known.entry.draining);
    let mut agents: Vec<Agent> = ready
        .filter(|known| seen.insert(known.entry.ip))
        .map(|known| Agent {
            // Agents of the own data centre go first where it can feed its processes alone.
            is_remote: known.entry.data_centre != *data_centre,
            rank: splitmix64(u64::from(known.entry.ip.to_bits())),
            ip: known.entry.ip,
        })
        .collect();
    let local = agents.iter().filter(|agent| !agent.is_remote).count();
    if local < FAN_OUT {
        for agent in &mut agents {
            agent.is_remote = false;
        }
    }
    agents.sort_unstable();
    let serving = agents.len().div_ceil(FAN_OUT).max(MIN_SOURCES);
    let ahead = &agents[..agents.len().min(serving)];
    if ahead.iter().any(|agent| IpAddr::V4(agent.ip) == own) {
        return SmallVec::new();
    }
    let first = usize::try_from(splitmix64(own_hash(own)) >> 32).unwrap_or(0);
    let first = first.checked_rem(ahead.len()).unwrap_or(0);
    let rotated = ahead[first..].iter().chain(&ahead[..first]);
    let rest = agents[ahead.len()..]
        .iter()
        .filter(|agent| IpAddr::V4(agent.ip) != own);
    let chosen = rotated.chain(rest).take(TRIED);
    chosen
        .map(|agent| SocketAddr::new(IpAddr::V4(agent.ip), port))
        .collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Agent {
    is_remote: bool,
    rank: u64,
    ip: Ipv4Addr,
}

fn own_hash(own: IpAddr) -> u64 {
    match own {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => splitmix64(u64::try_from(ip.to_bits() >> 64).unwrap_or(0)),
    }
}
