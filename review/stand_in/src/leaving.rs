//! A backend is emptied and leaves, and a front machine is stopped in turn. Nothing is disturbed.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant;

use crate::client::Client;
use crate::fleet::{Fleet, SERVICE};
use crate::packet::{ACK, RST, SYN};
use crate::{Outcome, ms, record, sleep_until};

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443);
const FRONTS: usize = 3;
const SIDES: usize = 6;
const ROUNDS: usize = 5;
const FLOWS: u16 = 300;
const FIRST_PORT: u16 = 10_000;
/// Side machine whose backend leaves.
const LEAVING: usize = 2;
/// Time from a backend's end until its node gets SIGTERM.
const SIGTERM_DELAY_MS: u64 = 500;

struct Flow {
    port: u16,
    ack: u32,
    backend: u8,
}

pub fn run(is_trouble: bool) -> Outcome {
    let mut resets = 0;
    for round in 0..ROUNDS {
        match play_round(round, is_trouble) {
            Some(count) => resets += count,
            None => return Outcome::CouldNotRun,
        }
    }
    record(&format!(
        "open flows that got a reset of the system: {resets}"
    ));
    if resets > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

fn play_round(round: usize, is_trouble: bool) -> Option<u32> {
    record(&format!("round {}: a fleet starts", round + 1));
    let mut fleet = Fleet::new(round as u32);
    fleet.put_config(1, &[ROUTE.port()], SERVICE);
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
        return None;
    }
    let client = &fleet.client();
    let start = Instant::now();
    sleep_until(start + ms(3_000));
    let fronts: Vec<SocketAddrV4> = fleet.fronts.iter().map(|front| front.data_addr()).collect();
    let flows = open_flows(client, fronts[0]);
    record(&format!("{} flows opened through front-1", flows.len()));
    ask(client, &flows, 2, |_| fronts[0]);
    sleep_until(Instant::now() + ms(200));
    sleep_until(start + ms(4_500));
    if is_trouble {
        fleet.put_entry(LEAVING, &ids[LEAVING], "draining", 2);
        record(&format!(
            "backend {} is draining: acked by the store",
            LEAVING + 1
        ));
    }
    // drain_ms and a little longer.
    let exit_at = start + ms(8_500);
    sleep_until(exit_at - ms(600));
    record("front-1 gets SIGTERM");
    fleet.fronts[0].signal("-TERM");
    let mut misses = 0;
    while misses < 2 {
        misses = if fleet.fronts[0].is_ready() {
            0
        } else {
            misses + 1
        };
        if misses < 2 {
            sleep_until(Instant::now() + ms(500));
        }
    }
    record("front-1 is out of rotation; its flows go through the others");
    sleep_until(exit_at);
    if is_trouble {
        fleet.sides[LEAVING].backend.as_ref()?.exit();
        fleet.store.remove(&format!("servers/{}", ids[LEAVING]));
        record(&format!(
            "backend {} has terminated; its entry is removed",
            LEAVING + 1
        ));
    }
    let alive: Vec<&Flow> = flows
        .iter()
        .filter(|flow| !is_trouble || usize::from(flow.backend) != LEAVING + 1)
        .collect();
    let others = |port: u16| fronts[1 + usize::from(port) % (FRONTS - 1)];
    for flow in &alive {
        let text = format!("request 2 of {}", flow.port);
        client.send(
            others(flow.port),
            flow.port,
            ROUTE,
            20,
            flow.ack,
            ACK,
            text.as_bytes(),
        );
        sleep_until(Instant::now() + ms(1));
    }
    sleep_until(exit_at + ms(SIGTERM_DELAY_MS));
    if is_trouble {
        record(&format!(
            "the node of {} gets SIGTERM",
            fleet.sides[LEAVING].name
        ));
        fleet.sides[LEAVING].signal("-TERM");
    }
    sleep_until(exit_at + ms(SIGTERM_DELAY_MS + 600));
    let (mut resets, mut answered) = (0, 0);
    for flow in &alive {
        let wanted = format!("request 2 of {}", flow.port);
        let has_answer =
            |p: &crate::packet::Packet| String::from_utf8_lossy(&p.data).contains(&wanted);
        let answer = client.find(flow.port, has_answer);
        answered += u32::from(answer.is_some());
        let Some((at, reset)) = client.find(flow.port, |p| p.has(RST) && p.sum == 0) else {
            continue;
        };
        let holder = fleet.sides[usize::from(flow.backend) - 1]
            .backend
            .as_ref()?;
        if holder.holds(client.flow(flow.port)) {
            resets += 1;
            record(&format!(
                "flow {}: open at backend {}, reset by the system {} ms after backend {} terminated (seq {:#x}, ack of the client {:#x})",
                client.flow(flow.port),
                flow.backend,
                (at - exit_at).as_millis(),
                LEAVING + 1,
                reset.seq,
                flow.ack
            ));
        }
    }
    record(&format!(
        "second requests on flows of the other backends: {} sent, {answered} answered; open flows reset: {resets}",
        alive.len()
    ));
    Some(resets)
}

/// Opens the flows and ends their handshakes.
fn open_flows(client: &Client, front: SocketAddrV4) -> Vec<Flow> {
    for port in FIRST_PORT..FIRST_PORT + FLOWS {
        client.send(front, port, ROUTE, 1, 0, SYN, b"");
        sleep_until(Instant::now() + ms(1));
    }
    sleep_until(Instant::now() + ms(200));
    let mut flows = Vec::new();
    for port in FIRST_PORT..FIRST_PORT + FLOWS {
        if let Some((_, answer)) = client.find(port, |p| p.has(SYN) && p.has(ACK)) {
            let (ack, backend) = (answer.seq.wrapping_add(1), (answer.seq >> 24) as u8);
            client.send(front, port, ROUTE, 2, ack, ACK, b"");
            flows.push(Flow { port, ack, backend });
        }
    }
    flows
}

/// Sends the first request on each flow.
fn ask(client: &Client, flows: &[Flow], seq: u32, front: impl Fn(u16) -> SocketAddrV4) {
    for flow in flows {
        let text = format!("request 1 of {}", flow.port);
        client.send(
            front(flow.port),
            flow.port,
            ROUTE,
            seq,
            flow.ack,
            ACK,
            text.as_bytes(),
        );
        sleep_until(Instant::now() + ms(1));
    }
}
