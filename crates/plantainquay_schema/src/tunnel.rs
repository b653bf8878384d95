//! Tunnel header.

use smallvec::SmallVec;
use thiserror::Error;

use crate::{Generation, ServiceId, UpstreamNumber, wire};

/// Upstreams already tried for a flow, in order.
pub type TriedUpstreams = SmallVec<[UpstreamNumber; 4]>;

/// Maximum number of tried upstreams in a header.
const MAX_TRIED_PER_HEADER: usize = 8;

/// Header of a packet forwarded between balancers and agents.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TunnelHeader {
    /// Document generation that the sender had in force.
    pub generation: Generation,
    /// Destination service of the packet.
    pub service: ServiceId,
    /// Upstreams already tried; each agent that forwards the packet adds its own.
    pub tried: TriedUpstreams,
    /// Agent that forwarded the packet; `None` if a balancer did.
    pub from: Option<UpstreamNumber>,
    /// Load of the agent that forwarded the packet.
    pub load: Option<Load>,
    /// True if the packet opens a flow that the sender placed on the receiver.
    pub placed: bool,
}

/// Load of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of open flows.
    pub open_flows: u32,
    /// Maximum number of flows that the agent currently accepts.
    pub capacity: u32,
    /// True if the agent accepts new flows.
    pub accepting: bool,
}

/// An invalid tunnel header or agent message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum TunnelError {
    /// An upstream number is out of range.
    #[error("upstream number {0} is out of range")]
    UpstreamNumber(u32),
    /// The list of tried upstreams is too long.
    #[error("too many upstreams tried: {0}")]
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
        if header.tried.len() > MAX_TRIED_PER_HEADER {
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
