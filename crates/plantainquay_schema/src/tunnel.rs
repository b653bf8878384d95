//! The tunnel's header.

use smallvec::SmallVec;
use thiserror::Error;

use crate::{Generation, ServiceId, UpstreamNumber, wire};

/// Upstreams asked for a flow, in order.
pub type TriedUpstreams = SmallVec<[UpstreamNumber; 4]>;

/// Longest list of asked upstreams that a header may carry.
const MAX_TRIED: usize = 8;

/// Header of one packet between balancers and agents.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TunnelHeader {
    /// Generation that the sender had in force.
    pub generation: Generation,
    /// Service that the packet is meant for.
    pub service: ServiceId,
    /// Upstreams asked so far; each agent that passes the packet on adds itself.
    pub tried: TriedUpstreams,
    /// The agent that passed the packet on, if it was one.
    pub from: Option<UpstreamNumber>,
    /// Load of that agent.
    pub load: Option<Load>,
    /// Whether the sender placed this opening packet on the receiver.
    pub placed: bool,
}

/// Load of one agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Flows open now.
    pub open_flows: u32,
    /// Flows that the agent takes at most now.
    pub capacity: u32,
    /// Whether new flows are taken at all.
    pub accepting: bool,
}

/// A header that can't be understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TunnelError {
    /// An upstream number is out of range.
    #[error("upstream number {0} is out of range")]
    UpstreamNumber(u32),
    /// More upstreams were asked than any chain holds.
    #[error("{0} upstreams tried, more than any chain holds")]
    TooManyTried(usize),
}

impl From<&TunnelHeader> for wire::tunnel::TunnelHeader {
    fn from(header: &TunnelHeader) -> Self {
        Self {
            generation: header.generation.0,
            service: header.service.0,
            tried: header.tried.iter().map(|n| u32::from(n.get())).collect(),
            from_upstream: header.from.map_or(0, |n| u32::from(n.get())),
            load: header.load.map(Into::into),
            placed: header.placed,
        }
    }
}

impl TryFrom<wire::tunnel::TunnelHeader> for TunnelHeader {
    type Error = TunnelError;

    fn try_from(header: wire::tunnel::TunnelHeader) -> Result<Self, TunnelError> {
        if header.tried.len() > MAX_TRIED {
            return Err(TunnelError::TooManyTried(header.tried.len()));
        }
        let tried = header.tried.iter().map(|n| upstream_number(*n));
        let from = match header.from_upstream {
            0 => None,
            number => Some(upstream_number(number)?),
        };
        Ok(Self {
            generation: Generation(header.generation),
            service: ServiceId(header.service),
            tried: tried.collect::<Result<_, _>>()?,
            from,
            load: header.load.map(Into::into),
            placed: header.placed,
        })
    }
}

impl From<Load> for wire::tunnel::Load {
    fn from(load: Load) -> Self {
        Self {
            open_flows: load.open_flows,
            capacity: load.capacity,
            accepting: load.accepting,
        }
    }
}

impl From<wire::tunnel::Load> for Load {
    fn from(load: wire::tunnel::Load) -> Self {
        Self {
            open_flows: load.open_flows,
            capacity: load.capacity,
            accepting: load.accepting,
        }
    }
}

pub(crate) fn upstream_number(number: u32) -> Result<UpstreamNumber, TunnelError> {
    UpstreamNumber::new(number).ok_or(TunnelError::UpstreamNumber(number))
}
