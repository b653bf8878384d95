//! Search of a balancer for the service at which an open flow is.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use plantainquay_core::relay::Action;
use plantainquay_core::{Fleet, Timestamp};
use plantainquay_schema::{
    Changes, Claim, Evidence, RelayBody, RelayMessage, ServiceId, StoreRevision,
};
use rstest::rstest;

use crate::site::{
    FLOW_TTL_MS, LISTENER_PORT, Site, asked, document, is_reset, lost, lost_as_far_as_known,
    lost_at, names, tuple,
};
use crate::support::{LISTENER_IP, process, store_revision};

/// A flow that opened before the route changed is found at the service that the route named then,
/// with one packet of the caller, and its later packets go there directly.
#[rstest]
fn open_flow_is_found_at_a_former_service() {
    let mut site = Site::with_whole_history(&names(2));
    site.publish(0, &["s0"]);
    site.publish(1_000, &["s1"]);
    let (first, first_service) = asked(&site.send(2_000, 1)).expect("the owner is asked");
    assert_eq!(first_service, ServiceId::of("s1"));
    let denied = site.answer(2_001, first, first_service, lost(1, 1));
    let (holder, service) = asked(&denied).expect("the former service is asked at once");
    assert_eq!((holder, service), (process(1), ServiceId::of("s0")));
    let claim = Claim {
        tuple: tuple(1),
        evidence: Evidence::SentPackets,
    };
    site.answer(2_002, holder, service, RelayBody::Located(claim));
    let later = asked(&site.send(2_010, 1));
    assert_eq!(later, Some((process(1), ServiceId::of("s0"))));
}

/// A route that moves away and back, or loses all its upstreams, still leads to open flows.
#[rstest]
#[case::back_again("s0; s1; s0", 2)]
#[case::three_in_succession("s0; s1; s2", 3)]
#[case::removed_and_back("s0; ; s1", 2)]
#[case::split("s0 s1; s2", 3)]
#[case::no_upstream_at_the_new_service("s0; unborn", 1)]
fn every_former_service_is_asked(#[case] routes: &str, #[case] questions: usize) {
    let mut site = Site::with_whole_history(&names(3));
    for (services, i) in routes.split(';').zip(0..) {
        let services: Vec<&str> = services.split_whitespace().collect();
        site.publish(i * 100, &services);
    }
    site.confirm(2_000);
    // The first packet arrives before the last confirmation, so that its route is known.
    assert_eq!(site.send_unknown(2_000, 1), (questions, true));
}

/// A service is forgotten once no flow can be left from the time in which the route named it.
#[rstest]
fn former_service_is_forgotten_after_the_lifetime_of_a_flow() {
    let mut site = Site::with_whole_history(&names(2));
    site.publish(0, &["s0"]);
    site.publish(1_000, &["s1"]);
    let end_ms = 1_000 + FLOW_TTL_MS;
    site.confirm(end_ms - 1);
    assert_eq!(site.send_unknown(end_ms - 1, 1), (2, true));
    site.confirm(end_ms);
    assert_eq!(site.send_unknown(end_ms, 2), (1, true));
}

/// A process that started after a change asks every service before it resets a flow, and resets
/// none if it doesn't ask them all.
#[rstest]
#[case::few_services(3, (3, true))]
#[case::many_services(40, (1, false))]
fn process_without_history_does_not_guess(
    #[case] services: usize,
    #[case] expected: (usize, bool),
) {
    let mut site = Site::new(&names(services));
    site.publish(0, &["s0"]);
    site.confirm(100);
    assert_eq!(site.send_unknown(100, 1), expected);
    // Silence costs no further questions.
    let (questions, _) = site.send_unknown(300, 1);
    assert_eq!(questions, 0);
}

/// Guards against resets of flows that opened by routes which only other processes read before a
/// restore took them from the store.
#[rstest]
fn restored_store_may_have_lost_routes() {
    let mut site = Site::with_whole_history(&names(3));
    site.publish(0, &["s0"]);
    site.read_restored_store(1_000);
    site.publish(1_500, &["s0"]);
    site.confirm(2_000);
    assert_eq!(site.send_unknown(2_000, 1), (3, true));
    let end_ms = 1_000 + FLOW_TTL_MS;
    site.confirm(end_ms);
    assert_eq!(site.send_unknown(end_ms, 2), (1, true));
}

