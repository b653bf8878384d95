//! Requests beyond what an upstream works on wait at its agent.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_core::relay::{Action, Actions, Packet, RelayAgent, RelayAgentConfig, RelayView};
use plantainquay_core::{FiveTuple, Fleet, Timestamp};
use plantainquay_schema::{
    Changes, EstablishedPacket, Generation, Incarnation, RelayBody, RelayMessage, Route,
    RouteDocument, ServiceId, UpstreamEntry, WeightedService,
};

const PEER_PORT: u16 = 7_000;
const IP: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const BALANCER: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2)), PEER_PORT);
/// Listeners whose requests go first, and after them.
const URGENT: u16 = 80;
const PLAIN: u16 = 81;

fn route(port: u16, priority: u32) -> Route {
    Route {
        listener: SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), port),
        services: [WeightedService::new("feed", 1)].into_iter().collect(),
        idempotent: true,
        timeout: Duration::from_millis(500),
        priority,
    }
}

/// An agent whose upstream has one slot.
fn agent() -> RelayAgent {
    let entry = UpstreamEntry {
        id: "u1".into(),
        service: "feed".into(),
        ip: IP,
        data_centre: "split".into(),
        slots: 1,
        draining: false,
        incarnation: Incarnation(1),
        warm_up: Duration::ZERO,
        revision: 1,
    };
    let routes = RouteDocument {
        generation: Generation(1),
        routes: vec![route(URGENT, 1), route(PLAIN, 2)],
    };
    let mut fleet = Fleet::default();
    let changes = Changes {
        whole: true,
        revision: 1,
        routes: Some(routes),
        upstreams: vec![entry],
        ..Changes::default()
    };
    fleet.apply(Timestamp(0), changes);
    let agent = RelayAgent::new(RelayAgentConfig {
        service: ServiceId::of("feed"),
        own: SocketAddr::new(IP.into(), PEER_PORT),
        shards: 1,
    });
    let view = RelayView::build(&fleet, Timestamp(0), PEER_PORT, &RelayView::default());
    agent.install(Arc::new(view));
    agent
}

fn packet(caller: u16, listener: u16, data_bytes: u16) -> Packet {
    let tuple = FiveTuple {
        source: SocketAddr::new(Ipv4Addr::new(198, 51, 100, 1).into(), caller),
        destination: SocketAddr::new(Ipv4Addr::new(192, 0, 2, 1).into(), listener),
    };
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

fn send(agent: &RelayAgent, at: u64, packet: &Packet, text: &str) -> Actions {
    let carried = EstablishedPacket {
        packet: Bytes::copy_from_slice(text.as_bytes()),
        balancer: BALANCER,
        hops: 0,
    };
    let message = RelayMessage {
        service: ServiceId::of("feed"),
        body: RelayBody::Established(carried),
    };
    agent.on_message(Timestamp::from_millis(at), BALANCER, message, Some(packet))
}

fn answer(agent: &RelayAgent, at: u64, packet: &Packet) -> Actions {
    agent.on_upstream_packet(
        Timestamp::from_millis(at),
        packet,
        Bytes::from_static(b"answer"),
    )
}

/// What the upstream gets, at which millisecond.
fn log(lines: &mut String, at: u64, actions: Actions) {
    for action in actions {
        if let Action::ToUpstream(bytes) = action {
            // Writing to a string never fails.
            let _infallible = writeln!(lines, "{at:>4} {}", String::from_utf8_lossy(&bytes));
        }
    }
}

#[test]
fn newest_urgent_request_goes_first_and_old_ones_are_forgotten() {
    let agent = agent();
    let mut lines = String::new();
    let flows: Vec<Packet> = (1..=7)
        .map(|caller| packet(caller, if caller == 4 { URGENT } else { PLAIN }, 10))
        .collect();
    // Each flow is open: the upstream has sent a packet of it.
    for flow in &flows {
        let opened = Packet {
            data_bytes: 0,
            ..*flow
        };
        log(&mut lines, 0, send(&agent, 0, &opened, "open"));
        log(&mut lines, 0, answer(&agent, 0, &opened));
    }
    for (i, flow) in flows.iter().enumerate() {
        let at = 10 + i as u64;
        let text = format!("request {} to {}", i + 1, flow.tuple.destination.port());
        log(&mut lines, at, send(&agent, at, flow, &text));
        log(&mut lines, at, send(&agent, at, flow, &text));
    }
    let closing = Packet {
        fin: true,
        data_bytes: 0,
        ..flows[6]
    };
    log(&mut lines, 30, send(&agent, 30, &closing, "close 7"));
    for (at, done) in [(40, 0), (50, 3), (60, 5), (700, 4)] {
        log(&mut lines, at, answer(&agent, at, &flows[done]));
    }
    insta::assert_snapshot!(lines);
}
