//! Definitions of the experiments: load, faults and the two compared policies.

use std::time::Duration;

use plantainquay_core::relay::RelayPolicy;
use plantainquay_trace::{RelayEvent, RelayLoad};

/// Opening timeout that disables retries: longer than any experiment.
const NO_RETRY: Duration = Duration::from_hours(1);

pub(crate) struct Experiment {
    pub(crate) name: &'static str,
    pub(crate) description: &'static str,
    /// Offered rates in flows per second.
    pub(crate) rates: &'static [f64],
    pub(crate) load: RelayLoad,
    /// Target for the response time in milliseconds.
    pub(crate) target_ms: u64,
    /// Returns fault events with their times in milliseconds.
    pub(crate) faults: fn(&RelayLoad) -> Vec<(u64, RelayEvent)>,
    pub(crate) policies: [NamedPolicy; 2],
}

/// Policy with its name in tables and plots.
pub(crate) struct NamedPolicy {
    pub(crate) name: &'static str,
    pub(crate) policy: RelayPolicy,
}

/// Returns all experiments.
pub(crate) fn all() -> Vec<Experiment> {
    let product = || NamedPolicy {
        name: "product",
        policy: RelayPolicy::default(),
    };
    vec![
        Experiment {
            name: "comparison",
            description: "new flows go to the less loaded of two agents, or to the first one",
            rates: &[100.0, 200.0, 300.0, 400.0, 500.0],
            load: default_load(),
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
            description: "requests queue at the agent, newest first, or at the upstream",
            rates: &[400.0, 500.0, 600.0, 700.0, 800.0],
            load: default_load(),
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
            description: "agents pause for 1 s in turn: opening packets are retried, or not",
            rates: &[100.0, 200.0, 300.0, 400.0],
            load: default_load(),
            target_ms: 100,
            faults: agent_pauses,
            policies: [without_retries(), product()],
        },
        Experiment {
            name: "loss",
            description: "one in 25 messages is lost: opening packets are retried, or not",
            rates: &[100.0, 200.0, 300.0, 400.0],
            load: default_load(),
            target_ms: 100,
            faults: |_| vec![(0, RelayEvent::Lose(25))],
            policies: [without_retries(), product()],
        },
    ]
}

/// Eight upstreams with two slots each: a capacity of 640 requests per second.
fn default_load() -> RelayLoad {
    RelayLoad {
        balancers: 3,
        upstreams: 8,
        rate: 0.0,
        seconds: 10,
        mean_service_time_ms: 25.0,
        request_timeout_ms: 600,
    }
}

fn without_retries() -> NamedPolicy {
    NamedPolicy {
        name: "wait for the caller",
        policy: RelayPolicy {
            opening_timeout: NO_RETRY,
            ..RelayPolicy::default()
        },
    }
}

/// Pauses one agent after the other, each for a second.
fn agent_pauses(load: &RelayLoad) -> Vec<(u64, RelayEvent)> {
    let seconds = u64::from(load.seconds);
    let pause_in_second = |second_index: u64| {
        let agent = format!("a{}", second_index % u64::from(load.upstreams) + 1);
        let start_ms = second_index * 1_000;
        [
            (start_ms, RelayEvent::Pause(agent.clone())),
            (start_ms + 999, RelayEvent::Resume(agent)),
        ]
    };
    (0..seconds).flat_map(pause_in_second).collect()
}
