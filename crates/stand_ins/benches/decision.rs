//! Compares a balancer's decision with a bare hash map look-up of the same key.

use std::collections::HashMap;
use std::hint::black_box;
use std::net::SocketAddr;

use criterion::{Criterion, criterion_group, criterion_main};
use plantainquay_core::{FiveTuple, RouteMap, Segment, balancer};
use plantainquay_schema::{Document, UpstreamNumber};

const FLOWS: [u32; 4] = [1_000, 10_000, 100_000, 500_000];
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/gusterna.yaml");

fn segments(flows: u32) -> Vec<Segment> {
    let destination: SocketAddr = "10.30.0.1:7101".parse().expect("the address is valid");
    let tuple = |i: u32| {
        let [_, a, b, c] = i.to_be_bytes();
        let source = SocketAddr::from(([172, a, b, c], 40_000));
        FiveTuple {
            source,
            destination,
        }
    };
    (0..flows).map(|i| Segment::established(tuple(i))).collect()
}

fn decisions(c: &mut Criterion) {
    let text = std::fs::read_to_string(EXAMPLE).expect("the example is readable");
    let document = Document::from_yaml(&text).expect("the example is valid");
    let routes = RouteMap::build(&document, &RouteMap::default());
    for flows in FLOWS {
        let segments = segments(flows);
        let hash_map: HashMap<FiveTuple, u16> = segments.iter().map(|s| (s.tuple, 1)).collect();
        let mut group = c.benchmark_group(format!("{flows} flows"));
        let mut bare = segments.iter().cycle();
        group.bench_function("bare look-up", |b| {
            b.iter(|| hash_map.get(&bare.next().expect("endless").tuple).copied());
        });
        let mut untagged = segments.iter().cycle();
        group.bench_function("untagged", |b| {
            b.iter(|| balancer::route(&routes, untagged.next().expect("endless")));
        });
        let tag = UpstreamNumber::new(3);
        let mut tagged = segments.iter().cycle();
        group.bench_function("tagged", |b| {
            b.iter(|| {
                let segment = tagged.next().expect("endless").with_tag(tag);
                black_box(balancer::route(&routes, &segment))
            });
        });
        group.finish();
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
