//! Conditions under which an agent declares a flow lost.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    PEER_PORT, agent, just_confirmed, message, packet, process, send_data, store_revision, upstream,
};
use bytes::Bytes;
use plantainquay_core::relay::{Action, Actions, Packet, RelayAgent, RelayView};
use plantainquay_core::{FiveTuple, Fleet, Timestamp};
use plantainquay_schema::{Changes, Claim, Departure, EstablishedPacket, Evidence, RelayBody};
use rstest::rstest;

fn view(age: Option<Duration>) -> Arc<RelayView> {
    view_of(2, age)
}

/// A view with this number of agents.
fn view_of(agents: u8, age: Option<Duration>) -> Arc<RelayView> {
    let mut fleet = Fleet::default();
    let changes = Changes {
        age,
        upstreams: (1..=agents).map(upstream).collect(),
        ..Changes::default()
    };
    fleet.apply(Timestamp(0), changes);
    let view = RelayView::build(&fleet, Timestamp(0), PEER_PORT, &RelayView::default());
    Arc::new(view)
}

/// A view at 3 s in which the second agent has left the list.
fn view_with_former_agent() -> Arc<RelayView> {
    let mut fleet = Fleet::default();
    let listed = Changes {
        age: Some(Duration::ZERO),
        upstreams: vec![upstream(1), upstream(2)],
        ..Changes::default()
    };
    fleet.apply(Timestamp(0), listed);
    let departed = Changes {
        revision: store_revision(2),
        departures: vec![Departure::without_entry("u2".into(), store_revision(2))],
        ..Changes::default()
    };
    fleet.apply(Timestamp(0), departed);
    // The grace period of the departed upstream has ended.
    let now = Timestamp::from_millis(3_000);
    fleet.expire(now, Timestamp(0));
    let view = RelayView::build(&fleet, now, PEER_PORT, &RelayView::default());
    Arc::new(view)
}

/// Number of agents that were probed.
fn probed(actions: &Actions) -> usize {
    let is_probe = |action: &&Action| matches!(action, Action::Send(_, message) if matches!(message.body, RelayBody::Probe(_)));
    actions.iter().filter(is_probe).count()
}

fn tuple(caller: &str) -> FiveTuple {
    FiveTuple::tcp(caller, "192.0.2.1:80").expect("two addresses")
}

/// Sends a packet of a flow to the agent, whose upstream returns it.
fn start_lookup(agent: &RelayAgent, now: Timestamp, tuple: FiveTuple) -> Actions {
    send_data(agent, now, tuple);
    let returned = Packet {
        returned: true,
        ..packet(tuple, 10)
    };
    agent.on_upstream_packet(now, &just_confirmed, &returned, Bytes::from_static(b"data"))
}

fn is_lost(actions: &Actions) -> bool {
    actions.iter().any(|action| {
        matches!(action, Action::Send(_, message)
            if matches!(message.body, RelayBody::Lost(lost) if lost.is_complete))
    })
}

/// A list of upstreams that may be stale can lack the upstream that holds the flow.
#[rstest]
#[case::confirmed(Some(Duration::ZERO), true)]
#[case::may_lag(None, false)]
fn flow_is_lost_only_by_a_complete_list(
    #[case] age: Option<Duration>,
    #[case] is_expected_lost: bool,
) {
    let agent = agent();
    agent.install(view(age));
    let tuple = tuple("198.51.100.1:40000");
    let now = Timestamp::from_millis(10);
    assert!(!is_lost(&start_lookup(&agent, now, tuple)));
    let denial = message(RelayBody::NotHeld(tuple));
    let actions = agent.on_message(now, &just_confirmed, process(2), denial, None);
    assert_eq!(is_lost(&actions), is_expected_lost);
}

