//! The document in force never reverts, and all processes converge on the same one.

#[path = "support/documents.rs"]
mod common;

use std::sync::Arc;

use common::document;
use plantainquay_core::{DocumentState, OfferOutcome};
use plantainquay_schema::Document;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[test]
fn offers_have_their_recorded_outcome() {
    let mut documents = DocumentState::default();
    let generation_2 = document("feed", 2, &[1, 2], &[]);
    let mut other = generation_2.to_wire().clone();
    other.environment = "other".to_owned();
    other.generation = 9;
    let other = Arc::new(Document::try_from(other).expect("a valid document"));
    let offers = [
        ("first", Arc::clone(&generation_2)),
        ("again", generation_2),
        ("older", document("feed", 1, &[1], &[])),
        (
            "same generation, other text",
            document("feed", 2, &[1, 3], &[]),
        ),
        ("newer", document("feed", 3, &[1], &[])),
        ("other environment", other),
    ];
    let lines: Vec<String> = offers
        .iter()
        .map(|(description, document)| format!("{description}: {:?}", documents.offer(document)))
        .collect();
    insta::assert_snapshot!("offers", lines.join("\n"));
}

fn any_document() -> impl Strategy<Value = Arc<Document>> {
    (1_u64..6, 1_u32..5).prop_map(|(generation, upstreams)| {
        document("feed", generation, &common::numbers(upstreams), &[])
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    /// The order and repetition of offers don't matter once every document has been offered.
    #[test]
    fn all_settle_on_the_same_document(
        offered in prop::collection::vec(any_document(), 1..8),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..16),
    ) {
        let mut in_order = DocumentState::default();
        let mut shuffled = DocumentState::default();
        for document in &offered {
            in_order.offer(document);
        }
        let mut generation = shuffled.generation();
        for index in &order {
            let outcome = shuffled.offer(index.get(&offered));
            prop_assert_ne!(outcome, OfferOutcome::OtherEnvironment);
            prop_assert!(shuffled.generation() >= generation, "a generation reverted");
            generation = shuffled.generation();
        }
        for document in offered.iter().rev() {
            shuffled.offer(document);
        }
        prop_assert_eq!(in_order.digest(), shuffled.digest());
    }
}