/// Guards against resets by a balancer that an agent's denial shows to be behind: it may lack the
/// service at which the flow opened.
#[rstest]
fn balancer_that_is_behind_resets_nothing() {
    let mut site = Site::new(&names(1));
    site.publish(0, &["s0"]);
    let later = StoreRevision::new(1, 4);
    let (agent, service) = asked(&site.send(100, 1)).expect("the owner is asked");
    let denied = site.answer(101, agent, service, lost_at(1, later));
    assert!(!is_reset(&denied) && asked(&denied).is_none());
    let changes = Changes {
        age: Some(Duration::ZERO),
        revision: later,
        ..Changes::default()
    };
    site.apply(200, changes);
    assert!(site.send_unknown(300, 1).1);
}

/// A view that wasn't confirmed since the flow's first packet may lack the route by which the flow
/// opened.
#[rstest]
fn unconfirmed_view_is_no_proof() {
    let mut site = Site::with_whole_history(&names(40));
    site.publish(0, &["s0"]);
    assert_eq!(site.send_unknown(500, 1), (1, false));
    site.confirm(600);
    assert_eq!(site.send_unknown(700, 1), (0, true));
    // The result holds for the packets that follow.
    assert_eq!(site.send_unknown(800, 1), (0, true));
}

/// Guards against resets by a balancer whose source lags: the store lists the upstream that holds the
/// flow, but the balancer's view is from before.
#[rstest]
#[case::no_other_upstream(false)]
#[case::upstream_that_registered_since(true)]
fn flow_is_reset_only_by_a_view_from_after_its_first_packet(#[case] has_registered: bool) {
    let mut site = Site::with_whole_history(&names(1));
    site.publish(0, &["s0"]);
    let (owner, service) = asked(&site.send(2_000, 1)).expect("the owner is asked");
    let denied = site.answer(2_010, owner, service, lost(1, 1));
    assert!(!is_reset(&denied) && denied.contains(&Action::ConfirmView));
    if has_registered {
        site.list_upstream(2_100, 9, "s0", 2);
    } else {
        site.confirm(2_100);
    }
    let actions = site.balancer.on_tick(Timestamp::from_millis(2_110), || {
        site.fleet.age(Timestamp::from_millis(2_110))
    });
    assert_eq!(is_reset(&actions), !has_registered);
    assert_eq!(asked(&actions).is_some(), has_registered);
}

/// Guards against resets by an old view with the age of the view that replaces it meanwhile.
#[rstest]
fn age_of_a_newer_view_confirms_no_older_one() {
    let mut site = Site::with_whole_history(&names(1));
    site.publish(0, &["s0"]);
    let newer = Arc::new((*site.view).clone());
    let now = Timestamp::from_millis(2_000);
    let (owner, service) = asked(&site.send(2_000, 1)).expect("the owner is asked");
    let age = || {
        site.balancer.install(Arc::clone(&newer));
        Some(Duration::ZERO)
    };
    let message = RelayMessage {
        service,
        body: lost(1, 1),
    };
    assert!(!is_reset(
        &site.balancer.on_message(now, age, owner, &message)
    ));
    let later = Timestamp::from_millis(2_010);
    let confirmed = || Some(Duration::ZERO);
    assert!(is_reset(&site.balancer.on_tick(later, confirmed)));
}

/// Guards against resets that rest on the report of an agent whose own source lags.
#[rstest]
fn report_from_an_unconfirmed_list_is_no_proof() {
    let mut site = Site::with_whole_history(&names(1));
    site.publish(0, &["s0"]);
    site.confirm(2_000);
    let (owner, service) = asked(&site.send(2_000, 1)).expect("the owner is asked");
    let incomplete = lost_as_far_as_known(1);
    assert!(!is_reset(&site.answer(2_010, owner, service, incomplete)));
    // A retransmission asks nobody again while the agent waits for its list.
    assert_eq!(asked(&site.send(2_200, 1)), None);
    assert!(is_reset(&site.answer(2_210, owner, service, lost(1, 1))));
}

