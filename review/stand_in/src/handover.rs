//! One machine loses its path to the store, a new backend registers, and a front machine is
//! stopped in turn: its open flows go on through the other front machines.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant;

use crate::client::Client;
use crate::fleet::{Fleet, Machine, OTHER_SERVICE, SERVICE};
use crate::packet::{ACK, RST, SYN};
use crate::{Outcome, ms, record, sleep_until};

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443);
const FRONTS: usize = 7;
const SIDES: usize = 8;
/// Backends that are added: a quarter of those at the start.
const ADDED: usize = 2;
const ROUNDS: usize = 12;
/// Flows opened in a round.
const FLOWS: u16 = 400;

struct Flow {
    port: u16,
    ack: u32,
    backend: u8,
}

/// Plays the rounds; if `moves`, the new backends serve a new service, to which the route moves.
pub fn run(is_trouble: bool, moves: bool) -> Outcome {
    let mut resets = 0;
    for round in 0..ROUNDS {
        match play_round(round, is_trouble, moves) {
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

/// Returns the number of open flows that were reset although their backend held them.
fn play_round(round: usize, is_trouble: bool, moves: bool) -> Option<u32> {
    record(&format!("round {}: a fleet starts", round + 1));
    let mut fleet = Fleet::new(round as u32);
    fleet.put_config(1, &[ROUTE.port()], SERVICE);
    for side in 0..SIDES {
        fleet.add_side(SERVICE);
        fleet.start_backend(side);
        fleet.register_backend(side);
    }
    // Further backends and their nodes run as well; these backends register once they are warm.
    let first_new = SIDES;
    for side in first_new..first_new + ADDED {
        fleet.add_side(if moves { OTHER_SERVICE } else { SERVICE });
        fleet.start_backend(side);
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
    sleep_until(start + ms(4_500));
    let readers = fleet.readers();
    if readers.is_empty() {
        record("no machine watches the store");
        return None;
    }
    let reader = readers[round % readers.len()];
    if is_trouble {
        let reader = &fleet.sides[reader];
        record(&format!("{} is partitioned from the store", reader.name));
        reader.store_path.set_cut(true);
    }
    sleep_until(start + ms(4_520));
    let acked_at = Instant::now();
    for new_side in first_new..first_new + ADDED {
        let id = fleet.register_backend(new_side);
        record(&format!(
            "backend {} ({id}) registers: acked by the store",
            new_side + 1
        ));
    }
    if moves {
        fleet.put_config(2, &[ROUTE.port()], OTHER_SERVICE);
        record("version 2 moves the route to their service: acked by the store");
    }
    let front = 0;
    let data_addr = fleet.fronts[front].data_addr();
    let first_port = 10_000;
    let mut sent = 0;
    while acked_at.elapsed() < ms(700) {
        while sent < FLOWS && acked_at.elapsed() >= ms(50 + u64::from(sent / 2)) {
            client.send(data_addr, first_port + sent, ROUTE, 1, 0, SYN, b"");
            sent += 1;
        }
        acknowledge(client, data_addr, first_port, sent);
        sleep_until(Instant::now() + ms(1));
    }
    record(&format!("{} gets SIGTERM", fleet.fronts[front].name));
    fleet.fronts[front].signal("-TERM");
    // The platform asks for readiness twice per second; after two misses the node is out.
    let mut misses = 0;
    while misses < 2 {
        misses = if fleet.fronts[front].is_ready() {
            0
        } else {
            misses + 1
        };
        if misses < 2 {
            sleep_until(Instant::now() + ms(500));
        }
    }
    record(&format!(
        "{} is out of rotation; {sent} flows were begun through it",
        fleet.fronts[front].name
    ));
    let flows: Vec<Flow> = (0..sent)
        .filter_map(|i| {
            let port = first_port + i;
            let (_, answer) = client.find(port, |p| p.has(SYN) && p.has(ACK))?;
            let (ack, backend) = (answer.seq.wrapping_add(1), (answer.seq >> 24) as u8);
            Some(Flow { port, ack, backend })
        })
        .filter(|flow| holder(&fleet, flow).is_some())
        .collect();
    let at_new = flows
        .iter()
        .filter(|flow| usize::from(flow.backend) > first_new)
        .count();
    record(&format!(
        "open flows: {}, {at_new} of them at the new backends",
        flows.len()
    ));
    // Each client sends its request; the router hands it to one of the other front machines.
    let others: Vec<SocketAddrV4> = (0..FRONTS)
        .filter(|i| *i != front)
        .map(|i| fleet.fronts[i].data_addr())
        .collect();
    let deadline = Instant::now() + ms(600);
    for delay in [0, 200, 400] {
        for flow in &flows {
            let answered = client
                .find(flow.port, |p| p.has(RST) || !p.data.is_empty())
                .is_some();
            if !answered {
                let balancer = others[usize::from(flow.port) % others.len()];
                let text = format!("request {}", flow.port);
                client.send(
                    balancer,
                    flow.port,
                    ROUTE,
                    2,
                    flow.ack,
                    ACK,
                    text.as_bytes(),
                );
            }
        }
        sleep_until(deadline - ms(600) + ms(delay + 200));
    }
    let mut resets = 0;
    let mut answered = 0;
    for flow in &flows {
        let reset = client.find(flow.port, |p| p.has(RST) && p.sum == 0);
        let answer = client.find(flow.port, |p| !p.data.is_empty());
        answered += u32::from(answer.is_some());
        if usize::from(flow.backend) > first_new {
            let end = match (&answer, &reset) {
                (Some((_, answer)), _) => {
                    format!("answered: {}", String::from_utf8_lossy(&answer.data))
                }
                (None, Some(_)) => "reset".to_owned(),
                (None, None) => "no answer".to_owned(),
            };
            record(&format!(
                "flow {} at backend {}: request sent, {end}",
                client.flow(flow.port),
                flow.backend
            ));
        }
        let Some((at, reset)) = reset else { continue };
        if holder(&fleet, flow).is_some() {
            resets += 1;
            record(&format!(
                "flow {}: open at backend {}, reset by the system (seq {:#x}, ack of the client {:#x}) {} ms after the new backends were acked",
                client.flow(flow.port),
                flow.backend,
                reset.seq,
                flow.ack,
                at.duration_since(acked_at).as_millis()
            ));
        }
    }
    let runs: usize = fleet
        .sides
        .iter()
        .filter_map(|s| s.backend.as_ref())
        .map(|b| b.run_count())
        .sum();
    record(&format!(
        "requests: {} sent, {runs} run, {answered} answered; open flows reset: {resets}",
        flows.len()
    ));
    Some(resets)
}

/// Ends the handshake of each flow whose answer has arrived.
fn acknowledge(client: &Client, balancer: SocketAddrV4, first_port: u16, sent: u16) {
    for port in first_port..first_port + sent {
        if let Some((_, answer)) = client.take_answer(port) {
            client.send(
                balancer,
                port,
                ROUTE,
                2,
                answer.seq.wrapping_add(1),
                ACK,
                b"",
            );
        }
    }
}

/// Returns the machine whose backend holds the flow.
fn holder<'a>(fleet: &'a Fleet, flow: &Flow) -> Option<&'a Machine> {
    let machine = fleet.sides.get(usize::from(flow.backend).checked_sub(1)?)?;
    let caller = SocketAddrV4::new(*fleet.net.client().ip(), flow.port);
    let backend = machine.backend.as_ref()?;
    backend.holds(caller).then_some(machine)
}
