//! Admission and dequeuing of requests.

use std::fmt::Write as _;
use std::time::Duration;

use plantainquay_core::Timestamp;
use plantainquay_core::requests::{Admission, QueueConfig, RequestQueue, RequestSpec, Ticket};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn queue(slots: u32) -> RequestQueue {
    RequestQueue::new(QueueConfig::builder().slots(slots).max_waiting(3).build())
}

fn request(long: bool, deadline_ms: u64) -> RequestSpec {
    RequestSpec {
        long,
        deadline: Timestamp::from_millis(deadline_ms),
    }
}

#[test]
fn admissions_have_their_recorded_outcome() {
    let mut queue = queue(2);
    let mut out = String::new();
    let arrivals = [
        ("long", request(true, 9_000)),
        ("second long waits for the long slots", request(true, 9_000)),
        ("short takes the last slot", request(false, 5_000)),
        ("short waits", request(false, 5_000)),
        ("short with an earlier deadline", request(false, 3_000)),
        ("queue is full", request(false, 4_000)),
    ];
    for (description, request) in arrivals {
        let admission = queue.admit(Timestamp::default(), request);
        writeln!(out, "{description}: {admission:?}").expect("infallible");
    }
    for (ms, ticket) in [(100, 2), (200, 4), (300, 0), (400, 3), (9_000, 1)] {
        let dequeued = queue.finish(Timestamp::from_millis(ms), Ticket(ticket));
        writeln!(out, "{ms} ms, {ticket} ends: {dequeued:?}").expect("infallible");
    }
    writeln!(
        out,
        "running {}, waiting {}",
        queue.running(),
        queue.waiting()
    )
    .expect("infallible");
    insta::assert_snapshot!("admissions", out);
}

#[test]
fn request_that_cannot_make_its_deadline_is_refused_at_once() {
    let mut queue = queue(1);
    let first = queue.admit(Timestamp::default(), request(false, 10_000));
    assert_eq!(first, Admission::Run(Ticket(0)));
    let second = queue.admit(Timestamp::default(), request(false, 10_000));
    assert_eq!(second, Admission::Wait(Ticket(1)));
    let now = Timestamp::from_millis(1_000);
    queue.finish(now, Ticket(0));
    // A run takes one second and one request is running, so a new one needs two more seconds.
    let late = queue.admit(now, request(false, 2_500));
    assert!(matches!(late, Admission::Refuse(_)), "{late:?}");
    let in_time = queue.admit(now, request(false, 3_500));
    assert!(matches!(in_time, Admission::Wait(_)), "{in_time:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(bool, u64),
    Finish(usize),
    Cancel(usize),
    SetSlots(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<bool>(), 1_u64..2_000).prop_map(|(long, ms)| Step::Arrive(long, ms)),
        3 => (0_usize..20).prop_map(Step::Finish),
        1 => (0_usize..20).prop_map(Step::Cancel),
        1 => (1_u32..5).prop_map(Step::SetSlots),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Dequeuing never exceeds the slots, no request runs twice, and none is lost.
    #[test]
    fn slots_hold_and_no_request_is_lost(steps in prop::collection::vec(step(), 1..200)) {
        let mut slots = 2;
        let mut queue = queue(slots);
        let mut now = Timestamp::default();
        let mut running: Vec<Ticket> = Vec::new();
        let mut waiting: Vec<(Timestamp, Ticket)> = Vec::new();
        for step in steps {
            now = now + Duration::from_millis(7);
            let before = running.len();
            let mut dequeued = plantainquay_core::requests::Dequeued::default();
            match step {
                Step::Arrive(long, ms) => {
                    let deadline = now + Duration::from_millis(ms);
                    match queue.admit(now, RequestSpec { long, deadline }) {
                        Admission::Run(ticket) => running.push(ticket),
                        Admission::Wait(ticket) => waiting.push((deadline, ticket)),
                        Admission::Refuse(_) => {}
                    }
                }
                Step::Finish(index) if !running.is_empty() => {
                    let ticket = running.remove(index % running.len());
                    dequeued = queue.finish(now, ticket);
                }
                Step::Cancel(index) if !waiting.is_empty() => {
                    let (deadline, ticket) = waiting.remove(index % waiting.len());
                    prop_assert!(queue.cancel(deadline, ticket));
                }
                Step::SetSlots(count) => {
                    slots = count;
                    dequeued = queue.set_slots(now, count);
                }
                Step::Finish(_) | Step::Cancel(_) => {}
            }
            for ticket in dequeued.run.iter().chain(&dequeued.expired) {
                let index = waiting.iter().position(|(_, waiting_ticket)| waiting_ticket == ticket);
                prop_assert!(index.is_some(), "dequeued a request that was not waiting");
                waiting.remove(index.unwrap_or(0));
            }
            running.extend(dequeued.run);
            prop_assert!(running.len() <= before.max(slots as usize));
            prop_assert_eq!(queue.running(), running.len());
            prop_assert_eq!(queue.waiting(), waiting.len());
        }
    }
}
