//! Packet decisions of a balancer.
//!
//! A balancer keeps no per-flow state: it selects the agent by the tag that the caller echoes, or
//! else by the bucket table. A restart of a balancer therefore breaks no flow.

mod shard;

use std::net::SocketAddr;

use plantainquay_schema::{ServiceId, TunnelHeader, UpstreamNumber, UpstreamState};
use thiserror::Error;

pub use shard::{BalancerShard, Counters};

use crate::{RouteMap, Segment, ServiceRoute};

/// Destination of a forwarded packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward {
    /// Tunnel address of the agent.
    pub to: SocketAddr,
    /// Upstream of the agent.
    pub upstream: UpstreamNumber,
    /// Tunnel header that precedes the packet.
    pub header: TunnelHeader,
}

/// Reason for dropping a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum DropReason {
    /// No service has the packet's destination address and port.
    #[error("unknown_address")]
    UnknownAddress,
    /// No upstream of the service accepts the packet.
    #[error("no_upstream")]
    NoUpstream,
}

/// Selects the agent for a packet.
///
/// # Errors
///
/// Returns the reason for dropping the packet; there is no default service.
pub fn route(routes: &RouteMap, segment: &Segment) -> Result<Forward, DropReason> {
    let destination = segment.tuple.destination;
    let route = routes.find(destination).ok_or(DropReason::UnknownAddress)?;
    let number = tagged_upstream(route, segment)
        .or_else(|| owner(routes, route, segment))
        .ok_or(DropReason::NoUpstream)?;
    let upstream = route
        .service
        .upstream(number)
        .ok_or(DropReason::NoUpstream)?;
    Ok(Forward {
        to: upstream.agent,
        upstream: number,
        header: header(routes, route.service.id),
    })
}

/// Returns the upstream named by the echoed tag, if it belongs to the service.
fn tagged_upstream(route: &ServiceRoute, segment: &Segment) -> Option<UpstreamNumber> {
    let tag = segment.tag.filter(|_| !segment.opening)?;
    route.service.upstream(tag).map(|upstream| upstream.number)
}

fn owner(routes: &RouteMap, route: &ServiceRoute, segment: &Segment) -> Option<UpstreamNumber> {
    let flow = segment.tuple.flow_id();
    let ranking = || route.table.ranking(&route.service, flow);
    let Some(owner) = route.table.owner(flow) else {
        // All upstreams are draining; packets of open flows are still routed.
        return ranking().first().copied().filter(|_| !segment.opening);
    };
    // Fast path for nearly every packet: the other upstreams aren't checked.
    let upstream = route.service.upstream(owner);
    if upstream.is_some_and(|upstream| routes.is_live_agent(upstream.agent)) {
        return Some(owner);
    }
    let ejected = routes.ejected(&route.service);
    if !ejected.contains(&owner) {
        return Some(owner);
    }
    // Packets of established flows take the same route as opening packets. An agent that doesn't
    // hold the flow forwards the packet to the owner first, which may be alive although the list
    // doesn't contain it.
    let serves = |number: &UpstreamNumber| {
        let upstream = route.service.upstream(*number);
        upstream.is_some_and(|u| u.state == UpstreamState::Serving) && !ejected.contains(number)
    };
    ranking().into_iter().find(serves).or(Some(owner))
}

fn header(routes: &RouteMap, service: ServiceId) -> TunnelHeader {
    TunnelHeader {
        generation: routes.generation(),
        service,
        ..TunnelHeader::default()
    }
}