/// An agent asks anew if its tick comes so late that it must have been paused: an upstream that has
/// left the list had no chance to answer, and the denials of others are old.
#[rstest]
#[case::in_time(400, true)]
#[case::after_a_pause(1_500, false)]
fn paused_agent_asks_again(#[case] tick_ms: u64, #[case] is_expected_lost: bool) {
    let agent = agent();
    let now = Timestamp::from_millis(3_000);
    agent.install(view_with_former_agent());
    let tuple = tuple("198.51.100.1:40000");
    assert!(!is_lost(&start_lookup(&agent, now, tuple)));
    let actions = agent.on_tick(now + Duration::from_millis(tick_ms), &just_confirmed);
    assert_eq!(is_lost(&actions), is_expected_lost);
}

/// The owner of a flow that holds it itself answers a balancer that searches the flow, or the
/// balancer would take its silence for a failure and ask others.
#[rstest]
#[case::cached(false, false)]
#[case::searched(true, true)]
fn holder_answers_a_search(#[case] wants_answer: bool, #[case] is_expected: bool) {
    let agent = agent();
    agent.install(view(Some(Duration::ZERO)));
    let tuple = tuple("198.51.100.1:40000");
    let now = Timestamp::from_millis(10);
    agent.on_upstream_packet(
        now,
        &just_confirmed,
        &packet(tuple, 10),
        Bytes::from_static(b"answer"),
    );
    let body = EstablishedPacket::new(Bytes::from_static(b"data"), process(9));
    let body = RelayBody::Established(body.with_wants_answer(wants_answer));
    let actions = agent.on_message(
        now,
        &just_confirmed,
        process(9),
        message(body),
        Some(&packet(tuple, 10)),
    );
    let claim = Claim {
        tuple,
        evidence: Evidence::SentPackets,
    };
    let located = Action::Send(process(9), message(RelayBody::Located(claim)));
    assert_eq!(actions.contains(&located), is_expected);
    assert!(actions.iter().any(|a| matches!(a, Action::ToUpstream(_))));
}

/// A lookup that every agent has answered ends once the list of upstreams is confirmed, with or
/// without another packet of the caller.
#[rstest]
#[case::soon(200, false)]
#[case::late(3_000, true)]
fn lookup_ends_when_the_list_is_confirmed(#[case] confirmed_ms: u64, #[case] needs_packet: bool) {
    let agent = agent();
    agent.install(view(None));
    let tuple = tuple("198.51.100.1:40000");
    let denial = message(RelayBody::NotHeld(tuple));
    let start = Timestamp::from_millis(10);
    start_lookup(&agent, start, tuple);
    agent.on_message(start, &just_confirmed, process(2), denial.clone(), None);
    let mut was_lost = false;
    for ms in (20..confirmed_ms).step_by(20) {
        was_lost |= is_lost(&agent.on_tick(Timestamp::from_millis(ms), &just_confirmed));
    }
    assert!(!was_lost);
    agent.install(view(Some(Duration::ZERO)));
    let now = Timestamp::from_millis(confirmed_ms + 100);
    if needs_packet {
        assert!(!is_lost(&agent.on_tick(now, &just_confirmed)));
        send_data(&agent, now, tuple);
        assert!(is_lost(&agent.on_message(
            now,
            &just_confirmed,
            process(2),
            denial,
            None
        )));
    } else {
        assert!(is_lost(&agent.on_tick(now, &just_confirmed)));
    }
}

