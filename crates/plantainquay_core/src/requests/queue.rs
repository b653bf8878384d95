//! Slots of one upstream and the queue of requests that wait for them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bon::Builder;
use smallvec::SmallVec;

use super::NotRunReason;
use crate::Timestamp;

/// Reciprocal of the newest sample's weight in the moving average of service times.
const EWMA_WEIGHT_DIVISOR: u32 = 8;

/// Identifies a running or waiting request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Properties of a request that decide on its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// True for a long request, which never takes the last of several slots.
    pub long: bool,
    /// Time by which the request must be answered.
    pub deadline: Timestamp,
}

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now.
    Run(Ticket),
    /// The request waits; [`RequestQueue::finish`] or [`RequestQueue::set_slots`] dequeues it.
    Wait(Ticket),
    /// The request is refused and never runs.
    Refuse(NotRunReason),
}

/// Requests taken from the queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// Requests that run now.
    pub run: SmallVec<[Ticket; 2]>,
    /// Requests that can no longer meet their deadline; they never run.
    pub expired: SmallVec<[Ticket; 2]>,
}

/// Bounds of a queue.
#[derive(Clone, Copy, Debug)]
#[derive(Builder)]
pub struct QueueConfig {
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Maximum number of waiting requests.
    #[builder(default = 256)]
    pub max_waiting: usize,
}

/// Slots of one upstream and the requests that wait for them, earliest deadline first.
///
/// Long requests never take the last slot while the upstream has more than one, so that short
/// requests don't wait behind them.
#[derive(Debug)]
pub struct RequestQueue {
    config: QueueConfig,
    next_ticket: u64,
    running: HashMap<Ticket, Running>,
    running_long: u32,
    waiting: BTreeMap<(Timestamp, Ticket), bool>,
    mean_short_service_time: Duration,
    mean_long_service_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    long: bool,
    started_at: Timestamp,
}

impl RequestQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(config: QueueConfig) -> Self {
        Self {
            config,
            next_ticket: 0,
            running: HashMap::new(),
            running_long: 0,
            waiting: BTreeMap::new(),
            mean_short_service_time: Duration::ZERO,
            mean_long_service_time: Duration::ZERO,
        }
    }

    /// Decides on an arriving request.
    pub fn admit(&mut self, now: Timestamp, request: RequestSpec) -> Admission {
        if now + self.expected_wait(request) + self.mean_service_time(request.long)
            > request.deadline
        {
            return Admission::Refuse(NotRunReason::DeadlineTooClose);
        }
        let ticket = Ticket(self.next_ticket);
        if self.has_slot(request.long) {
            self.next_ticket += 1;
            self.start(now, ticket, request.long);
            return Admission::Run(ticket);
        }
        if self.waiting.len() >= self.config.max_waiting {
            return Admission::Refuse(NotRunReason::QueueFull);
        }
        self.next_ticket += 1;
        self.waiting
            .insert((request.deadline, ticket), request.long);
        Admission::Wait(ticket)
    }

    /// Frees the slot of a finished request; returns the requests dequeued.
    pub fn finish(&mut self, now: Timestamp, ticket: Ticket) -> Dequeued {
        if let Some(running) = self.running.remove(&ticket) {
            self.running_long -= u32::from(running.long);
            self.record_service_time(running.long, now.since(running.started_at));
        }
        self.dequeue(now)
    }

    /// Removes a request from the queue; returns false if the request was not waiting.
    pub fn cancel(&mut self, deadline: Timestamp, ticket: Ticket) -> bool {
        self.waiting.remove(&(deadline, ticket)).is_some()
    }

    /// Sets the number of slots, for example from a new document.
    pub fn set_slots(&mut self, now: Timestamp, slots: u32) -> Dequeued {
        self.config.slots = slots;
        self.dequeue(now)
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn has_slot(&self, long: bool) -> bool {
        let slots = self.config.slots;
        let long_slots = slots.saturating_sub(1).max(1);
        let free = self.running.len() < slots as usize;
        free && (!long || self.running_long < long_slots)
    }

    fn start(&mut self, now: Timestamp, ticket: Ticket, long: bool) {
        self.running_long += u32::from(long);
        self.running.insert(
            ticket,
            Running {
                long,
                started_at: now,
            },
        );
    }

    fn dequeue(&mut self, now: Timestamp) -> Dequeued {
        let mut dequeued = Dequeued::default();
        let mut skipped = SmallVec::<[(Timestamp, Ticket); 4]>::new();
        while self.has_slot(false) {
            let Some(((deadline, ticket), long)) = self.waiting.pop_first() else {
                break;
            };
            if now + self.mean_service_time(long) > deadline {
                dequeued.expired.push(ticket);
            } else if self.has_slot(long) {
                self.start(now, ticket, long);
                dequeued.run.push(ticket);
            } else {
                skipped.push((deadline, ticket));
            }
        }
        self.waiting
            .extend(skipped.into_iter().map(|key| (key, true)));
        dequeued
    }

    /// Estimated time until a slot is free for `request`.
    fn expected_wait(&self, request: RequestSpec) -> Duration {
        if self.has_slot(request.long) {
            return Duration::ZERO;
        }
        let ahead = self.waiting.range(..(request.deadline, Ticket(u64::MAX)));
        let ahead_sum: Duration = ahead.map(|(_, long)| self.mean_service_time(*long)).sum();
        let slots = self.config.slots.max(1);
        (ahead_sum + self.mean_service_time(request.long)) / slots
    }

    fn mean_service_time(&self, long: bool) -> Duration {
        if long {
            self.mean_long_service_time
        } else {
            self.mean_short_service_time
        }
    }

    fn record_service_time(&mut self, long: bool, service_time: Duration) {
        let mean = if long {
            &mut self.mean_long_service_time
        } else {
            &mut self.mean_short_service_time
        };
        *mean = if mean.is_zero() {
            service_time
        } else {
            (*mean * (EWMA_WEIGHT_DIVISOR - 1) + service_time) / EWMA_WEIGHT_DIVISOR
        };
    }
}
