//! Stand-ins of the store, backends, clients and routers, and the runs that use them.

mod backend;
mod client;
mod dark;
mod fleet;
mod fraction;
mod handover;
mod leaving;
mod packet;
mod store;

use std::fs::File;
use std::io::Write;
use std::process::ExitCode;
use std::sync::{LazyLock, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Result of a run.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

/// Writes a line with the time since the start to the record.
pub fn record(line: &str) {
    let line = format!("{:8.3} s  {line}\n", START.elapsed().as_secs_f64());
    print!("{line}");
    if let Some(file) = RECORD.get() {
        let _result = file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis())
}

pub fn sleep_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn main() -> ExitCode {
    LazyLock::force(&START);
    let args: Vec<String> = std::env::args().collect();
    let [_, run, path] = args.as_slice() else {
        eprintln!("usage: review_stand_in RUN RECORD");
        return ExitCode::from(2);
    };
    let Ok(file) = File::create(path) else {
        return ExitCode::from(2);
    };
    let _first = RECORD.set(Mutex::new(file));
    let is_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = std::panic::catch_unwind(|| match run.as_str() {
        "dark" => dark::run(is_trouble),
        "leaving" => leaving::run(is_trouble),
        "fraction" => fraction::run(is_trouble),
        "handover" => handover::run(is_trouble, false),
        "moved" => handover::run(is_trouble, true),
        _ => Outcome::CouldNotRun,
    });
    match result {
        Ok(Outcome::Held) => {
            record("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            record("result: the rule was broken");
            ExitCode::from(1)
        }
        Ok(Outcome::CouldNotRun) | Err(_) => {
            record("result: the case could not run");
            ExitCode::from(2)
        }
    }
}
