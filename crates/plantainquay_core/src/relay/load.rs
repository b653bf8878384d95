//! Load of an agent's local upstream, measured from the packets that the agent forwards.

use std::time::Duration;

use crate::Timestamp;

/// Time constant of the mean number of requests in progress.
///
/// About the time between a few successive requests of a long flow.
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Load per mean request, in thousandths of a request: accounts for future requests of long flows.
const MEAN_WEIGHT: f64 = 500.0;
/// Load per open flow, in thousandths of a request.
const FLOW_WEIGHT: f64 = 10.0;
/// Factor by which an upstream is slower during warm-up.
const WARM_UP_FACTOR: f64 = 1.6;

/// Counts open flows and requests in progress, with an exponential mean of the latter.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadMeter {
    /// Requests whose answer hasn't begun.
    requests_in_progress: u32,
    /// Opening packets that the upstream hasn't answered.
    offered_openings: u32,
    /// Flows that the upstream has accepted.
    open_flows: u32,
    mean_requests: f64,
    updated_at: Timestamp,
}

impl LoadMeter {
    /// Records that a request was sent to the upstream.
    pub fn request_began(&mut self, now: Timestamp) {
        self.advance(now);
        self.requests_in_progress += 1;
    }

    /// Records that the answer to a request has begun, or that the request was abandoned.
    pub fn request_ended(&mut self, now: Timestamp) {
        self.advance(now);
        self.requests_in_progress = self.requests_in_progress.saturating_sub(1);
    }

    /// Records that an opening packet was offered to the upstream.
    pub fn opening_offered(&mut self) {
        self.offered_openings += 1;
    }

    /// Records that an offered opening packet was answered or returned, or has expired.
    pub fn opening_settled(&mut self) {
        self.offered_openings = self.offered_openings.saturating_sub(1);
    }

    /// Records that a flow has opened.
    pub fn flow_opened(&mut self) {
        self.open_flows += 1;
    }

    /// Records that a flow has ended.
    pub fn flow_closed(&mut self) {
        self.open_flows = self.open_flows.saturating_sub(1);
    }

    /// Returns the number of requests whose answer hasn't begun.
    #[must_use]
    pub fn requests_in_progress(&self) -> u32 {
        self.requests_in_progress
    }

    /// Returns the number of open flows.
    #[must_use]
    pub fn open_flows(&self) -> u32 {
        self.open_flows
    }

    /// Returns the load that a new flow would face, in thousandths of a request per slot.
    #[must_use]
    pub fn load(&self, now: Timestamp, slots: u32, is_warming_up: bool) -> u32 {
        let instant = f64::from(self.requests_in_progress + self.offered_openings) * 1_000.0;
        let steady =
            self.mean_requests_at(now) * MEAN_WEIGHT + f64::from(self.open_flows) * FLOW_WEIGHT;
        let factor = if is_warming_up { WARM_UP_FACTOR } else { 1.0 };
        let load = (instant + steady) * factor / f64::from(slots.max(1));
        to_u32(load)
    }

    fn advance(&mut self, now: Timestamp) {
        self.mean_requests = self.mean_requests_at(now);
        self.updated_at = now;
    }

    fn mean_requests_at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let decay = (-elapsed / MEAN_TIME_CONSTANT.as_secs_f64()).exp();
        let current = f64::from(self.requests_in_progress);
        current + (self.mean_requests - current) * decay
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range before"
)]
fn to_u32(load: f64) -> u32 {
    load.clamp(0.0, f64::from(u32::MAX - 1)) as u32
}
