//! Upstreams, packets and messages for tests of the relay.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use bytes::Bytes;
use plantainquay_core::relay::{Actions, Packet, RelayAgent, RelayAgentConfig, RelayPolicy};
use plantainquay_core::{FiveTuple, Timestamp};
use plantainquay_schema::{
    EstablishedPacket, Incarnation, OpeningPacket, RelayBody, RelayMessage, Route, ServiceId,
    StoreRevision, UpstreamEntry, VisitedAgents, WeightedService,
};

/// Port for messages between processes.
pub const PEER_PORT: u16 = 7_000;

/// Name of the only service.
pub const SERVICE: &str = "feed";

/// Address of every route.
pub const LISTENER_IP: Ipv4Addr = Ipv4Addr::new(192, 0, 2, 1);

pub fn process(number: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)), PEER_PORT)
}

/// An upstream with one slot, local to the agent with the same number.
pub fn upstream(number: u8) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("u{number}").as_str().into(),
        service: SERVICE.into(),
        ip: Ipv4Addr::new(10, 0, 0, number),
        data_centre: "split".into(),
        slots: 1,
        draining: false,
        incarnation: Incarnation(1),
        warm_up: Duration::ZERO,
        sequence: 1,
        revision: store_revision(1),
    }
}

/// A revision of a store that was never restored.
pub fn store_revision(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

/// The agent of the first upstream.
pub fn agent() -> RelayAgent {
    RelayAgent::new(RelayAgentConfig {
        service: ServiceId::of(SERVICE),
        own_address: process(1),
        shards: 1,
        policy: RelayPolicy::default(),
    })
}

/// A packet in the middle of a flow.
pub fn packet(tuple: FiveTuple, data_bytes: u16) -> Packet {
    Packet {
        tuple,
        syn: false,
        acknowledges: true,
        fin: false,
        reset: false,
        returned: false,
        ack: 1,
        data_bytes,
    }
}

pub fn message(body: RelayBody) -> RelayMessage {
    RelayMessage {
        service: ServiceId::of(SERVICE),
        body,
    }
}

/// The age of a view that the store has just confirmed.
#[expect(
    clippy::unnecessary_wraps,
    reason = "has the type of the age that decisions ask for"
)]
pub fn just_confirmed() -> Option<Duration> {
    Some(Duration::ZERO)
}

/// A packet as forwarded by the balancer with number 9.
pub fn established(bytes: &[u8]) -> RelayMessage {
    message(RelayBody::Established(EstablishedPacket {
        packet: Bytes::copy_from_slice(bytes),
        balancer: process(9),
        hops: 0,
        wants_answer: false,
    }))
}

/// Sends the agent a packet of an open flow, as forwarded by the balancer with number 9.
pub fn send_data(agent: &RelayAgent, now: Timestamp, tuple: FiveTuple) -> Actions {
    let data = packet(tuple, 10);
    let message = established(b"data");
    agent.on_message(now, &just_confirmed, process(9), message, Some(&data))
}

/// Sends the agent the opening packet of a flow that it was chosen to accept, from the balancer with
/// number 9.
pub fn send_opening(agent: &RelayAgent, now: Timestamp, tuple: FiveTuple) -> Actions {
    let opening = Packet {
        syn: true,
        acknowledges: false,
        ack: 0,
        ..packet(tuple, 0)
    };
    let message = message(RelayBody::Opening(OpeningPacket {
        packet: Bytes::from_static(b"syn"),
        balancer: process(9),
        visited: VisitedAgents::new(),
        best: None,
        chosen: true,
    }));
    agent.on_message(now, &just_confirmed, process(9), message, Some(&opening))
}

/// The route of a port, with a request timeout of 500 ms.
pub fn route(port: u16, priority: u32) -> Route {
    Route {
        listener: SocketAddrV4::new(LISTENER_IP, port),
        services: [WeightedService::new(SERVICE, 1)].into_iter().collect(),
        idempotent: true,
        timeout: Duration::from_millis(500),
        priority,
    }
}
