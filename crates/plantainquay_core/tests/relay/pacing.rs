//! Requests above an upstream's limit are queued at its agent.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use crate::support::{PEER_PORT, established, just_confirmed, message, process, route, upstream};
use bytes::Bytes;
use plantainquay_core::relay::{Action, Actions, Packet, RelayAgent, RelayView};
use plantainquay_core::{FiveTuple, Fleet, Timestamp};
use plantainquay_schema::{Changes, Claim, Evidence, Generation, RelayBody, RouteDocument};

/// Ports of listeners with urgent and with normal priority.
const URGENT: u16 = 80;
const NORMAL: u16 = 81;

fn agent() -> RelayAgent {
    let routes = RouteDocument {
        generation: Generation(1),
        routes: vec![route(URGENT, 1), route(NORMAL, 2)],
    };
    let mut fleet = Fleet::default();
    let changes = Changes {
        routes: Some(routes),
        upstreams: vec![upstream(1)],
        ..Changes::default()
    };
    fleet.apply(Timestamp(0), changes);
    let agent = crate::support::agent();
    let view = RelayView::build(&fleet, Timestamp(0), PEER_PORT, &RelayView::default());
    agent.install(Arc::new(view));
    agent
}

fn packet(caller: u16, listener: u16, data_bytes: u16) -> Packet {
    let tuple = FiveTuple {
        source: SocketAddr::new(Ipv4Addr::new(198, 51, 100, 1).into(), caller),
        destination: SocketAddr::new(Ipv4Addr::new(192, 0, 2, 1).into(), listener),
    };
    crate::support::packet(tuple, data_bytes)
}

fn send(agent: &RelayAgent, at_ms: u64, packet: &Packet, text: &str) -> Actions {
    let now = Timestamp::from_millis(at_ms);
    agent.on_message(
        now,
        &just_confirmed,
        process(9),
        established(text.as_bytes()),
        Some(packet),
    )
}

fn answer(agent: &RelayAgent, at_ms: u64, packet: &Packet) -> Actions {
    let now = Timestamp::from_millis(at_ms);
    agent.on_upstream_packet(now, &just_confirmed, packet, Bytes::from_static(b"answer"))
}

/// Appends the packets sent to the upstream, with the time in milliseconds.
fn append_sent(lines: &mut String, at_ms: u64, actions: Actions) {
    for action in actions {
        if let Action::ToUpstream(bytes) = action {
            // Writing to a string never fails.
            let _infallible = writeln!(lines, "{at_ms:>4} {}", String::from_utf8_lossy(&bytes));
        }
    }
}

/// Guards against requests that count for good and in the end stop the agent's queue: their flow turned
/// out to be at another upstream.
#[test]
fn request_whose_flow_is_elsewhere_is_not_counted() {
    let agent = agent();
    let flow = packet(1, NORMAL, 10);
    let closing = Packet {
        fin: true,
        data_bytes: 0,
        ..flow
    };
    send(&agent, 0, &flow, "open");
    answer(&agent, 1, &flow);
    send(&agent, 2, &closing, "close");
    send(&agent, 3, &flow, "more");
    assert_eq!(agent.meter().requests_in_progress(), 1);
    let returned = Packet {
        returned: true,
        ..flow
    };
    answer(&agent, 4, &returned);
    let claim = Claim {
        tuple: flow.tuple,
        evidence: Evidence::SentPackets,
    };
    let located = message(RelayBody::Located(claim));
    let now = Timestamp::from_millis(5);
    agent.on_message(now, &just_confirmed, process(2), located, None);
    agent.expire(Timestamp::from_millis(5_000));
    assert_eq!(agent.meter().requests_in_progress(), 0);
}

#[test]
fn newest_urgent_request_goes_first_and_old_ones_are_forgotten() {
    let agent = agent();
    let mut lines = String::new();
    let flows: Vec<Packet> = (1..=7)
        .map(|caller| packet(caller, if caller == 4 { URGENT } else { NORMAL }, 10))
        .collect();
    // Opens each flow: the upstream sends a packet of it.
    for flow in &flows {
        let opened = Packet {
            data_bytes: 0,
            ..*flow
        };
        append_sent(&mut lines, 0, send(&agent, 0, &opened, "open"));
        append_sent(&mut lines, 0, answer(&agent, 0, &opened));
    }
    for (i, flow) in flows.iter().enumerate() {
        let at_ms = 10 + i as u64;
        let text = format!("request {} to {}", i + 1, flow.tuple.destination.port());
        append_sent(&mut lines, at_ms, send(&agent, at_ms, flow, &text));
        append_sent(&mut lines, at_ms, send(&agent, at_ms, flow, &text));
    }
    let closing = Packet {
        fin: true,
        data_bytes: 0,
        ..flows[6]
    };
    append_sent(&mut lines, 30, send(&agent, 30, &closing, "close 7"));
    for (at_ms, answered) in [(40, 0), (50, 3), (60, 5), (700, 4)] {
        append_sent(&mut lines, at_ms, answer(&agent, at_ms, &flows[answered]));
    }
    insta::assert_snapshot!(lines);
}
