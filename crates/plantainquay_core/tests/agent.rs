//! Decisions of an agent, compared with snapshots.

#[path = "support/documents.rs"]
mod common;

use std::fmt::Write as _;
use std::time::Duration;

use common::document;
use plantainquay_core::agent::{
    AgentConfig, AgentState, DropReason, Opening, Outbox, Placement, Verdict, on_message,
};
use plantainquay_core::agent::{on_packet, on_tick, place};
use plantainquay_core::{FiveTuple, Segment, Timestamp};
use plantainquay_schema::{
    AgentMessage, AgentMessageBody, DocumentVersion, FlowId, Generation, Incarnation, Load, Name,
    ServiceId, TunnelHeader, UpstreamNumber,
};
use rstest::rstest;

const SERVICE: &str = "feed";

fn number(number: u32) -> UpstreamNumber {
    UpstreamNumber::new(number).expect("in range")
}

fn agent(own_number: u32, upstreams: &[u32], draining: &[u32]) -> AgentState<()> {
    let config = AgentConfig::builder()
        .service(ServiceId::of(SERVICE))
        .number(number(own_number))
        .incarnation(Incarnation(1))
        .shards(2)
        .max_half_open(4)
        .max_redirects(4)
        .build();
    let state = AgentState::new(config, Timestamp::default());
    let _outbox = state.install(&document(SERVICE, 3, upstreams, draining));
    state
}

fn header() -> TunnelHeader {
    TunnelHeader {
        generation: Generation(3),
        service: ServiceId::of(SERVICE),
        ..TunnelHeader::default()
    }
}

fn tuple(port: u16) -> FiveTuple {
    FiveTuple::tcp(&format!("198.51.100.1:{port}"), "192.0.2.1:80").expect("two addresses")
}

/// Returns a flow whose bucket `owner` owns.
fn tuple_of(state: &AgentState<()>, owner: u32) -> FiveTuple {
    let view = state.view().expect("a document is in force");
    let in_bucket = |t: &FiveTuple| view.route.table.owner(t.flow_id()) == Some(number(owner));
    (1..1_000)
        .map(tuple)
        .find(in_bucket)
        .expect("each upstream owns a bucket")
}

fn decide(
    state: &AgentState<()>,
    now: Timestamp,
    header: &TunnelHeader,
    segment: &Segment,
) -> String {
    let mut shard = state.shard(segment.tuple.flow_id());
    format!("{:?}", on_packet(state, &mut shard, now, header, segment))
}

fn receive(state: &AgentState<()>, now: Timestamp, from: u32, body: AgentMessageBody) -> Outbox {
    let message = AgentMessage {
        service: ServiceId::of(SERVICE),
        from: number(from),
        incarnation: Incarnation(from.into()),
        version: document(SERVICE, 3, &[1, 2, 3], &[]).version(),
        settled: DocumentVersion::default(),
        body,
    };
    on_message(state, now, &message)
}

fn load(open_flows: u32, accepting: bool) -> Load {
    Load {
        open_flows,
        capacity: 1_000,
        accepting,
    }
}

#[test]
fn packets_have_their_recorded_verdicts() {
    let now = Timestamp::from_millis(20_000);
    let state = agent(1, &[1, 2, 3], &[]);
    let own_tuple = tuple_of(&state, 1);
    let mut out = String::new();
    let mut record = |case: &str, verdict: String| {
        writeln!(out, "{case}: {verdict}").expect("writing to a string never fails");
    };
    let mut other_service = header();
    other_service.service = ServiceId::of("guide");
    record(
        "another service",
        decide(&state, now, &other_service, &Segment::opening(own_tuple)),
    );
    let port = FiveTuple::tcp("198.51.100.1:9", "192.0.2.1:81").expect("two addresses");
    record(
        "port of no listener",
        decide(&state, now, &header(), &Segment::opening(port)),
    );
    record(
        "opening",
        decide(&state, now, &header(), &Segment::opening(own_tuple)),
    );
    record(
        "unknown",
        decide(&state, now, &header(), &Segment::established(own_tuple)),
    );
    let lost = Segment::established(own_tuple).with_tag(Some(number(1)));
    record(
        "echo names this agent",
        decide(&state, now, &header(), &lost),
    );
    let mut reset = Segment::established(own_tuple);
    reset.reset = true;
    record(
        "reset of an unknown flow",
        decide(&state, now, &header(), &reset),
    );
    let mut all_tried = header();
    all_tried.tried.extend([number(2), number(3)]);
    record(
        "reset that every agent was tried for",
        decide(&state, now, &all_tried, &reset),
    );
    receive(
        &state,
        now,
        2,
        AgentMessageBody::Held(vec![own_tuple.flow_id()]),
    );
    record(
        "held by a sibling",
        decide(&state, now, &header(), &Segment::established(own_tuple)),
    );
    receive(
        &state,
        now,
        2,
        AgentMessageBody::Released(vec![own_tuple.flow_id()]),
    );
    record(
        "released",
        decide(&state, now, &header(), &Segment::opening(own_tuple)),
    );
    receive(&state, now, 2, AgentMessageBody::Load(load(0, true)));
    receive(&state, now, 3, AgentMessageBody::Load(load(0, false)));
    state.leave(now);
    record(
        "leaving",
        decide(&state, now, &header(), &Segment::opening(own_tuple)),
    );
    let sole_agent = agent(1, &[1], &[1]);
    record(
        "no agent accepts",
        decide(&sole_agent, now, &header(), &Segment::opening(own_tuple)),
    );
    insta::assert_snapshot!("verdicts", out);
}