/// Guards against resets of flows at upstreams that registered after the agent's list was confirmed:
/// the lookup waits for a newer list, and asks the upstreams that it brings.
#[rstest]
#[case::no_other_upstream(false)]
#[case::upstream_that_registered_since(true)]
fn flow_is_lost_only_by_a_list_from_after_its_first_packet(#[case] has_registered: bool) {
    let agent = agent();
    agent.install(view(Some(Duration::ZERO)));
    let tuple = tuple("198.51.100.1:40000");
    let denial = message(RelayBody::NotHeld(tuple));
    let at = Timestamp::from_millis;
    let confirmed_at_zero = |now: Timestamp| move || Some(now.since(Timestamp(0)));
    start_lookup(&agent, at(1_000), tuple);
    let now = at(1_010);
    let actions = agent.on_message(now, &confirmed_at_zero(now), process(2), denial, None);
    assert!(!is_lost(&actions) && actions.contains(&Action::ConfirmView));
    // The balancer learns that the known upstreams have denied the flow.
    let is_report = |action: &Action| {
        matches!(action, Action::Send(to, message)
            if *to == process(9) && matches!(message.body, RelayBody::Lost(_)))
    };
    assert!(actions.iter().any(is_report));
    for ms in (1_020..3_000).step_by(20) {
        let actions = agent.on_tick(at(ms), &confirmed_at_zero(at(ms)));
        assert!(!is_lost(&actions));
        // Packets at the wrong upstream count against the flow.
        assert_eq!(probed(&actions), 0, "at {ms} ms");
    }
    if has_registered {
        agent.install(view_of(3, Some(Duration::ZERO)));
    }
    let actions = agent.on_tick(at(3_000), &just_confirmed);
    assert!(!is_lost(&actions));
    // The denials are old: everyone is asked again.
    assert_eq!(probed(&actions), if has_registered { 2 } else { 1 });
    let denial = message(RelayBody::NotHeld(tuple));
    let actions = agent.on_message(at(3_010), &just_confirmed, process(2), denial, None);
    assert_eq!(is_lost(&actions), !has_registered);
}

/// Guards against resets by an old list with the age of the list that replaces it meanwhile.
#[rstest]
fn age_of_a_newer_list_confirms_no_older_one() {
    let agent = agent();
    agent.install(view(Some(Duration::ZERO)));
    let tuple = tuple("198.51.100.1:40000");
    let now = Timestamp::from_millis(1_000);
    start_lookup(&agent, now, tuple);
    let age = || {
        agent.install(view_of(3, Some(Duration::ZERO)));
        Some(Duration::ZERO)
    };
    let denial = message(RelayBody::NotHeld(tuple));
    let actions = agent.on_message(now, &age, process(2), denial, None);
    assert!(!is_lost(&actions));
}

/// Callers of lost flows wait for their reset: a denied lookup ends with the confirmation of the list,
/// not with its next round of probes.
#[rstest]
fn denied_lookup_ends_as_soon_as_the_list_is_confirmed() {
    let agent = agent();
    agent.install(view(Some(Duration::ZERO)));
    let tuple = tuple("198.51.100.1:40000");
    let now = Timestamp::from_millis(1_000);
    start_lookup(&agent, now, tuple);
    let unconfirmed = || Some(Duration::from_secs(1));
    let denial = message(RelayBody::NotHeld(tuple));
    assert!(!is_lost(&agent.on_message(
        now,
        &unconfirmed,
        process(2),
        denial,
        None
    )));
    let actions = agent.on_tick(Timestamp::from_millis(1_005), &just_confirmed);
    assert!(is_lost(&actions));
}

/// A lookup waits longer for an agent that has left the list until that agent was silent once.
#[rstest]
#[case::silent(false, true)]
#[case::heard_from_since(true, false)]
fn silent_former_agent_is_awaited_once(#[case] answers: bool, #[case] is_lost_soon: bool) {
    let agent = agent();
    agent.install(view_with_former_agent());
    let ask = |at_ms: u64, caller: &str| {
        start_lookup(&agent, Timestamp::from_millis(at_ms), tuple(caller))
    };
    assert!(!is_lost(&ask(3_000, "198.51.100.1:40000")));
    assert!(is_lost(
        &agent.on_tick(Timestamp::from_millis(3_400), &just_confirmed)
    ));
    if answers {
        let tuple = tuple("198.51.100.1:40000");
        let denial = message(RelayBody::NotHeld(tuple));
        agent.on_message(
            Timestamp::from_millis(3_500),
            &just_confirmed,
            process(2),
            denial,
            None,
        );
    }
    assert!(!is_lost(&ask(3_600, "198.51.100.1:40001")));
    let actions = agent.on_tick(Timestamp::from_millis(3_680), &just_confirmed);
    assert_eq!(is_lost(&actions), is_lost_soon);
}
