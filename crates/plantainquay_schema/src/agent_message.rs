//! Control datagrams between agents of one service.

use crate::tunnel::upstream_number;
use crate::{
    DocumentVersion, FlowId, Generation, Incarnation, Load, ServiceId, TunnelError, UpstreamNumber,
    wire,
};

/// A control datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentMessage {
    /// Service that both agents belong to.
    pub service: ServiceId,
    /// Upstream number of the sender.
    pub from: UpstreamNumber,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Document that the sender has in force.
    pub version: DocumentVersion,
    /// Newest version that the sender knows every agent of the service has had in force.
    pub settled: DocumentVersion,
    /// Body of the message.
    pub body: AgentMessageBody,
}

/// Body of a control datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentMessageBody {
    /// Load of the sender; the receiver replies with its own load.
    Query(Load),
    /// Load of the sender.
    Load(Load),
    /// Flows that the sender holds; the receiver adds redirects to the sender.
    Held(Vec<FlowId>),
    /// Flows that the sender held and that have ended; the receiver removes its redirects.
    Released(Vec<FlowId>),
    /// Asks which agent holds these flows; the receiver replies for each of them.
    Whose(Vec<FlowId>),
    /// Flows that the sender does not hold.
    NotHeld(Vec<FlowId>),
}

impl From<&AgentMessage> for wire::peer::AgentMessage {
    fn from(message: &AgentMessage) -> Self {
        Self {
            service: message.service.0,
            from_upstream: u32::from(message.from.get()),
            incarnation: message.incarnation.0,
            generation: message.version.generation.0,
            digest_prefix: message.version.digest_prefix,
            settled_generation: message.settled.generation.0,
            settled_digest_prefix: message.settled.digest_prefix,
            body: Some(wire_body(&message.body)),
        }
    }
}

impl TryFrom<wire::peer::AgentMessage> for AgentMessage {
    type Error = TunnelError;

    fn try_from(message: wire::peer::AgentMessage) -> Result<Self, TunnelError> {
        Ok(Self {
            service: ServiceId(message.service),
            from: upstream_number(message.from_upstream)?,
            incarnation: Incarnation(message.incarnation),
            version: DocumentVersion {
                generation: Generation(message.generation),
                digest_prefix: message.digest_prefix,
            },
            settled: DocumentVersion {
                generation: Generation(message.settled_generation),
                digest_prefix: message.settled_digest_prefix,
            },
            body: domain_body(message.body),
        })
    }
}

fn wire_body(body: &AgentMessageBody) -> wire::peer::agent_message::Body {
    use wire::peer::agent_message::Body;
    match body {
        AgentMessageBody::Query(load) => Body::Query((*load).into()),
        AgentMessageBody::Load(load) => Body::Load((*load).into()),
        AgentMessageBody::Held(flows) => Body::Held(wire_flows(flows)),
        AgentMessageBody::Released(flows) => Body::Released(wire_flows(flows)),
        AgentMessageBody::Whose(flows) => Body::Whose(wire_flows(flows)),
        AgentMessageBody::NotHeld(flows) => Body::NotHeld(wire_flows(flows)),
    }
}

fn domain_body(body: Option<wire::peer::agent_message::Body>) -> AgentMessageBody {
    use wire::peer::agent_message::Body;
    match body {
        Some(Body::Query(load)) => AgentMessageBody::Query(load.into()),
        Some(Body::Load(load)) => AgentMessageBody::Load(load.into()),
        Some(Body::Held(flows)) => AgentMessageBody::Held(domain_flows(flows)),
        Some(Body::Released(flows)) => AgentMessageBody::Released(domain_flows(flows)),
        Some(Body::Whose(flows)) => AgentMessageBody::Whose(domain_flows(flows)),
        Some(Body::NotHeld(flows)) => AgentMessageBody::NotHeld(domain_flows(flows)),
        None => AgentMessageBody::Held(Vec::new()),
    }
}

fn wire_flows(flows: &[FlowId]) -> wire::peer::Flows {
    wire::peer::Flows {
        flows: flows.iter().map(|flow| flow.0).collect(),
    }
}

fn domain_flows(flows: wire::peer::Flows) -> Vec<FlowId> {
    flows.flows.into_iter().map(FlowId).collect()
}
