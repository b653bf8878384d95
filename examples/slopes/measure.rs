//! Measurements of documents, balancers and agents.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use plantainquay_core::agent::{AgentConfig, AgentState, Verdict, on_packet, on_tick};
use plantainquay_core::{FiveTuple, RouteMap, Segment, Timestamp, balancer};
use plantainquay_net::{Sealer, TcpEndpoint};
use plantainquay_schema::{
    AgentMessage, Document, InForce, Incarnation, Key, KeyId, ServiceId, TunnelHeader,
    UpstreamNumber, wire,
};

use crate::ALLOCATOR;
use crate::documents::document;
use crate::report::Report;

const LOOKUPS: u32 = 1_000_000;
const TICKS: u64 = 1_000;

/// Measures a balancer's state and decisions with `services` services.
pub(crate) fn routes(services: u32, report: &mut Report) -> Result<()> {
    let heap_at_start = heap_bytes();
    let start = Instant::now();
    let first = document(services, false)?;
    report.add("document check", services, "ms", millis(start.elapsed()));
    let heap_growth = heap_bytes().saturating_sub(heap_at_start);
    report.add("document memory", services, "MB", megabytes(heap_growth));
    let start = Instant::now();
    black_box(first.version());
    report.add("document digest", services, "ms", millis(start.elapsed()));
    let heap_before = heap_bytes();
    let start = Instant::now();
    let routes = RouteMap::build(&first, &RouteMap::default());
    report.add("routes build", services, "ms", millis(start.elapsed()));
    let heap_growth = heap_bytes().saturating_sub(heap_before);
    report.add("routes memory", services, "MB", megabytes(heap_growth));
    let second = document(services, true)?;
    let start = Instant::now();
    let changed_routes = RouteMap::build(&second, &routes);
    report.add(
        "routes, one service changed",
        services,
        "ms",
        millis(start.elapsed()),
    );
    black_box(&changed_routes);
    report.add(
        "decision, untagged",
        services,
        "ns",
        decisions(&routes, services, None),
    );
    let tag = UpstreamNumber::new(1);
    report.add(
        "decision, tagged",
        services,
        "ns",
        decisions(&routes, services, tag),
    );
    report.add(
        "memory, two generations held",
        services,
        "MB",
        megabytes(heap_bytes()),
    );
    Ok(())
}

fn decisions(routes: &RouteMap, services: u32, tag: Option<UpstreamNumber>) -> f64 {
    let start = Instant::now();
    for i in 0..LOOKUPS {
        let [_, a, b, c] = (i.wrapping_mul(7_919) % services).to_be_bytes();
        let destination = SocketAddr::from(([10, a, b, c], 80));
        let mut segment = Segment::established(tuple(i, destination));
        if tag.is_some() {
            segment = segment.with_tag(tag);
        }
        black_box(balancer::route(routes, &segment).is_ok());
    }
    nanos_each(start.elapsed(), LOOKUPS)
}

/// Measures an agent's decisions with `flows` open flows.
pub(crate) fn flows(flows: u32, report: &mut Report) -> Result<()> {
    let document = document(46, false)?;
    let state = agent(&document)?;
    let now = Timestamp::from_millis(20_000);
    let header = TunnelHeader {
        service: ServiceId::of("service-45"),
        ..TunnelHeader::default()
    };
    let destination = SocketAddr::from(([10, 0, 0, 45], 80));
    let heap_before = heap_bytes();
    let start = Instant::now();
    for i in 0..flows {
        let segment = Segment::opening(tuple(i, destination)).with_tag(None);
        let flow = segment.tuple.flow_id();
        let mut shard = state.shard(flow);
        if let Verdict::Open(opening) = on_packet(&state, &mut shard, now, &header, &segment) {
            state.open(&mut shard, now, opening, ());
        }
        shard.mark_established(flow);
    }
    report.add(
        "flow opening",
        flows,
        "ns",
        nanos_each(start.elapsed(), flows),
    );
    let heap_growth = heap_bytes().saturating_sub(heap_before);
    let bytes_per_flow = megabytes(heap_growth) * 1e6 / f64::from(flows);
    report.add("flow entry, without endpoint", flows, "B", bytes_per_flow);
    let start = Instant::now();
    for i in 0..LOOKUPS {
        let segment = Segment::established(tuple(i % flows, destination));
        let mut shard = state.shard(segment.tuple.flow_id());
        black_box(on_packet(&state, &mut shard, now, &header, &segment));
    }
    report.add(
        "packet of a held flow",
        flows,
        "ns",
        nanos_each(start.elapsed(), LOOKUPS),
    );
    Ok(())
}

