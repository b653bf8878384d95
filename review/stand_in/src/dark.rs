//! Two machines lose power for good, and the config changes in quick succession meanwhile.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::fleet::{Fleet, HEARTBEAT, SERVICE};
use crate::packet::{ACK, RST, SYN};
use crate::{Outcome, ms, record, sleep_until};

const HOST: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);
const FRONTS: usize = 4;
const SIDES: usize = 24;
const ROUNDS: usize = 10;
/// `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(3_000);
/// Time beyond the bound at which a client asks.
const MARGIN: Duration = Duration::from_millis(20);
/// A storm of changes: one each 80 ms for 2 s.
const CHANGES: usize = 25;
const CHANGE_GAP_MS: u64 = 80;
const FIRST_CHANGE_MS: u64 = 1_200;
/// Length of a round; by its end other machines read the store.
const ROUND: Duration = Duration::from_millis(9_000);
/// Routes in force at once; a version that adds one removes the oldest beyond these.
const MAX_ROUTES: usize = 100;
const FIRST_ROUTE_PORT: u16 = 2_000;

struct Change {
    port: u16,
    acked_at: Instant,
    first_flow: Option<u16>,
}

pub fn run(is_trouble: bool) -> Outcome {
    let mut fleet = Fleet::new(0);
    let mut ports = vec![FIRST_ROUTE_PORT];
    fleet.put_config(1, &ports, SERVICE);
    let mut ids = Vec::new();
    for side in 0..SIDES {
        fleet.add_side(SERVICE);
        fleet.start_backend(side);
        ids.push(fleet.register_backend(side));
    }
    for _ in 0..FRONTS {
        fleet.add_front();
    }
    if !fleet.wait_ready() {
        record("not every process was ready in time");
        return Outcome::CouldNotRun;
    }
    let client = fleet.client();
    let mut next_flow = 10_000;
    let mut late = 0;
    sleep_until(Instant::now() + ms(4_500));
    let start = Instant::now();
    for round in 0..ROUNDS {
        sleep_until(start + ROUND * round as u32);
        let readers = fleet.readers();
        let names: Vec<&str> = readers
            .iter()
            .map(|side| fleet.sides[*side].name.as_str())
            .collect();
        record(&format!(
            "round {}: these machines watch the store: {}",
            round + 1,
            names.join(", ")
        ));
        if readers.len() < 2 {
            return Outcome::CouldNotRun;
        }
        let lost = if is_trouble { &readers[..2] } else { &[] };
        late += play_round(&fleet, &client, lost, &ids, &mut ports, &mut next_flow);
    }
    record(&format!(
        "flows that were reset although their route was acked more than 3 s before: {late}"
    ));
    if late > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

fn play_round(
    fleet: &Fleet,
    client: &Client,
    lost: &[usize],
    ids: &[String],
    ports: &mut Vec<u16>,
    next_flow: &mut u16,
) -> u32 {
    let start = Instant::now();
    for side in lost {
        let machine = &fleet.sides[*side];
        record(&format!("{} loses power", machine.name));
        machine.signal("-STOP");
        if let Some(backend) = &machine.backend {
            backend.stop();
        }
    }
    // An entry is removed after three heartbeat intervals of silence.
    let mut removals: Vec<(Instant, usize)> = lost
        .iter()
        .map(|side| {
            (
                start + 3 * HEARTBEAT - ms(*side as u64 * 370 % 1_200),
                *side,
            )
        })
        .collect();
    let mut changes: Vec<Change> = Vec::new();
    let mut probed = 0;
    while probed < changes.len() || changes.len() < CHANGES {
        let now = Instant::now();
        removals.retain(|(at, side)| {
            if now < *at {
                return true;
            }
            fleet.store.remove(&format!("servers/{}", ids[*side]));
            record(&format!(
                "the entry of {} is removed",
                fleet.sides[*side].name
            ));
            false
        });
        if changes.len() < CHANGES
            && now >= start + ms(FIRST_CHANGE_MS + CHANGE_GAP_MS * changes.len() as u64)
        {
            let port = FIRST_ROUTE_PORT + ports.len() as u16;
            ports.push(port);
            let in_force = &ports[ports.len().saturating_sub(MAX_ROUTES)..];
            fleet.put_config(ports.len() as u64, in_force, SERVICE);
            changes.push(Change {
                port,
                acked_at: Instant::now(),
                first_flow: None,
            });
        }
        if let Some(change) = changes.get_mut(probed)
            && now >= change.acked_at + APPLY + MARGIN
        {
            change.first_flow = Some(*next_flow);
            for front in &fleet.fronts {
                let route = SocketAddrV4::new(HOST, change.port);
                client.send(front.data_addr(), *next_flow, route, 1, 0, SYN, b"");
                *next_flow += 1;
            }
            probed += 1;
        }
        sleep_until(Instant::now() + ms(2));
    }
    sleep_until(Instant::now() + ms(300));
    let (mut late, mut answered) = (0, 0);
    for change in &changes {
        let first = change.first_flow.expect("every change was tried");
        for (index, front) in fleet.fronts.iter().enumerate() {
            let flow = first + index as u16;
            if client.find(flow, |p| p.has(SYN) && p.has(ACK)).is_some() {
                answered += 1;
            }
            if let Some((at, _)) = client.find(flow, |p| p.has(RST) && p.sum == 0) {
                late += 1;
                record(&format!(
                    "route 198.18.0.1:{}: acked {} ms after the loss; the SYN of {} through {} was reset {} ms after the ack",
                    change.port,
                    (change.acked_at - start).as_millis(),
                    client.flow(flow),
                    front.name,
                    (at - change.acked_at).as_millis()
                ));
            }
        }
    }
    record(&format!(
        "{} versions, each tried through {} front machines after 3,020 ms: {answered} flows opened, {late} reset",
        changes.len(),
        fleet.fronts.len()
    ));
    late
}
