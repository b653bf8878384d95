//! Messages between relay balancers and agents, each sent as one datagram; balancers and agents
//! forward packets without reading their payload.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use bytes::Bytes;
use prost::Message;
use smallvec::SmallVec;
use thiserror::Error;

use crate::{FiveTuple, ServiceId, StoreRevision, wire};

/// Maximum number of visited agents that is accepted in a received opening packet.
const MAX_VISITED: usize = 8;

/// Agents that an opening packet has visited.
pub type VisitedAgents = SmallVec<[SocketAddr; 4]>;

/// A message between balancers and agents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayMessage {
    /// Service whose upstreams serve the flow.
    pub service: ServiceId,
    /// Body of the message.
    pub body: RelayBody,
}

/// Body of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayBody {
    /// A packet that opens a flow.
    Opening(OpeningPacket),
    /// A packet of a flow that the receiver should hold or locate.
    Established(EstablishedPacket),
    /// A packet whose flow the sender is looking up; the receiver replies `Located` or `NotHeld`.
    Probe(EstablishedPacket),
    /// The sender's upstream has answered the opening packet of the flow.
    Accepted(FiveTuple),
    /// The sender's upstream holds the flow, on the stated evidence.
    Located(Claim),
    /// The sender's upstream does not hold the flow.
    NotHeld(FiveTuple),
    /// Every upstream of the service that the sender knows has reported that it does not hold the
    /// flow.
    Lost(LostFlow),
    /// No upstream of the service accepts the new flow.
    Refused(FiveTuple),
}

impl RelayBody {
    /// Packet carried by the message, if any.
    #[must_use]
    pub fn packet(&self) -> Option<&Bytes> {
        match self {
            Self::Opening(opening) => Some(&opening.packet),
            Self::Established(established) | Self::Probe(established) => Some(&established.packet),
            Self::Accepted(_)
            | Self::Located(_)
            | Self::NotHeld(_)
            | Self::Lost(_)
            | Self::Refused(_) => None,
        }
    }
}

/// An agent's claim that its upstream holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The flow.
    pub tuple: FiveTuple,
    /// Evidence for the claim.
    pub evidence: Evidence,
}

/// Evidence that an upstream holds a flow; stronger evidence compares greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// The upstream hasn't returned the flow's packets, which is also true of one that has
    /// terminated.
    Silence,
    /// The upstream has sent packets of the flow.
    SentPackets,
}

/// A flow that no upstream of a service holds, as far as the sender knows the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostFlow {
    /// The flow.
    pub tuple: FiveTuple,
    /// Highest store revision of the upstreams that denied the flow; `None` if the sender doesn't
    /// report it.
    pub upstreams_revision: Option<StoreRevision>,
    /// True if the sender's list of upstreams matched the store after the sender received a packet
    /// of the flow, so that the list includes the upstream at which the flow opened.
    pub is_complete: bool,
}

/// A packet that opens a flow, forwarded until an upstream accepts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpeningPacket {
    /// The unparsed packet.
    pub packet: Bytes,
    /// Balancer that received the packet from the caller.
    pub balancer: SocketAddr,
    /// Agents that the packet has visited.
    pub visited: VisitedAgents,
    /// The least loaded visited agent.
    pub best: Option<AgentLoad>,
    /// True if the receiver was selected to accept the flow.
    pub chosen: bool,
}

/// An agent and the load of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentLoad {
    /// The agent.
    pub agent: SocketAddr,
    /// Load that a new flow would face, in thousandths of a request per slot.
    pub load: u32,
}

/// A packet of an open flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EstablishedPacket {
    /// The unparsed packet.
    pub packet: Bytes,
    /// Balancer that received the packet from the caller.
    pub balancer: SocketAddr,
    /// Number of agents that have forwarded the packet.
    pub hops: u32,
    /// True if the balancer doesn't know the flow's agent: whoever holds the flow answers
    /// `Located`.
    pub wants_answer: bool,
}

impl EstablishedPacket {
    /// Creates a packet that no agent has forwarded yet.
    #[must_use]
    pub fn new(packet: Bytes, balancer: SocketAddr) -> Self {
        Self {
            packet,
            balancer,
            hops: 0,
            wants_answer: false,
        }
    }

    /// Asks the agent that holds the flow for an answer.
    #[must_use]
    pub fn with_wants_answer(self, wants_answer: bool) -> Self {
        Self {
            wants_answer,
            ..self
        }
    }
}

