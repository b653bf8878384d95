//! When an agent may say that nobody holds a flow.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_core::relay::{Action, Actions, Packet, RelayAgent, RelayAgentConfig, RelayView};
use plantainquay_core::{FiveTuple, Fleet, Timestamp};
use plantainquay_schema::{
    Changes, EstablishedPacket, Incarnation, RelayBody, RelayMessage, ServiceId, UpstreamEntry,
};
use rstest::rstest;

const PEER_PORT: u16 = 7_000;

fn agent_address(number: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)), PEER_PORT)
}

fn view(age: Option<Duration>) -> Arc<RelayView> {
    let entry = |number: u8| UpstreamEntry {
        id: format!("u{number}").as_str().into(),
        service: "feed".into(),
        ip: Ipv4Addr::new(10, 0, 0, number),
        data_centre: "split".into(),
        slots: 1,
        draining: false,
        incarnation: Incarnation(1),
        warm_up: Duration::ZERO,
        revision: 1,
    };
    let mut fleet = Fleet::default();
    let changes = Changes {
        age,
        upstreams: vec![entry(1), entry(2)],
        ..Changes::default()
    };
    fleet.apply(Timestamp(0), changes);
    let view = RelayView::build(&fleet, Timestamp(0), PEER_PORT, &RelayView::default());
    Arc::new(view)
}

fn message(body: RelayBody) -> RelayMessage {
    RelayMessage {
        service: ServiceId::of("feed"),
        body,
    }
}

fn is_lost(actions: &Actions) -> bool {
    actions.iter().any(|action| {
        matches!(action, Action::Send(_, message) if matches!(message.body, RelayBody::Lost(_)))
    })
}

/// A list that was read with a lag may lack the very upstream that holds the flow.
#[rstest]
#[case::confirmed(Some(Duration::ZERO), true)]
#[case::may_lag(None, false)]
fn flow_is_lost_only_by_a_complete_list(#[case] age: Option<Duration>, #[case] lost: bool) {
    let agent = RelayAgent::new(RelayAgentConfig {
        service: ServiceId::of("feed"),
        own: agent_address(1),
        shards: 1,
    });
    agent.install(view(age));
    let tuple = FiveTuple::tcp("198.51.100.1:40000", "192.0.2.1:80").expect("two addresses");
    let packet = Packet {
        tuple,
        syn: false,
        acknowledges: true,
        fin: false,
        reset: false,
        returned: false,
        ack: 1,
        data_bytes: 10,
    };
    let bytes = Bytes::from_static(b"data");
    let carried = EstablishedPacket {
        packet: bytes.clone(),
        balancer: agent_address(9),
        hops: 0,
    };
    let now = Timestamp::from_millis(10);
    let body = RelayBody::Established(carried);
    agent.on_message(now, agent_address(9), message(body), Some(&packet));
    let returned = Packet {
        returned: true,
        ..packet
    };
    assert!(!is_lost(&agent.on_upstream_packet(now, &returned, bytes)));
    let denial = message(RelayBody::NotHeld(tuple));
    let actions = agent.on_message(now, agent_address(2), denial, None);
    assert_eq!(is_lost(&actions), lost);
}