/// The complete report of a service counts although another service was asked since its first one.
#[rstest]
fn services_complete_their_reports_in_any_order() {
    let mut site = Site::with_whole_history(&names(2));
    site.publish(0, &["s0"]);
    site.publish(0, &["s1"]);
    site.confirm(2_000);
    let incomplete = lost_as_far_as_known(1);
    let (owner, first) = asked(&site.send(2_000, 1)).expect("the owner is asked");
    let actions = site.answer(2_010, owner, first, incomplete.clone());
    let (former_owner, former) = asked(&actions).expect("the former service is asked");
    assert!(!is_reset(&site.answer(
        2_020,
        former_owner,
        former,
        incomplete
    )));
    assert!(!is_reset(&site.answer(2_030, owner, first, lost(1, 1))));
    assert!(is_reset(&site.answer(
        2_040,
        former_owner,
        former,
        lost(1, 1)
    )));
}

/// A flow whose route leads to no upstream is reset once that is confirmed.
#[rstest]
fn flow_without_any_upstream_to_ask_is_reset_once_confirmed() {
    let mut site = Site::with_whole_history(&names(0));
    site.publish(0, &["unborn"]);
    assert!(!is_reset(&site.send(2_000, 1)));
    site.confirm(2_100);
    assert!(is_reset(&site.send(2_200, 1)));
}

/// An agent that doesn't answer is passed over at the caller's next packet: first for another
/// service, then for another agent of its own.
#[rstest]
fn silent_owner_is_passed_over() {
    let mut site = Site::with_whole_history(&names(2));
    site.list_upstream(0, 9, "s1", 1);
    site.publish(0, &["s0"]);
    site.publish(0, &["s1"]);
    let (owner, service) = asked(&site.send(0, 1)).expect("the owner is asked");
    assert_eq!(service, ServiceId::of("s1"));
    assert_eq!(asked(&site.send(100, 1)), Some((owner, service)));
    let (former_owner, former) = asked(&site.send(200, 1)).expect("the former service is asked");
    assert_eq!(former, ServiceId::of("s0"));
    let denied = site.answer(201, former_owner, former, lost(1, 1));
    let (other_owner, other) = asked(&denied).expect("another agent is asked");
    assert!(other == service && other_owner != owner);
}

/// An agent that doesn't know the newest upstream of its service can't deny the flow.
#[rstest]
fn denial_by_a_lagging_agent_is_ignored() {
    let mut site = Site::with_whole_history(&names(1));
    site.publish(0, &["s0"]);
    site.list_upstream(0, 9, "s0", 2);
    let (owner, service) = asked(&site.send(0, 1)).expect("the owner is asked");
    assert!(!is_reset(&site.answer(1, owner, service, lost(1, 1))));
    assert!(asked(&site.send(200, 1)).is_some());
    site.confirm(200);
    assert!(is_reset(&site.answer(201, owner, service, lost(1, 2))));
}

/// A service is asked again if the store has listed an upstream of it since its denial.
#[rstest]
fn denial_from_before_the_newest_upstream_is_ignored() {
    let mut site = Site::with_whole_history(&names(2));
    site.publish(0, &["s0"]);
    site.publish(0, &["s1"]);
    let (owner, first) = asked(&site.send(0, 1)).expect("the owner is asked");
    let next = asked(&site.answer(1, owner, first, lost(1, 1)));
    let (former_owner, former) = next.expect("the former service is asked");
    site.list_upstream(2, 9, "s1", 2);
    let last = site.answer(3, former_owner, former, lost(1, 1));
    assert_eq!(asked(&last).map(|(_, service)| service), Some(first));
}

/// Packets of an open flow whose route is missing are answered only once the absence is confirmed.
#[rstest]
fn missing_route_is_confirmed_before_a_reset() {
    let mut site = Site::with_whole_history(&names(1));
    site.publish(0, &["s0"]);
    site.publish(100, &[]);
    assert!(!is_reset(&site.send(500, 1)));
    assert!(!is_reset(&site.send(700, 1)));
    site.confirm(800);
    assert!(is_reset(&site.send(900, 1)));
}

