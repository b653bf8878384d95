//! Open-loop load on the relay simulation: flows open at a rate, each with one request.

use std::collections::BTreeMap;

use plantainquay_core::relay::RelayPolicy;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::{RelayEvent, RelaySimulation};

/// Interval at which callers retransmit a packet, in milliseconds.
const RETRANSMIT_INTERVAL_MS: u64 = 200;
/// Upper bound of a request's service time, as a multiple of the mean.
const MAX_SERVICE_TIME_FACTOR: f64 = 10.0;

/// Parameters of a simulated load.
#[derive(Clone, Debug)]
pub struct RelayLoad {
    /// Number of balancers.
    pub balancers: u16,
    /// Number of upstreams, each with two slots and an agent.
    pub upstreams: u16,
    /// Flows per second.
    pub rate: f64,
    /// Period during which flows open, in seconds.
    pub seconds: u16,
    /// Mean of the exponentially distributed service time at an upstream, in milliseconds.
    pub mean_service_time_ms: f64,
    /// Time after which a caller abandons its request, in milliseconds.
    pub request_timeout_ms: u64,
}

/// The outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The request was answered this many milliseconds after the scheduled opening of its flow.
    Answered(u64),
    /// The flow was reset.
    Reset,
    /// The request timed out.
    TimedOut,
}

impl RelayLoad {
    /// Returns the number of flows that open.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        let flow_count = self.rate * f64::from(self.seconds);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "rates are small and positive"
        )]
        let flow_count = flow_count.max(0.0) as usize;
        flow_count
    }

    /// Runs the load and faults under a policy and returns the outcomes in the order of the flows.
    ///
    /// Flows open at scheduled times that don't depend on answers, and latency is measured from the
    /// scheduled time. A slow answer therefore delays no later request (no coordinated omission).
    #[must_use]
    pub fn run(
        &self,
        policy: RelayPolicy,
        faults: &[(u64, RelayEvent)],
        seed: u64,
    ) -> Vec<RelayOutcome> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut simulation =
            RelaySimulation::with_policy(self.balancers, self.upstreams, seed, policy);
        let mut events = faults.to_vec();
        let span_ms = f64::from(self.seconds) * 1_000.0;
        let count = u16::try_from(self.flow_count()).unwrap_or(u16::MAX);
        let mut open_times_ms: Vec<u64> = (0..count)
            .map(|_| to_whole_ms(rng.random_range(0.0..span_ms)))
            .collect();
        open_times_ms.sort_unstable();
        let mut service_ms_by_flow = BTreeMap::new();
        for (flow, open_at_ms) in (0..).zip(&open_times_ms) {
            let exponential = -rng.random_range(f64::EPSILON..1.0_f64).ln();
            let service_time_ms =
                self.mean_service_time_ms * exponential.min(MAX_SERVICE_TIME_FACTOR);
            service_ms_by_flow.insert(flow, to_whole_ms(service_time_ms).max(1));
            let mut random_balancer = || format!("b{}", rng.random_range(1..=self.balancers));
            events.push((*open_at_ms, RelayEvent::Open(flow, random_balancer())));
            let mut elapsed_ms = RETRANSMIT_INTERVAL_MS;
            while elapsed_ms < self.request_timeout_ms {
                events.push((
                    open_at_ms + elapsed_ms,
                    RelayEvent::Repeat(flow, random_balancer()),
                ));
                events.push((
                    open_at_ms + elapsed_ms,
                    RelayEvent::Send(flow, random_balancer()),
                ));
                elapsed_ms += RETRANSMIT_INTERVAL_MS;
            }
        }
        events.sort_by_key(|(at, _)| *at);
        simulation.set_service_times(service_ms_by_flow);
        let end_ms = events
            .last()
            .map_or(0, |(at, _)| at + self.request_timeout_ms);
        simulation.replay(&events, end_ms);
        let outcome = |(flow, open_at_ms): (u16, &u64)| {
            let elapsed_ms = simulation
                .answered_at_ms(flow)
                .map(|at| at.saturating_sub(*open_at_ms));
            match elapsed_ms.filter(|elapsed_ms| *elapsed_ms <= self.request_timeout_ms) {
                Some(elapsed_ms) => RelayOutcome::Answered(elapsed_ms),
                None if simulation.is_reset(flow) => RelayOutcome::Reset,
                None => RelayOutcome::TimedOut,
            }
        };
        (0..).zip(&open_times_ms).map(outcome).collect()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are small and positive"
)]
fn to_whole_ms(ms: f64) -> u64 {
    ms as u64
}
