//! Two endpoints connected by a lossy network, with tagged timestamps.

use std::collections::VecDeque;
use std::time::Duration;

use plantainquay_core::{FiveTuple, Timestamp};
use plantainquay_net::{Packets, Received, TcpEndpoint, parse_segment, reset_for, write_tag};
use plantainquay_schema::UpstreamNumber;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

const NUMBER: u32 = 4_095;
const TRANSFER_BYTES: usize = 50_000;

struct Pair {
    caller: TcpEndpoint,
    agent: TcpEndpoint,
    now: Timestamp,
    to_agent: VecDeque<Vec<u8>>,
    to_caller: VecDeque<Vec<u8>>,
    tags: Vec<Option<UpstreamNumber>>,
}

impl Pair {
    fn new(echoes: bool, v6: bool) -> Self {
        let (source, destination) = if v6 {
            ("[2001:db8::1]:40000", "[2001:db8::2]:80")
        } else {
            ("198.51.100.1:40000", "192.0.2.1:80")
        };
        let tuple = FiveTuple::tcp(source, destination).expect("two addresses");
        let now = Timestamp::from_millis(10_000);
        let caller = TcpEndpoint::connect(&tuple, 1, now);
        Self {
            caller: if echoes {
                caller
            } else {
                caller.without_timestamps()
            },
            agent: TcpEndpoint::listen(&tuple, 2, now),
            now,
            to_agent: VecDeque::new(),
            to_caller: VecDeque::new(),
            tags: Vec::new(),
        }
    }

    /// Runs one round: polls both endpoints and delivers the packets for which `keep` returns true.
    fn round(&mut self, keep: &mut dyn FnMut() -> bool) {
        self.now = self.now + Duration::from_millis(50);
        let sent = self.caller.poll(self.now);
        self.to_agent.extend(sent);
        let sent = self.agent.poll(self.now);
        self.answer(sent);
        while let Some(packet) = self.to_agent.pop_front() {
            let segment = parse_segment(&packet).expect("a TCP segment");
            self.tags.push(segment.tag);
            if keep() {
                let sent = self.agent.deliver(self.now, &packet);
                self.answer(sent);
            }
        }
        while let Some(packet) = self.to_caller.pop_front() {
            if keep() {
                let sent = self.caller.deliver(self.now, &packet);
                self.to_agent.extend(sent);
            }
        }
    }

    fn answer(&mut self, packets: Packets) {
        let number = UpstreamNumber::new(NUMBER).expect("in range");
        for mut packet in packets {
            write_tag(&mut packet, number, self.now);
            self.to_caller.push_back(packet);
        }
    }
}

#[rstest]
#[case::echoing_v4(true, false)]
#[case::echoing_v6(true, true)]
#[case::silent_v4(false, false)]
fn caller_echoes_the_tag_where_it_sends_timestamps(#[case] echoes: bool, #[case] v6: bool) {
    let mut pair = Pair::new(echoes, v6);
    for _ in 0..5 {
        pair.round(&mut || true);
        pair.caller.send(b"hello");
    }
    assert!(pair.agent.is_established());
    let expected = UpstreamNumber::new(NUMBER).filter(|_| echoes);
    assert_eq!(pair.tags[0], None, "an opening packet has nothing to echo");
    assert!(pair.tags.len() > 2);
    assert!(
        pair.tags[1..].iter().all(|tag| *tag == expected),
        "{:?}",
        pair.tags
    );
}

#[test]
fn reset_answers_an_established_packet() {
    let mut pair = Pair::new(true, false);
    for _ in 0..3 {
        pair.round(&mut || true);
    }
    pair.caller.send(b"hello");
    let packet = pair.caller.poll(pair.now).pop().expect("a segment is due");
    let reset = reset_for(&packet).expect("a TCP segment");
    assert!(parse_segment(&reset).expect("a TCP segment").reset);
    pair.caller.deliver(pair.now, &reset);
    assert!(
        pair.caller.is_closed(),
        "the caller takes the reset for its flow's"
    );
    let mut buf = [0; 8];
    assert_eq!(pair.caller.recv(&mut buf), Received::Reset);
}

/// Guards against a leak: the reset returns the socket to the listen state, so the flow was never
/// removed.
#[test]
fn flow_that_is_reset_during_its_handshake_is_over() {
    let mut pair = Pair::new(true, false);
    let opening = pair
        .caller
        .poll(pair.now)
        .pop()
        .expect("an opening segment");
    let answer = pair
        .agent
        .deliver(pair.now, &opening)
        .pop()
        .expect("an answer");
    assert!(!pair.agent.is_closed() && !pair.agent.is_established());
    let reset = reset_for(&answer).expect("a TCP segment");
    pair.agent.deliver(pair.now, &reset);
    assert!(pair.agent.is_closed());
}

proptest! {
    #![proptest_config(Config {
        cases: 40,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Every byte arrives once and in order in spite of packet loss.
    #[test]
    fn bytes_arrive_whole_over_a_lossy_network(
        losses in prop::collection::vec(prop::bool::weighted(0.1), 400),
        echoes in any::<bool>(),
    ) {
        let bytes: Vec<u8> = (0..=250_u8).cycle().take(TRANSFER_BYTES).collect();
        let mut pair = Pair::new(echoes, false);
        let mut losses = losses.into_iter().chain(std::iter::repeat(false));
        let mut sent = 0;
        let mut received = Vec::new();
        for _ in 0..2_000 {
            pair.round(&mut || !losses.next().unwrap_or(false));
            if pair.agent.is_established() && sent < bytes.len() {
                sent += pair.agent.send(&bytes[sent..]);
            }
            let mut buf = [0; 4_096];
            while let Received::Bytes(count) = pair.caller.recv(&mut buf) {
                received.extend_from_slice(&buf[..count]);
            }
            if received.len() == bytes.len() {
                break;
            }
        }
        prop_assert!(received == bytes, "{} of {} bytes", received.len(), bytes.len());
    }
}