/// Measures the memory of TCP endpoints with their buffers.
pub(crate) fn endpoints(count: u32, report: &mut Report) {
    let heap_before = heap_bytes();
    let now = Timestamp::from_millis(1);
    let destination = SocketAddr::from(([192, 0, 2, 1], 80));
    let endpoints: Vec<TcpEndpoint> = (0..count)
        .map(|i| TcpEndpoint::listen(&tuple(i, destination), u64::from(i), now))
        .collect();
    let heap_growth = heap_bytes().saturating_sub(heap_before);
    let kilobytes_each = megabytes(heap_growth) * 1e3 / f64::from(count);
    report.add("TCP endpoint", count, "KB", kilobytes_each);
    drop(black_box(endpoints));
}

/// Measures the size of messages, and the time and traffic of an agent's ticks.
pub(crate) fn messages(report: &mut Report) -> Result<()> {
    let document = document(46, false)?;
    let state = agent(&document)?;
    let sealer = Sealer::new(&[Key {
        id: KeyId(1),
        secret: [7; 16],
    }])?;
    let mut buf = Vec::new();
    let mut sent_bytes = 0;
    let start = Instant::now();
    for tick in 1..=TICKS {
        let outbox = on_tick(&state, Timestamp::from_millis(tick * 250));
        for (_, message) in outbox {
            sent_bytes += datagram_bytes(&sealer, &message, &mut buf);
        }
    }
    let elapsed = start.elapsed();
    let seconds = u32::try_from(TICKS / 4)?;
    report.add(
        "agent tick",
        3,
        "us",
        nanos_each(elapsed, u32::try_from(TICKS)?) / 1e3,
    );
    let bytes = f64::from(u32::try_from(sent_bytes)?) / f64::from(seconds);
    report.add("load queries sent by an agent", 3, "B/s", bytes);
    let in_force = InForce {
        environment: document.environment.clone(),
        generation: document.generation,
        digest: document.digest(),
    };
    let request = sealer.seal_peer(&wire::peer::InForce::from(&in_force));
    report.add(
        "exchange, one side",
        1,
        "B",
        f64::from(u32::try_from(request.datagram.len())?),
    );
    Ok(())
}

fn datagram_bytes(sealer: &Sealer, message: &AgentMessage, buf: &mut Vec<u8>) -> usize {
    /// IPv4 and UDP headers.
    const OUTER_BYTES: usize = 28;
    sealer.seal_agent(message, buf);
    buf.len() + OUTER_BYTES
}

/// Creates the first agent of a service with three upstreams.
fn agent(document: &Document) -> Result<AgentState<()>> {
    let config = AgentConfig::builder()
        .service(ServiceId::of("service-45"))
        .number(UpstreamNumber::new(1).context("in range")?)
        .incarnation(Incarnation(1))
        .max_half_open(usize::MAX / 64)
        .build();
    let state = AgentState::new(config, Timestamp::default());
    let _announcements = state.install(document);
    Ok(state)
}

fn tuple(index: u32, destination: SocketAddr) -> FiveTuple {
    let [_, a, b, c] = index.to_be_bytes();
    FiveTuple {
        source: SocketAddr::from(([172, a, b, c], 40_000)),
        destination,
    }
}

/// Returns the number of bytes that are allocated on the heap.
pub(crate) fn heap_bytes() -> u64 {
    let stats = ALLOCATOR.stats();
    (stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)) as u64
}

pub(crate) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn nanos_each(time: Duration, count: u32) -> f64 {
    time.as_secs_f64() * 1e9 / f64::from(count)
}

#[expect(clippy::cast_precision_loss, reason = "sizes stay far below 2^52")]
pub(crate) fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}
