//! Measures the cost of state, decisions and messages at several sizes up to the design size.
//!
//! `cargo run --release --example slopes -- --out FOLDER`. Prints a table, and writes `slopes.csv`
//! and `slopes.svg` into the folder.

mod documents;
mod measure;
mod relay;
mod report;

use std::alloc::System;
use std::path::PathBuf;

use anyhow::Result;
use clap::{Arg, Command, value_parser};
use report::Report;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts allocated bytes.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Numbers of services, up to the planned 46,000.
const SERVICE_COUNTS: [u32; 4] = [5_750, 11_500, 23_000, 46_000];
/// Numbers of upstreams of one service.
const UPSTREAM_COUNTS: [u32; 4] = [2, 10, 100, 1_000];
/// Numbers of open flows at one agent.
const FLOW_COUNTS: [u32; 4] = [1_000, 10_000, 100_000, 500_000];
/// Numbers of TCP endpoints at one agent.
const ENDPOINT_COUNTS: [u32; 3] = [500, 1_000, 2_000];

fn main() -> Result<()> {
    let out = Arg::new("out")
        .long("out")
        .value_name("FOLDER")
        .default_value("target/slopes")
        .value_parser(value_parser!(PathBuf));
    let matches = Command::new("slopes").arg(out).get_matches();
    let out: &PathBuf = matches.get_one("out").expect("the option has a default");
    let mut report = Report::default();
    for services in SERVICE_COUNTS {
        measure::routes(services, &mut report)?;
    }
    for addresses in SERVICE_COUNTS {
        relay::fleet_state(addresses, &mut report);
    }
    for upstreams in UPSTREAM_COUNTS {
        relay::first_choice(upstreams, &mut report);
    }
    for flows in FLOW_COUNTS {
        measure::flows(flows, &mut report)?;
    }
    for endpoints in ENDPOINT_COUNTS {
        measure::endpoints(endpoints, &mut report);
    }
    measure::messages(&mut report)?;
    print!("{report}");
    report.write(out)
}
