//! The experiments: a load, faults, and the two policies that are compared.

use std::time::Duration;

use plantainquay_core::relay::RelayPolicy;
use plantainquay_trace::{RelayEvent, RelayLoad};

/// Longer than any experiment.
const NEVER: Duration = Duration::from_hours(1);

/// One experiment.
pub(crate) struct Experiment {
    pub(crate) name: &'static str,
    pub(crate) about: &'static str,
    /// Flows a second that are played.
    pub(crate) rates: &'static [f64],
    pub(crate) load: RelayLoad,
    /// Time within which an answer is of full use, in milliseconds.
    pub(crate) target_ms: u64,
    /// What happens besides, by time in milliseconds.
    pub(crate) faults: fn(&RelayLoad) -> Vec<(u64, RelayEvent)>,
    pub(crate) policies: [NamedPolicy; 2],
}

/// A policy with its name in tables and plots.
pub(crate) struct NamedPolicy {
    pub(crate) name: &'static str,
    pub(crate) policy: RelayPolicy,
}

/// Every experiment.
pub(crate) fn all() -> Vec<Experiment> {
    let product = || NamedPolicy {
        name: "product",
        policy: RelayPolicy::default(),
    };
    vec![
        Experiment {
            name: "comparison",
            about: "the less loaded of two agents takes a flow, or the first one",
            rates: &[100.0, 200.0, 300.0, 400.0, 500.0],
            load: load(),
            target_ms: 100,
            faults: |_| Vec::new(),
            policies: [
                NamedPolicy {
                    name: "first one",
                    policy: RelayPolicy {
                        agents_compared: 1,
                        ..RelayPolicy::default()
                    },
                },
                product(),
            ],
        },
        Experiment {
            name: "pacing",
            about: "requests wait at the agent, the newest first, or at the upstream",
            rates: &[400.0, 500.0, 600.0, 700.0, 800.0],
            load: load(),
            target_ms: 100,
            faults: |_| Vec::new(),
            policies: [
                NamedPolicy {
                    name: "at the upstream",
                    policy: RelayPolicy {
                        requests_per_slot: u32::MAX,
                        ..RelayPolicy::default()
                    },
                },
                product(),
            ],
        },
        Experiment {
            name: "silence",
            about: "agents stand still for a second in turn: opening packets go elsewhere, or wait",
            rates: &[100.0, 200.0, 300.0, 400.0],
            load: load(),
            target_ms: 100,
            faults: pauses,
            policies: [waits(), product()],
        },
        Experiment {
            name: "loss",
            about: "one in 25 messages is lost: opening packets are sent again, or wait",
            rates: &[100.0, 200.0, 300.0, 400.0],
            load: load(),
            target_ms: 100,
            faults: |_| vec![(0, RelayEvent::Lose(25))],
            policies: [waits(), product()],
        },
    ]
}

/// Eight upstreams with two slots each, which can do 640 requests a second.
fn load() -> RelayLoad {
    RelayLoad {
        balancers: 3,
        upstreams: 8,
        rate: 0.0,
        seconds: 10,
        mean_work_ms: 25.0,
        request_timeout_ms: 600,
    }
}

fn waits() -> NamedPolicy {
    NamedPolicy {
        name: "wait for the caller",
        policy: RelayPolicy {
            opening_timeout: NEVER,
            ..RelayPolicy::default()
        },
    }
}

/// One agent after the other stands still for a second.
fn pauses(load: &RelayLoad) -> Vec<(u64, RelayEvent)> {
    let seconds = u64::from(load.seconds);
    let of_second = |second: u64| {
        let agent = format!("a{}", second % u64::from(load.upstreams) + 1);
        let start_ms = second * 1_000;
        [
            (start_ms, RelayEvent::Pause(agent.clone())),
            (start_ms + 999, RelayEvent::Resume(agent)),
        ]
    };
    (0..seconds).flat_map(of_second).collect()
}