/// An invalid datagram or address.
#[derive(Debug)]
#[derive(Error)]
pub enum RelayError {
    /// The datagram is not a valid encoded message.
    #[error("invalid message: {0}")]
    Encoding(#[from] prost::DecodeError),
    /// A required field is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A port is out of range.
    #[error("port {0} is out of range")]
    Port(u32),
    /// The packet has visited more than the maximum number of agents.
    #[error("too many agents visited: {0}")]
    TooManyVisited(usize),
    /// The messages support IPv4 addresses only.
    #[error("{0} is not an IPv4 address")]
    NotIpv4(SocketAddr),
}

impl RelayMessage {
    /// Encodes the message into `buf`, replacing its contents.
    ///
    /// # Errors
    ///
    /// Fails when an address is not IPv4.
    pub fn encode_into(&self, buf: &mut Vec<u8>) -> Result<(), RelayError> {
        buf.clear();
        let envelope = wire::relay::Envelope::try_from(self)?;
        buf.reserve(envelope.encoded_len());
        envelope.encode_raw(buf);
        Ok(())
    }

    /// Decodes a datagram; the carried packet shares its buffer.
    ///
    /// # Errors
    ///
    /// Fails when the datagram is not a valid message.
    pub fn decode(datagram: Bytes) -> Result<Self, RelayError> {
        wire::relay::Envelope::decode(datagram)?.try_into()
    }
}

impl TryFrom<&RelayMessage> for wire::relay::Envelope {
    type Error = RelayError;

    fn try_from(message: &RelayMessage) -> Result<Self, RelayError> {
        use wire::relay::envelope::Body;
        let body = match &message.body {
            RelayBody::Opening(opening) => Body::Opening(opening.try_into()?),
            RelayBody::Established(established) => Body::Established(established.try_into()?),
            RelayBody::Probe(probe) => Body::Probe(probe.try_into()?),
            RelayBody::Accepted(tuple) => Body::Accepted(tuple.try_into()?),
            RelayBody::Located(claim) => Body::Located(claim.try_into()?),
            RelayBody::NotHeld(tuple) => Body::NotHeld(tuple.try_into()?),
            RelayBody::Lost(lost) => Body::Lost(lost.try_into()?),
            RelayBody::Refused(tuple) => Body::Refused(tuple.try_into()?),
        };
        Ok(Self {
            service: message.service.0,
            body: Some(body),
        })
    }
}

impl TryFrom<wire::relay::Envelope> for RelayMessage {
    type Error = RelayError;

    fn try_from(envelope: wire::relay::Envelope) -> Result<Self, RelayError> {
        use wire::relay::envelope::Body;
        let body = match envelope.body.ok_or(RelayError::Missing("body"))? {
            Body::Opening(opening) => RelayBody::Opening(opening.try_into()?),
            Body::Established(established) => RelayBody::Established(established.try_into()?),
            Body::Probe(probe) => RelayBody::Probe(probe.try_into()?),
            Body::Accepted(flow) => RelayBody::Accepted(flow.try_into()?),
            Body::Located(claim) => RelayBody::Located(claim.try_into()?),
            Body::NotHeld(flow) => RelayBody::NotHeld(flow.try_into()?),
            Body::Lost(lost) => RelayBody::Lost(lost.try_into()?),
            Body::Refused(flow) => RelayBody::Refused(flow.try_into()?),
        };
        Ok(Self {
            service: ServiceId(envelope.service),
            body,
        })
    }
}

impl TryFrom<&OpeningPacket> for wire::relay::Opening {
    type Error = RelayError;

    fn try_from(opening: &OpeningPacket) -> Result<Self, RelayError> {
        let visited = opening.visited.iter().map(|agent| wire_endpoint(*agent));
        Ok(Self {
            packet: opening.packet.clone(),
            balancer: Some(wire_endpoint(opening.balancer)?),
            visited: visited.collect::<Result<_, _>>()?,
            best: opening
                .best
                .map(|agent_load| wire_endpoint(agent_load.agent))
                .transpose()?,
            best_load: opening.best.map_or(0, |agent_load| agent_load.load),
            chosen: opening.chosen,
        })
    }
}

impl TryFrom<wire::relay::Opening> for OpeningPacket {
    type Error = RelayError;

    fn try_from(opening: wire::relay::Opening) -> Result<Self, RelayError> {
        if opening.visited.len() > MAX_VISITED {
            return Err(RelayError::TooManyVisited(opening.visited.len()));
        }
        let visited = opening.visited.into_iter().map(socket_addr);
        let best = opening.best.map(socket_addr).transpose()?;
        Ok(Self {
            packet: opening.packet,
            balancer: required_address(opening.balancer, "balancer")?,
            visited: visited.collect::<Result<_, _>>()?,
            best: best.map(|agent| AgentLoad {
                agent,
                load: opening.best_load,
            }),
            chosen: opening.chosen,
        })
    }
}

impl TryFrom<&EstablishedPacket> for wire::relay::Established {
    type Error = RelayError;

