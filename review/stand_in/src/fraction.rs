//! A small deployment whose settings have a bound with a fraction.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant;

use crate::fleet::{Fleet, SERVICE};
use crate::packet::{ACK, SYN};
use crate::{Outcome, ms, record, sleep_until};

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443);
const SIDES: usize = 2;
const FRONTS: usize = 2;
const FIRST_PORT: u16 = 10_000;
/// Ends of one process that count as a fault.
const MAX_ENDS: u32 = 3;

pub fn run(is_trouble: bool) -> Outcome {
    let mut fleet = Fleet::new(0);
    fleet.grace_s = if is_trouble { "6.5" } else { "6" };
    record(&format!("the settings have grace_s = {}", fleet.grace_s));
    fleet.put_config(1, &[ROUTE.port()], SERVICE);
    for side in 0..SIDES {
        fleet.add_side(SERVICE);
        fleet.start_backend(side);
        fleet.register_backend(side);
    }
    for _ in 0..FRONTS {
        fleet.add_front();
    }
    let mut ends = vec![0; FRONTS + SIDES];
    let deadline = Instant::now() + ms(5_000);
    while Instant::now() < deadline {
        sleep_until(Instant::now() + ms(500));
        let machines = fleet.fronts.iter_mut().chain(&mut fleet.sides);
        for (machine, ends) in machines.zip(&mut ends) {
            if *ends < MAX_ENDS && machine.restart_if_ended() {
                *ends += 1;
                let reason = machine.last_log_line();
                record(&format!(
                    "the process of {} has ended by itself: {reason}",
                    machine.name
                ));
            }
        }
    }
    let client = fleet.client();
    let mut opened = 0;
    for (index, front) in fleet.fronts.iter().enumerate() {
        let port = FIRST_PORT + index as u16;
        client.send(front.data_addr(), port, ROUTE, 1, 0, SYN, b"");
        sleep_until(Instant::now() + ms(600));
        opened += u32::from(client.find(port, |p| p.has(SYN) && p.has(ACK)).is_some());
    }
    let at_fault = ends.iter().filter(|ends| **ends >= MAX_ENDS).count();
    record(&format!(
        "flows: {FRONTS} begun, {opened} opened; processes that ended three times: {at_fault} of {}",
        ends.len()
    ));
    if at_fault >= 2 && opened == 0 {
        Outcome::Broken
    } else if opened as usize == FRONTS {
        Outcome::Held
    } else {
        Outcome::CouldNotRun
    }
}
