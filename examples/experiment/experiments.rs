//! The experiments: a load, faults, and the two policies that are compared.

use std::time::Duration;

use plantainquay_core::relay::RelayPolicy;
use plantainquay_trace::{RelayEvent, RelayLoad};

/// Longer than any experiment.
const NO_RETRY: Duration = Duration::from_hours(1);

/// One experiment.
pub(crate) struct Experiment {
    pub(crate) name: &'static str,
    pub(crate) description: &'static str,
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
            description: "the less loaded of two agents takes a flow, or the first one",
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
            description: "requests wait at the agent, the newest first, or at the upstream",
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
            description: "agents stand still for a second in turn: opening packets go elsewhere, or wait",
            rates: &[100.0, 200.0, 300.0, 400.0],
            load: default_load(),
            target_ms: 100,
            faults: agent_pauses,
            policies: [without_retries(), product()],
        },
        Experiment {
            name: "loss",
            description: "one in 25 messages is lost: opening packets are sent again, or wait",
            rates: &[100.0, 200.0, 300.0, 400.0],
            load: default_load(),
            target_ms: 100,
            faults: |_| vec![(0, RelayEvent::Lose(25))],
            policies: [without_retries(), product()],
        },
    ]
}

/// Eight upstreams with two slots each, which can do 640 requests a second.
fn default_load() -> RelayLoad {
    RelayLoad {
        balancers: 3,
        upstreams: 8,
        rate: 0.0,
        seconds: 10,
        mean_work_ms: 25.0,
        patience_ms: 600,
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

/// One agent after the other stands still for a second.
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