    fn try_from(established: &EstablishedPacket) -> Result<Self, RelayError> {
        Ok(Self {
            packet: established.packet.clone(),
            balancer: Some(wire_endpoint(established.balancer)?),
            hops: established.hops,
            wants_answer: established.wants_answer,
        })
    }
}

impl TryFrom<wire::relay::Established> for EstablishedPacket {
    type Error = RelayError;

    fn try_from(established: wire::relay::Established) -> Result<Self, RelayError> {
        Ok(Self {
            packet: established.packet,
            balancer: required_address(established.balancer, "balancer")?,
            hops: established.hops,
            wants_answer: established.wants_answer,
        })
    }
}

impl TryFrom<&FiveTuple> for wire::relay::Flow {
    type Error = RelayError;

    fn try_from(tuple: &FiveTuple) -> Result<Self, RelayError> {
        Ok(Self {
            caller: Some(wire_endpoint(tuple.source)?),
            listener: Some(wire_endpoint(tuple.destination)?),
        })
    }
}

impl TryFrom<wire::relay::Flow> for FiveTuple {
    type Error = RelayError;

    fn try_from(flow: wire::relay::Flow) -> Result<Self, RelayError> {
        five_tuple(flow.caller, flow.listener)
    }
}

impl TryFrom<&Claim> for wire::relay::Claim {
    type Error = RelayError;

    fn try_from(claim: &Claim) -> Result<Self, RelayError> {
        let flow = wire::relay::Flow::try_from(&claim.tuple)?;
        Ok(Self {
            caller: flow.caller,
            listener: flow.listener,
            presumed: claim.evidence == Evidence::Silence,
        })
    }
}

impl TryFrom<wire::relay::Claim> for Claim {
    type Error = RelayError;

    fn try_from(claim: wire::relay::Claim) -> Result<Self, RelayError> {
        Ok(Self {
            tuple: five_tuple(claim.caller, claim.listener)?,
            evidence: if claim.presumed {
                Evidence::Silence
            } else {
                Evidence::SentPackets
            },
        })
    }
}

impl TryFrom<&LostFlow> for wire::relay::LostFlow {
    type Error = RelayError;

    fn try_from(lost: &LostFlow) -> Result<Self, RelayError> {
        let flow = wire::relay::Flow::try_from(&lost.tuple)?;
        Ok(Self {
            caller: flow.caller,
            listener: flow.listener,
            upstreams_revision: lost.upstreams_revision.map(|r| r.number),
            upstreams_era: lost.upstreams_revision.map_or(0, |r| r.era),
            is_complete: lost.is_complete,
        })
    }
}

impl TryFrom<wire::relay::LostFlow> for LostFlow {
    type Error = RelayError;

    fn try_from(lost: wire::relay::LostFlow) -> Result<Self, RelayError> {
        let revision = lost.upstreams_revision;
        Ok(Self {
            tuple: five_tuple(lost.caller, lost.listener)?,
            upstreams_revision: revision.map(|n| StoreRevision::new(lost.upstreams_era, n)),
            is_complete: lost.is_complete,
        })
    }
}

fn five_tuple(
    caller: Option<wire::relay::Endpoint>,
    listener: Option<wire::relay::Endpoint>,
) -> Result<FiveTuple, RelayError> {
    Ok(FiveTuple {
        source: required_address(caller, "caller")?,
        destination: required_address(listener, "listener")?,
    })
}

fn wire_endpoint(address: SocketAddr) -> Result<wire::relay::Endpoint, RelayError> {
    let SocketAddr::V4(address) = address else {
        return Err(RelayError::NotIpv4(address));
    };
    Ok(wire::relay::Endpoint {
        ip: address.ip().to_bits(),
        port: address.port().into(),
    })
}

fn required_address(
    endpoint: Option<wire::relay::Endpoint>,
    name: &'static str,
) -> Result<SocketAddr, RelayError> {
    endpoint
        .ok_or(RelayError::Missing(name))
        .and_then(socket_addr)
}

fn socket_addr(endpoint: wire::relay::Endpoint) -> Result<SocketAddr, RelayError> {
    let ip = Ipv4Addr::from_bits(endpoint.ip);
    let port = u16::try_from(endpoint.port).map_err(|_e| RelayError::Port(endpoint.port))?;
    Ok(SocketAddrV4::new(ip, port).into())
}
