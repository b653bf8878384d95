//! What a balancer does with a packet.
//!
//! A balancer holds no state of its own: the agent is named by the tag that the caller echoes, or
//! else by the table. It can lose its memory at any time without breaking a flow.

mod shard;

use std::net::SocketAddr;

use plantainquay_schema::{ServiceId, TunnelHeader, UpstreamNumber, UpstreamState};
use thiserror::Error;

pub use shard::{BalancerShard, Counters};

use crate::{RouteMap, Segment, ServiceRoute};

/// Where a packet goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward {
    /// The agent's tunnel.
    pub to: SocketAddr,
    /// The agent's upstream.
    pub upstream: UpstreamNumber,
    /// Header before the packet.
    pub header: TunnelHeader,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DropReason {
    /// No service has the destination's address and port.
    #[error("unknown_address")]
    UnknownAddress,
    /// No upstream of the service takes new work.
    #[error("no_upstream")]
    NoUpstream,
}

/// Names the agent for a packet.
///
/// # Errors
///
/// Returns why the packet is dropped; no packet is ever sent to a default service.
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

/// The upstream that the caller's echo names, if it is one of the service's.
fn tagged_upstream(route: &ServiceRoute, segment: &Segment) -> Option<UpstreamNumber> {
    let tag = segment.tag.filter(|_| !segment.opening)?;
    route.service.upstream(tag).map(|upstream| upstream.number)
}

fn owner(routes: &RouteMap, route: &ServiceRoute, segment: &Segment) -> Option<UpstreamNumber> {
    let flow = segment.tuple.flow_id();
    let ranking = || route.table.ranking(&route.service, flow);
    let Some(owner) = route.table.owner(flow) else {
        // All upstreams drain: open flows still have their place.
        return ranking().first().copied().filter(|_| !segment.opening);
    };
    // Nearly every packet ends here, without a look at the other upstreams.
    let upstream = route.service.upstream(owner);
    if upstream.is_some_and(|upstream| routes.is_live_agent(upstream.agent)) {
        return Some(owner);
    }
    let ejected = routes.ejected(&route.service);
    if !ejected.contains(&owner) {
        return Some(owner);
    }
    // Established packets follow the opening ones. An agent that doesn't hold their flow asks the
    // owner first, which may live although the list says otherwise.
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
