//! Claims of several agents to one flow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_core::relay::{
    Action, Actions, Packet, RelayAgent, RelayBalancer, RelayBalancerConfig, RelayPolicy, RelayView,
};
use plantainquay_core::{FiveTuple, Fleet, Timestamp};
use plantainquay_schema::{
    Changes, Claim, EstablishedPacket, Evidence, Generation, RelayBody, RouteDocument,
};
use rstest::rstest;

use crate::support::{
    PEER_PORT, agent, just_confirmed, message, packet, process, route, send_data, send_opening,
    upstream,
};

/// Agent whose upstream has sent packets of the flow.
const HOLDER: u8 = 2;
/// Agent whose upstream was only silent.
const PRESUMED: u8 = 3;
/// Time after which a silent upstream is presumed to hold a flow, and a margin.
const AFTER_TRIAL: Timestamp = Timestamp(100_000);

fn tuple() -> FiveTuple {
    FiveTuple::tcp("198.51.100.1:40000", "192.0.2.1:80").expect("two addresses")
}

fn view() -> Arc<RelayView> {
    let mut fleet = Fleet::default().without_earlier_flows();
    let changes = Changes {
        age: Some(Duration::ZERO),
        routes: Some(RouteDocument {
            generation: Generation(1),
            routes: vec![route(80, 1)],
        }),
        upstreams: (1..=3).map(upstream).collect(),
        ..Changes::default()
    };
    fleet.apply(Timestamp(0), changes);
    let view = RelayView::build(&fleet, Timestamp(0), PEER_PORT, &RelayView::default());
    Arc::new(view)
}

fn claim(number: u8) -> (SocketAddr, RelayBody) {
    let evidence = if number == HOLDER {
        Evidence::SentPackets
    } else {
        Evidence::Silence
    };
    let claim = Claim {
        tuple: tuple(),
        evidence,
    };
    (process(number), RelayBody::Located(claim))
}

/// Probes the agent for a flow, which its upstream neither returns nor answers.
fn probe_silent_upstream(agent: &RelayAgent) -> Actions {
    let probe = EstablishedPacket::new(Bytes::from_static(b"data"), process(9));
    let probe = message(RelayBody::Probe(probe));
    let data = packet(tuple(), 10);
    agent.on_message(
        Timestamp(0),
        &just_confirmed,
        process(HOLDER),
        probe,
        Some(&data),
    );
    agent.on_tick(AFTER_TRIAL, &just_confirmed)
}

fn resets(actions: &Actions) -> usize {
    let resets = actions.iter().filter(|a| matches!(a, Action::Reset { .. }));
    resets.count()
}

fn receivers_of_packet(actions: &Actions) -> Vec<SocketAddr> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send(to, message) if message.body.packet().is_some() => Some(*to),
        _ => None,
    });
    sent.collect()
}

/// A terminated upstream is silent: its agent reset flows that were open at other upstreams.
#[rstest]
#[case::silent(false, 0)]
#[case::holds_the_flow(true, 1)]
fn terminated_upstream_resets_only_flows_that_it_held(
    #[case] has_sent_packets: bool,
    #[case] expected_resets: usize,
) {
    let agent = agent();
    agent.install(view());
    let actions = probe_silent_upstream(&agent);
    let presumed = claim(PRESUMED).1;
    for receiver in [process(9), process(HOLDER)] {
        assert!(actions.contains(&Action::Send(receiver, message(presumed.clone()))));
    }
    if has_sent_packets {
        let bytes = Bytes::from_static(b"answer");
        let actions =
            agent.on_upstream_packet(AFTER_TRIAL, &just_confirmed, &packet(tuple(), 10), bytes);
        let known = claim(HOLDER).1;
        for receiver in [process(9), process(HOLDER)] {
            assert!(actions.contains(&Action::Send(receiver, message(known.clone()))));
        }
    }
    assert_eq!(resets(&agent.upstream_ended()), expected_resets);
}

/// The caller of a flow that was accepted twice uses one answer: the agent of the other upstream
/// reset the flow although no packet of the caller had reached it.
#[rstest]
#[case::unused(false, 0)]
#[case::used(true, 1)]
fn terminated_upstream_resets_accepted_flows_that_the_caller_uses(
    #[case] caller_answers: bool,
    #[case] expected_resets: usize,
) {
    let agent = agent();
    agent.install(view());
    let now = Timestamp::from_millis(1);
    send_opening(&agent, now, tuple());
    let answer = Packet {
        syn: true,
        ..packet(tuple(), 0)
    };
    agent.on_upstream_packet(
        now,
        &just_confirmed,
        &answer,
        Bytes::from_static(b"syn-ack"),
    );
    if caller_answers {
        send_data(&agent, now, tuple());
    }
    assert_eq!(resets(&agent.upstream_ended()), expected_resets);
}

/// The presumed claim of a terminated upstream's agent came after that of the true holder and
/// replaced it at the flow's owner.
#[rstest]
#[case::presumed_last([HOLDER, PRESUMED])]
#[case::presumed_first([PRESUMED, HOLDER])]
fn owner_prefers_the_claim_of_the_upstream_that_sent_packets(#[case] order: [u8; 2]) {
    let agent = agent();
    agent.install(view());
    let now = Timestamp::from_millis(1);
    for number in order {
        let (from, body) = claim(number);
        agent.on_message(now, &just_confirmed, from, message(body), None);
    }
    let actions = send_data(&agent, now, tuple());
    assert_eq!(receivers_of_packet(&actions), [process(HOLDER)]);
}

/// An agent whose upstream is only silent yields to the claim of the true holder.
#[test]
fn presumption_yields_to_the_upstream_that_sent_packets() {
    let agent = agent();
    agent.install(view());
    probe_silent_upstream(&agent);
    assert_eq!(agent.meter().open_flows(), 1);
    let (from, body) = claim(HOLDER);
    agent.on_message(AFTER_TRIAL, &just_confirmed, from, message(body), None);
    assert_eq!(agent.meter().open_flows(), 0);
    let actions = send_data(&agent, AFTER_TRIAL, tuple());
    assert_eq!(receivers_of_packet(&actions), [process(HOLDER)]);
}

/// The presumed claim of a terminated upstream's agent came after that of the true holder and
/// replaced it at the balancer.
#[rstest]
#[case::presumed_last([HOLDER, PRESUMED])]
#[case::presumed_first([PRESUMED, HOLDER])]
fn balancer_prefers_the_claim_of_the_upstream_that_sent_packets(#[case] order: [u8; 2]) {
    let balancer = RelayBalancer::new(RelayBalancerConfig {
        own_address: process(9),
        shards: 1,
        policy: RelayPolicy::default(),
    });
    balancer.install(view());
    let now = Timestamp::from_millis(1);
    let send = || {
        balancer.on_packet(
            now,
            just_confirmed,
            &packet(tuple(), 10),
            Bytes::from_static(b"data"),
        )
    };
    send();
    for number in order {
        let (from, body) = claim(number);
        balancer.on_message(now, just_confirmed, from, &message(body));
    }
    assert_eq!(receivers_of_packet(&send()), [process(HOLDER)]);
}
