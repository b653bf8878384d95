//! Measurements of the fleet state and the view of a relay process.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use plantainquay_core::relay::{RelayView, choose_sources};
use plantainquay_core::{Fleet, Timestamp};
use plantainquay_schema::{
    Changes, FiveTuple, Generation, Incarnation, Name, Route, RouteDocument, ServiceId,
    StoreRevision, UpstreamEntry, WeightedService, wire,
};
use prost::Message as _;

use crate::measure::{heap_bytes, megabytes, millis};
use crate::report::Report;

const PEER_PORT: u16 = 7_720;
/// Planned number of upstreams per 1,000 planned addresses.
const UPSTREAMS_PER_1000: u32 = 1_739;
const CHANGES: u32 = 20;
const DECISIONS: u16 = 10_000;

/// Measures a process with `addresses` routes and the planned number of upstreams behind them.
pub(crate) fn fleet_state(addresses: u32, report: &mut Report) {
    let upstreams = addresses * UPSTREAMS_PER_1000 / 1_000;
    let heap_at_start = heap_bytes();
    let changes = full_state(addresses, upstreams);
    let bytes = wire::fleet::Changes::from(&changes).encoded_len() as u64;
    report.add("relay, whole state", addresses, "MB", megabytes(bytes));
    let mut fleet = Fleet::default();
    let reads = [
        ("relay, first read", changes.clone()),
        ("relay, read anew", changes),
    ];
    for (metric, changes) in reads {
        let start = Instant::now();
        fleet.apply(Timestamp(1), changes);
        report.add(metric, addresses, "ms", millis(start.elapsed()));
    }
    let start = Instant::now();
    let mut view = RelayView::build(&fleet, Timestamp(2), PEER_PORT, &RelayView::default());
    report.add(
        "relay, view built",
        addresses,
        "ms",
        millis(start.elapsed()),
    );
    let heap_growth = heap_bytes().saturating_sub(heap_at_start);
    report.add("relay, memory", addresses, "MB", megabytes(heap_growth));
    let mut apply_time = Duration::ZERO;
    let mut answer_time = Duration::ZERO;
    let mut build_time = Duration::ZERO;
    let mut ranking_time = Duration::ZERO;
    for change in 1..=CHANGES {
        let now = Timestamp::from_millis(u64::from(10 * change));
        let peer_version = fleet.version(now);
        let mut revision = peer_version.revision;
        revision.number += 1;
        let entry = entry(upstreams / 2, addresses, revision);
        let update = Changes {
            age: Some(Duration::ZERO),
            revision,
            upstreams: vec![entry],
            ..Changes::default()
        };
        let start = Instant::now();
        fleet.apply(now, update);
        apply_time += start.elapsed();
        let start = Instant::now();
        black_box(fleet.is_newer_than(peer_version));
        black_box(fleet.changes_since(now, peer_version));
        answer_time += start.elapsed();
        let start = Instant::now();
        view = RelayView::build(&fleet, now, PEER_PORT, &view);
        build_time += start.elapsed();
        let start = Instant::now();
        let own_ip = IpAddr::V4(Ipv4Addr::new(10, 200, 0, 1));
        black_box(choose_sources(
            &fleet,
            now,
            own_ip,
            &Name::from("split"),
            PEER_PORT,
        ));
        ranking_time += start.elapsed();
    }
    let millis_per_change = |total: Duration| millis(total / CHANGES);
    report.add(
        "relay, one change applied",
        addresses,
        "ms",
        millis_per_change(apply_time),
    );
    report.add(
        "relay, one asker answered",
        addresses,
        "ms",
        millis_per_change(answer_time),
    );
    report.add(
        "relay, view of one change",
        addresses,
        "ms",
        millis_per_change(build_time),
    );
    report.add(
        "relay, sources ranked",
        addresses,
        "ms",
        millis_per_change(ranking_time),
    );
}

/// Measures the choice of an upstream for new flows of a service with `upstreams` upstreams.
pub(crate) fn first_choice(upstreams: u32, report: &mut Report) {
    let mut fleet = Fleet::default();
    fleet.apply(Timestamp(0), full_state(1, upstreams));
    let view = RelayView::build(&fleet, Timestamp(0), PEER_PORT, &RelayView::default());
    let Some(service) = view.service(ServiceId::of("service-0")) else {
        return;
    };
    let start = Instant::now();
    for port in 0..DECISIONS {
        let tuple = FiveTuple {
            source: SocketAddr::new(Ipv4Addr::new(198, 51, 100, 1).into(), port),
            destination: SocketAddr::new(Ipv4Addr::new(10, 0, 0, 0).into(), 80),
        };
        black_box(service.first_choice(tuple.flow_id(), |_| true));
    }
    let nanos_per_decision = start.elapsed().as_secs_f64() * 1e9 / f64::from(DECISIONS);
    report.add(
        "relay, entry of a flow",
        upstreams,
        "ns",
        nanos_per_decision,
    );
}

fn full_state(addresses: u32, upstreams: u32) -> Changes {
    let routes = (0..addresses).map(|index| Route {
        listener: SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0000 + index), 80),
        services: [WeightedService::new(&format!("service-{index}"), 1)]
            .into_iter()
            .collect(),
        idempotent: true,
        timeout: Duration::from_secs(2),
        priority: 1,
    });
    Changes {
        age: Some(Duration::ZERO),
        revision: StoreRevision::new(0, 1),
        routes: Some(RouteDocument {
            generation: Generation(1),
            routes: routes.collect(),
        }),
        is_full: true,
        upstreams: (0..upstreams)
            .map(|i| entry(i, addresses, StoreRevision::new(0, 1)))
            .collect(),
        ..Changes::default()
    }
}

fn entry(index: u32, addresses: u32, revision: StoreRevision) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("upstream-{index}").as_str().into(),
        service: format!("service-{}", index % addresses).as_str().into(),
        ip: Ipv4Addr::from_bits(0x0b00_0000 + index),
        data_centre: "split".into(),
        slots: 2,
        draining: false,
        incarnation: Incarnation(1),
        warm_up: Duration::ZERO,
        sequence: revision.number,
        revision,
    }
}
