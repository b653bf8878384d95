//! How busy the upstream beside an agent is, from the packets that pass.

use std::time::Duration;

use crate::Timestamp;

/// Time constant of the mean occupancy.
///
/// About as long as a few requests of a long flow are apart.
const MEAN_TIME: Duration = Duration::from_secs(1);
/// Share of the mean occupancy in the load, in thousandths: requests that long flows will bring.
const MEAN_WEIGHT: f64 = 500.0;
/// Load of one open flow, in thousandths of a request.
const FLOW_WEIGHT: f64 = 10.0;
/// Factor by which an upstream is slower before it is warm.
const COLD_FACTOR: f64 = 1.6;

/// Counts requests in progress and flows, and keeps their mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadMeter {
    /// Requests whose answer has not begun.
    waiting: u32,
    /// Opening packets that the upstream has not answered.
    offered: u32,
    /// Flows that the upstream has accepted.
    open: u32,
    mean: f64,
    updated: Timestamp,
}

impl LoadMeter {
    /// Notes that a request has gone to the upstream.
    pub fn request_began(&mut self, now: Timestamp) {
        self.advance(now);
        self.waiting += 1;
    }

    /// Notes that the answer has begun, or that nobody waits for it any more.
    pub fn request_ended(&mut self, now: Timestamp) {
        self.advance(now);
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Notes that an opening packet has gone to the upstream.
    pub fn offered(&mut self) {
        self.offered += 1;
    }

    /// Notes that an offered flow was answered, returned or forgotten.
    pub fn settled(&mut self) {
        self.offered = self.offered.saturating_sub(1);
    }

    /// Notes that a flow is open.
    pub fn opened(&mut self) {
        self.open += 1;
    }

    /// Notes that a flow has ended.
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Requests whose answer has not begun.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Flows that are open.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Wait that a new flow would meet, in thousandths of a request for each slot.
    #[must_use]
    pub fn load(&self, now: Timestamp, slots: u32, is_cold: bool) -> u32 {
        let instant = f64::from(self.waiting + self.offered) * 1_000.0;
        let steady = self.mean_at(now) * MEAN_WEIGHT + f64::from(self.open) * FLOW_WEIGHT;
        let factor = if is_cold { COLD_FACTOR } else { 1.0 };
        let load = (instant + steady) * factor / f64::from(slots.max(1));
        to_u32(load)
    }

    fn advance(&mut self, now: Timestamp) {
        self.mean = self.mean_at(now);
        self.updated = now;
    }

    fn mean_at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        let kept = (-elapsed / MEAN_TIME.as_secs_f64()).exp();
        let current = f64::from(self.waiting);
        current + (self.mean - current) * kept
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
