//! Slots of one upstream and the requests that wait for them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bon::Builder;
use smallvec::SmallVec;

use super::NotRunReason;
use crate::Timestamp;

/// Weight of the newest measurement in the mean service time, as a divisor.
const EWMA_WEIGHT_DIVISOR: u32 = 8;

/// Identifies one admitted or waiting request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What the queue needs to know of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// Whether it is long.
    pub long: bool,
    /// When its answer must be there.
    pub deadline: Timestamp,
}

/// What becomes of a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run(Ticket),
    /// It waits; [`RequestQueue::finish`] says when it runs.
    Wait(Ticket),
    /// It is refused and never runs.
    Refuse(NotRunReason),
}

/// Waiting requests whose turn has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// These run now.
    pub run: SmallVec<[Ticket; 2]>,
    /// The deadline of these has passed; they never run.
    pub expired: SmallVec<[Ticket; 2]>,
}

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, Builder)]
pub struct QueueConfig {
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Most requests that wait.
    #[builder(default = 256)]
    pub max_waiting: usize,
}

/// Slots of one upstream and the requests that wait for them, earliest deadline first.
///
/// Long work never takes the last slot while the upstream has more than one, so that short work
/// doesn't wait behind it.
#[derive(Debug)]
pub struct RequestQueue {
    config: QueueConfig,
    next_ticket: u64,
    running: HashMap<Ticket, Running>,
    running_long: u32,
    waiting: BTreeMap<(Timestamp, Ticket), bool>,
    mean_short: Duration,
    mean_long: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    long: bool,
    started_at: Timestamp,
}

impl RequestQueue {
    /// A queue without requests.
    #[must_use]
    pub fn new(config: QueueConfig) -> Self {
        Self {
            config,
            next_ticket: 0,
            running: HashMap::new(),
            running_long: 0,
            waiting: BTreeMap::new(),
            mean_short: Duration::ZERO,
            mean_long: Duration::ZERO,
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

    /// Frees the slot of a request that has ended; returns those whose turn has come.
    pub fn finish(&mut self, now: Timestamp, ticket: Ticket) -> Dequeued {
        if let Some(running) = self.running.remove(&ticket) {
            self.running_long -= u32::from(running.long);
            self.record_service_time(running.long, now.since(running.started_at));
        }
        self.dequeue(now)
    }

    /// Takes a request out of the queue; false when it doesn't wait any more.
    pub fn cancel(&mut self, deadline: Timestamp, ticket: Ticket) -> bool {
        self.waiting.remove(&(deadline, ticket)).is_some()
    }

    /// Changes the number of slots, as a new document may.
    pub fn set_slots(&mut self, now: Timestamp, slots: u32) -> Dequeued {
        self.config.slots = slots;
        self.dequeue(now)
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
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

    /// Time until a slot is expected to be free for `request`.
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
            self.mean_long
        } else {
            self.mean_short
        }
    }

    fn record_service_time(&mut self, long: bool, service_time: Duration) {
        let mean = if long {
            &mut self.mean_long
        } else {
            &mut self.mean_short
        };
        *mean = if mean.is_zero() {
            service_time
        } else {
            (*mean * (EWMA_WEIGHT_DIVISOR - 1) + service_time) / EWMA_WEIGHT_DIVISOR
        };
    }
}
