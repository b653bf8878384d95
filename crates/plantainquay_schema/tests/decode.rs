//! Decoding never panics, and encoded headers round-trip.

use plantainquay_schema::wire::tunnel as wire;
use plantainquay_schema::{
    Document, Generation, Load, ServiceId, Settings, TunnelHeader, UpstreamNumber,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const EXAMPLE: &str = include_str!("../../../examples/gusterna.yaml");

fn number() -> impl Strategy<Value = UpstreamNumber> {
    (1_u32..=UpstreamNumber::MAX.into()).prop_filter_map("in range", UpstreamNumber::new)
}

fn header() -> impl Strategy<Value = TunnelHeader> {
    let load = (any::<u32>(), any::<u32>(), any::<bool>());
    let load = load.prop_map(|(open_flows, capacity, accepting)| Load {
        open_flows,
        capacity,
        accepting,
    });
    let tried = prop::collection::vec(number(), 0..=8);
    let rest = (
        prop::option::of(number()),
        prop::option::of(load),
        any::<bool>(),
    );
    (any::<u64>(), any::<u64>(), tried, rest).prop_map(
        |(generation, service, tried, (from, load, placed))| TunnelHeader {
            generation: Generation(generation),
            service: ServiceId(service),
            tried: tried.into_iter().collect(),
            from,
            load,
            placed,
        },
    )
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(19),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn tunnel_header_round_trips(header in header()) {
        let wire = wire::TunnelHeader::from(&header);
        prop_assert_eq!(TunnelHeader::try_from(wire), Ok(header));
    }

    #[test]
    fn arbitrary_header_does_not_panic(
        tried in prop::collection::vec(any::<u32>(), 0..20),
        from_upstream in any::<u32>(),
    ) {
        let wire = wire::TunnelHeader { tried, from_upstream, ..wire::TunnelHeader::default() };
        let _checked = TunnelHeader::try_from(wire);
    }

    #[test]
    fn no_text_panics(text in "[ -~\n]{0,200}") {
        let _document = Document::from_yaml(&text);
        let _settings = Settings::from_yaml(&text);
    }

    /// A document with one changed byte is either rejected with errors or still valid.
    #[test]
    fn no_changed_document_panics(at in any::<prop::sample::Index>(), byte in 32_u8..127) {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        if let Err(errors) = Document::from_yaml(&String::from_utf8_lossy(&bytes)) {
            prop_assert!(!errors.is_empty());
        }
    }
}