/// The owner resets a flow only after each sibling has replied that it doesn't hold the flow.
#[rstest]
#[case::caller_that_does_not_echo(false)]
#[case::echo_names_an_upstream_that_was_taken_out(true)]
fn lost_flow_is_reset_after_all_siblings_denied_it(#[case] echoes: bool) {
    let state = agent(1, &[1, 2, 3], &[]);
    let own_tuple = tuple_of(&state, 1);
    let mut segment = Segment::established(own_tuple);
    if echoes {
        segment = segment.with_tag(Some(number(9)));
    }
    let mut out = String::new();
    for second in [0_u64, 1, 2, 59, 61] {
        let now = Timestamp::from_millis(second * 1_000);
        writeln!(
            out,
            "{second} s: {}",
            decide(&state, now, &header(), &segment)
        )
        .expect("infallible");
        let queries = on_tick(&state, now)
            .into_iter()
            .filter(|(_, message)| matches!(message.body, AgentMessageBody::Whose(_)));
        for (to, query) in queries {
            writeln!(out, "  to {to}: {:?}", query.body).expect("infallible");
        }
        receive(
            &state,
            now,
            2,
            AgentMessageBody::NotHeld(vec![own_tuple.flow_id()]),
        );
        if second > 1 {
            receive(
                &state,
                now,
                3,
                AgentMessageBody::NotHeld(vec![own_tuple.flow_id()]),
            );
        }
    }
    insta::assert_snapshot!("lost_flow", out);
}

#[test]
fn half_open_flows_are_bounded() {
    let state = agent(1, &[1], &[]);
    let now = Timestamp::default();
    let mut dropped = 0;
    for port in 1..=20 {
        let segment = Segment::opening(tuple(port));
        let mut shard = state.shard(segment.tuple.flow_id());
        match on_packet(&state, &mut shard, now, &header(), &segment) {
            Verdict::Open(opening) => {
                state.open(&mut shard, now, opening, ());
            }
            Verdict::Drop(DropReason::HalfOpenFull) => dropped += 1,
            other => panic!("unexpected verdict: {other:?}"),
        }
    }
    assert_eq!(
        state.open_flows(),
        4,
        "each of the two shards accepts two half-open flows"
    );
    assert_eq!(dropped, 16);
}

#[test]
fn redirects_are_bounded_and_counted() {
    let state = agent(1, &[1, 2], &[]);
    let flows: Vec<FlowId> = (0..20).map(|i| tuple(i + 1).flow_id()).collect();
    receive(
        &state,
        Timestamp::default(),
        2,
        AgentMessageBody::Held(flows),
    );
    let added: usize = state
        .shards()
        .map(|shard| shard.lock().redirect_count())
        .sum();
    let rejected: u64 = state
        .shards()
        .map(|shard| shard.lock().rejected_redirects())
        .sum();
    assert_eq!((added, rejected), (4, 16));
}

#[rstest]
#[case::idle(load(0, true), Some(load(0, true)), Placement::Local)]
#[case::equal(load(100, true), Some(load(100, true)), Placement::Local)]
#[case::within_margin(load(100, true), Some(load(98, true)), Placement::Local)]
#[case::clearly_less(load(100, true), Some(load(96, true)), Placement::Sibling)]
#[case::sibling_full(load(100, true), Some(load(10, false)), Placement::Local)]
#[case::own_full(load(100, false), Some(load(200, true)), Placement::Sibling)]
#[case::no_report(load(100, true), None, Placement::Local)]
fn placement_compares_loads(
    #[case] own: Load,
    #[case] sibling: Option<Load>,
    #[case] expected: Placement,
) {
    assert_eq!(place(own, sibling), expected);
}

/// After a pause of the process, load reports received before it count as expired.
#[rstest]
#[case::fresh(100, "Forward")]
#[case::after_a_pause(2_500, "Open")]
fn reports_expire_with_a_pause(#[case] pause_ms: u64, #[case] expected: &str) {
    let state = agent(1, &[1, 2], &[]);
    let start = Timestamp::from_millis(20_000);
    let _queries = on_tick(&state, start);
    for port in 30_001..=30_003 {
        let tuple = tuple(port);
        let mut shard = state.shard(tuple.flow_id());
        let opening = Opening::new(&Segment::opening(tuple), Name::default());
        state.open(&mut shard, start, opening, ());
        shard.mark_established(tuple.flow_id());
    }
    receive(&state, start, 2, AgentMessageBody::Load(load(0, true)));
    let later = start + Duration::from_millis(pause_ms);
    let _queries = on_tick(&state, later);
    let segment = Segment::opening(tuple_of(&state, 1));
    let verdict = decide(&state, later, &header(), &segment);
    assert!(verdict.starts_with(expected), "{verdict}");
}
