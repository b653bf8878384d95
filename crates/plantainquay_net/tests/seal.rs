//! Signed datagrams: only those signed with a known key are decoded.

use plantainquay_net::{SealError, Sealer, VerifiedDatagram, parse_segment, reset_for, write_tag};
use plantainquay_schema::{
    AgentMessage, AgentMessageBody, DocumentVersion, FlowId, Generation, Incarnation, Key, KeyId,
    Load, ServiceId, TunnelHeader, UpstreamNumber,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn key(id: u8) -> Key {
    Key {
        id: KeyId(id),
        secret: [id; 16],
    }
}

fn sealer(ids: &[u8]) -> Sealer {
    let keys: Vec<Key> = ids.iter().map(|id| key(*id)).collect();
    Sealer::new(&keys).expect("there is a key")
}

fn header() -> TunnelHeader {
    let number = |n| UpstreamNumber::new(n).expect("in range");
    TunnelHeader {
        generation: Generation(7),
        service: ServiceId::of("curing"),
        tried: [number(3), number(4_095)].into_iter().collect(),
        from: Some(number(3)),
        load: Some(Load {
            open_flows: 9,
            capacity: 2_000,
            accepting: true,
        }),
        placed: true,
    }
}

#[test]
fn tunnel_datagram_round_trips() {
    let mut buf = Vec::new();
    sealer(&[1]).seal_tunnel(&header(), b"packet", &mut buf);
    assert_eq!(
        sealer(&[1]).open(&buf),
        Ok(VerifiedDatagram::Tunnel(header(), b"packet"))
    );
}

#[test]
fn agent_message_round_trips() {
    let message = AgentMessage {
        service: ServiceId::of("curing"),
        from: UpstreamNumber::new(5).expect("in range"),
        incarnation: Incarnation(11),
        version: DocumentVersion {
            generation: Generation(7),
            digest_prefix: 8,
        },
        settled: DocumentVersion::default(),
        body: AgentMessageBody::Held(vec![FlowId(1), FlowId(u64::MAX)]),
    };
    let mut buf = Vec::new();
    sealer(&[1]).seal_agent(&message, &mut buf);
    assert_eq!(
        sealer(&[1]).open(&buf),
        Ok(VerifiedDatagram::Agent(message))
    );
}

/// Rotates a key without downtime: the new key is added second, then moved first, then the old
/// key is removed.
#[test]
fn keys_can_be_changed_in_steps() {
    let steps = [sealer(&[1]), sealer(&[1, 2]), sealer(&[2, 1]), sealer(&[2])];
    for pair in steps.windows(2) {
        for (from, to) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            let mut buf = Vec::new();
            from.seal_tunnel(&header(), b"packet", &mut buf);
            assert_eq!(
                to.open(&buf),
                Ok(VerifiedDatagram::Tunnel(header(), b"packet"))
            );
        }
    }
    let mut buf = Vec::new();
    steps[0].seal_tunnel(&header(), b"packet", &mut buf);
    assert_eq!(steps[3].open(&buf), Err(SealError::UnknownKey(1)));
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn any_changed_byte_is_refused(at in any::<prop::sample::Index>(), flip in 1_u8..) {
        let mut buf = Vec::new();
        sealer(&[1]).seal_tunnel(&header(), b"some packet", &mut buf);
        let at = at.index(buf.len());
        buf[at] ^= flip;
        prop_assert!(sealer(&[1]).open(&buf).is_err());
    }

    /// Neither random bytes nor random bytes with a valid signature cause a panic.
    #[test]
    fn no_datagram_panics(mut bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _opened = sealer(&[1]).open(&bytes);
        if bytes.len() > 12 {
            bytes[0] = 1 + bytes[0] % 2;
            sign(&mut bytes);
            let _opened = sealer(&[1]).open(&bytes);
        }
    }

    #[test]
    fn no_packet_panics(mut bytes in prop::collection::vec(any::<u8>(), 0..120), v6 in any::<bool>()) {
        if let Some(first) = bytes.first_mut() {
            *first = if v6 { 0x60 } else { 0x45 };
        }
        if bytes.len() > 40 {
            bytes[if v6 { 6 } else { 9 }] = 6;
            let length = u16::try_from(bytes.len()).expect("short");
            let (at, value) = if v6 { (4, length - 40) } else { (2, length) };
            bytes[at..at + 2].copy_from_slice(&value.to_be_bytes());
        }
        let _segment = parse_segment(&bytes);
        let _reset = reset_for(&bytes);
        let number = UpstreamNumber::new(9).expect("in range");
        let _written = write_tag(&mut bytes, number, plantainquay_core::Timestamp(1));
    }
}

/// Writes a valid tag into the datagram.
fn sign(bytes: &mut [u8]) {
    use std::hash::Hasher;
    bytes[1] = 1;
    let mut hasher = siphasher::sip::SipHasher24::new_with_key(&[1; 16]);
    hasher.write(&bytes[..2]);
    hasher.write(&bytes[10..]);
    bytes[2..10].copy_from_slice(&hasher.finish().to_le_bytes());
}
