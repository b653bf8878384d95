//! Decision policies for a replay: the product's decisions and simpler baselines.

use std::fmt;

use plantainquay_core::agent::{AgentState, DropReason, Opening, ResetReason, Shard, Verdict};
use plantainquay_core::balancer::{self, Forward};
use plantainquay_core::{RouteMap, Segment, Timestamp, agent};
use plantainquay_schema::{Name, TunnelHeader, UpstreamNumber, UpstreamState};

use crate::processes::FlowCache;

type RouteFn = dyn Fn(&RouteMap, &mut FlowCache, &Segment) -> Result<Forward, balancer::DropReason>;
type OnPacketFn =
    dyn Fn(&AgentState<()>, &mut Shard<()>, Timestamp, &TunnelHeader, &Segment) -> Verdict;

/// Decisions that balancers and agents use in a replay.
pub struct Policy {
    /// Selects the agent for a packet at a balancer.
    pub(crate) route: Box<RouteFn>,
    /// Decides on a packet at an agent.
    pub(crate) on_packet: Box<OnPacketFn>,
    /// True if agents send messages to each other.
    pub(crate) exchanges_messages: bool,
    /// True if callers may echo the upstream tag in their timestamps.
    pub(crate) echoes_tags: bool,
}

impl Policy {
    /// The decisions of the daemon.
    #[must_use]
    pub fn product() -> Self {
        Self {
            route: Box::new(|routes, _, segment| balancer::route(routes, segment)),
            on_packet: Box::new(agent::on_packet),
            exchanges_messages: true,
            echoes_tags: true,
        }
    }

    /// The product without echoed tags.
    #[must_use]
    pub fn without_tags() -> Self {
        Self {
            echoes_tags: false,
            ..Self::product()
        }
    }

    /// The product without tags and without messages between agents; only the ranking is left.
    #[must_use]
    pub fn ranking_alone() -> Self {
        Self {
            exchanges_messages: false,
            ..Self::without_tags()
        }
    }

    /// Routing by the echoed tag, with agents that know only their own flows.
    #[must_use]
    pub fn tags_alone() -> Self {
        Self {
            on_packet: Box::new(own_flows_only),
            exchanges_messages: false,
            ..Self::product()
        }
    }

    /// Routing by the product's table, with agents that know only their own flows.
    #[must_use]
    pub fn table_alone() -> Self {
        Self {
            on_packet: Box::new(own_flows_only),
            ..Self::ranking_alone()
        }
    }

    /// Routing by flow hash modulo the number of serving upstreams.
    #[must_use]
    pub fn modulo() -> Self {
        Self {
            route: Box::new(|routes, _, segment| route_by_modulo(routes, segment)),
            ..Self::table_alone()
        }
    }

    /// Routing by the table, with a flow cache that each balancer keeps for itself.
    #[must_use]
    pub fn cache_alone() -> Self {
        Self {
            route: Box::new(route_with_cache),
            ..Self::table_alone()
        }
    }
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Policy")
            .field("exchanges_messages", &self.exchanges_messages)
            .finish_non_exhaustive()
    }
}

fn own_flows_only(
    state: &AgentState<()>,
    shard: &mut Shard<()>,
    _now: Timestamp,
    header: &TunnelHeader,
    segment: &Segment,
) -> Verdict {
    if header.service != state.config().service {
        return Verdict::Drop(DropReason::WrongService);
    }
    if shard
        .get_exact(segment.tuple.flow_id(), &segment.tuple)
        .is_some()
    {
        Verdict::Deliver
    } else if segment.opening {
        Verdict::Open(Opening::new(segment, Name::default()))
    } else {
        Verdict::Reset(ResetReason::UnknownFlow)
    }
}

fn route_by_modulo(routes: &RouteMap, segment: &Segment) -> Result<Forward, balancer::DropReason> {
    let destination = segment.tuple.destination;
    let route = routes
        .find(destination)
        .ok_or(balancer::DropReason::UnknownAddress)?;
    let upstreams = route.service.upstreams.iter();
    let serving: Vec<_> = upstreams
        .filter(|u| u.state == UpstreamState::Serving)
        .collect();
    let index = segment.tuple.flow_id().0.checked_rem(serving.len() as u64);
    let index = index.ok_or(balancer::DropReason::NoUpstream)?;
    let upstream = serving[usize::try_from(index).unwrap_or(0)];
    Ok(forward_to(routes, route, upstream.number))
}

fn route_with_cache(
    routes: &RouteMap,
    cache: &mut FlowCache,
    segment: &Segment,
) -> Result<Forward, balancer::DropReason> {
    let flow = segment.tuple.flow_id();
    let route = routes.find(segment.tuple.destination);
    if let (Some(route), Some(number)) = (route, cache.get(&flow).copied()) {
        return Ok(forward_to(routes, route, number));
    }
    let forward = balancer::route(routes, segment)?;
    cache.insert(flow, forward.upstream);
    Ok(forward)
}

fn forward_to(
    routes: &RouteMap,
    route: &plantainquay_core::ServiceRoute,
    number: UpstreamNumber,
) -> Forward {
    Forward {
        to: crate::documents::agent_address(route.service.name.as_str(), number),
        upstream: number,
        header: TunnelHeader {
            generation: routes.generation(),
            service: route.service.id,
            ..TunnelHeader::default()
        },
    }
}