/// Questions about a flow that no upstream holds, by the number of services that the route has
/// named: for its first packet, for nine retransmissions, and for nine packets after the reset.
#[rstest]
fn questions_grow_with_former_services_alone() {
    let mut table = String::new();
    for former in [0, 1, 10, 100] {
        let mut site = Site::with_whole_history(&names(former + 2));
        for (i, name) in (0..).zip(names(former + 1)) {
            site.publish(i, &[name.as_str()]);
        }
        site.confirm(1_000);
        let (first, _) = site.send_unknown(1_000, 1);
        let mut later = Vec::new();
        let mut reset_at_ms = None;
        for at_ms in (1_100..=5_900).step_by(100) {
            let (questions, is_reset) = site.send_unknown(at_ms, 1);
            later.push(questions);
            if is_reset && reset_at_ms.is_none() {
                reset_at_ms = Some(at_ms);
            }
        }
        let most = later.iter().max().copied().unwrap_or(0);
        // Writing to a string never fails.
        let _infallible = writeln!(
            table,
            "{former:>3} former services: {first} for the first packet, at most {most} for each later one, {} in 5 s",
            first + later.iter().sum::<usize>()
        );
    }
    insta::assert_snapshot!(table);
}

/// A process that starts later learns the former services from its source, and one that missed
/// documents knows that it did.
#[rstest]
fn history_spreads_with_the_routes() {
    let publish = |fleet: &mut Fleet, at_ms: u64, generation, service: &str, complete_after| {
        let changes = Changes {
            age: Some(Duration::ZERO),
            routes: Some(document(generation, &[service])),
            routes_complete_after: complete_after,
            ..Changes::default()
        };
        fleet.apply(Timestamp::from_millis(at_ms), changes);
    };
    let mut source = Fleet::default();
    let mut follower = Fleet::default();
    let mut log = String::new();
    let mut note = |event: &str, at_ms: u64, fleets: [(&str, &Fleet); 2]| {
        let now = Timestamp::from_millis(at_ms);
        let _infallible = writeln!(log, "{at_ms:>6} {event}");
        for (name, fleet) in fleets {
            let listener = SocketAddr::new(LISTENER_IP.into(), LISTENER_PORT);
            let history = fleet.service_history();
            let known: BTreeMap<ServiceId, &str> =
                ["a", "b", "c", "d"].map(|s| (ServiceId::of(s), s)).into();
            let former: Vec<&str> = history
                .former(now, listener)
                .iter()
                .map(|id| known[id])
                .collect();
            let span = history.span(now).as_millis();
            let _infallible = writeln!(log, "       {name}: former {former:?}, span {span} ms");
        }
    };
    let fetch = |follower: &mut Fleet, source: &Fleet, at_ms: u64| {
        let now = Timestamp::from_millis(at_ms);
        let changes = source.changes_since(now, follower.version(now));
        let sends_history = changes.former_services.is_some();
        follower.apply(now, changes);
        sends_history
    };
    publish(&mut source, 0, 1, "a", None);
    publish(&mut source, 5_000, 2, "b", Some(store_revision(0)));
    note(
        "routes change",
        5_000,
        [("source", &source), ("follower", &follower)],
    );
    assert!(fetch(&mut follower, &source, 10_000));
    note(
        "follower starts",
        10_000,
        [("source", &source), ("follower", &follower)],
    );
    assert!(!fetch(&mut follower, &source, 11_000));
    publish(&mut source, 12_000, 3, "c", Some(store_revision(0)));
    assert!(fetch(&mut follower, &source, 12_000));
    note(
        "routes change",
        12_000,
        [("source", &source), ("follower", &follower)],
    );
    publish(&mut source, 15_000, 9, "d", None);
    note(
        "source misses documents",
        15_000,
        [("source", &source), ("follower", &follower)],
    );
    assert!(fetch(&mut follower, &source, 16_000));
    note(
        "follower hears of it",
        16_000,
        [("source", &source), ("follower", &follower)],
    );
    insta::assert_snapshot!(log);
}
