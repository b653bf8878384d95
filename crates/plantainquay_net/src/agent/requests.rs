//! Admission of requests, and the callers that they belong to.

mod attempt;
mod serve;

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use plantainquay_core::requests::{
    Admission, Dequeued, NotRunReason, QueueConfig, RequestQueue, RequestSpec, Ticket,
};
use plantainquay_core::{FiveTuple, Timestamp};
use plantainquay_schema::{Document, Name, ServiceId, Upstream, UpstreamNumber, WorkClass};
use tokio::sync::oneshot;

use crate::Clock;

pub use serve::serve_requests;

/// Admission control for the requests of one agent.
#[derive(Debug)]
pub(crate) struct RequestAdmission {
    clock: Clock,
    address: SocketAddr,
    listener: Mutex<Option<TcpListener>>,
    slots: Mutex<SlotQueue>,
    callers: Mutex<HashMap<SocketAddr, FiveTuple>>,
    view: RwLock<Option<AdmissionView>>,
}

/// The request queue and the channels that wake its waiting requests.
#[derive(Debug)]
struct SlotQueue {
    queue: RequestQueue,
    waiters: HashMap<Ticket, oneshot::Sender<WaitResult>>,
}

/// The part of the document in force that the request service uses.
#[derive(Clone, Debug)]
struct AdmissionView {
    document: Arc<Document>,
    service: ServiceId,
    upstream: UpstreamNumber,
}

/// Result of a wait in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitResult {
    Run,
    Expired,
}

/// A request's slot, released on drop.
#[derive(Debug)]
struct Slot<'a> {
    admission: &'a RequestAdmission,
    ticket: Ticket,
}

/// A request's class, member and upstream endpoint.
#[derive(Clone, Debug)]
struct RoutedRequest {
    class: WorkClass,
    member: Name,
    endpoint: SocketAddr,
}

impl RequestAdmission {
    /// Creates the admission control and binds its listener to a loopback port.
    pub(crate) fn bind(max_waiting: usize, clock: Clock) -> io::Result<Self> {
        let listener = TcpListener::bind((IpAddr::V4(Ipv4Addr::LOCALHOST), 0))?;
        // No request is admitted until a document sets the number of slots.
        let config = QueueConfig::builder()
            .slots(0)
            .max_waiting(max_waiting)
            .build();
        Ok(Self {
            clock,
            address: listener.local_addr()?,
            listener: Mutex::new(Some(listener)),
            slots: Mutex::new(SlotQueue {
                queue: RequestQueue::new(config),
                waiters: HashMap::new(),
            }),
            callers: Mutex::default(),
            view: RwLock::new(None),
        })
    }

    /// Returns the address of the request service.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the listener of the request service; `None` after the first call.
    pub(crate) fn take_listener(&self) -> Option<TcpListener> {
        self.listener.lock().take()
    }

    /// Records the caller's flow for the stream from `local`.
    pub(crate) fn register(&self, local: SocketAddr, tuple: FiveTuple) {
        self.callers.lock().insert(local, tuple);
    }

    /// Removes the record of a stream.
    pub(crate) fn unregister(&self, local: SocketAddr) {
        self.callers.lock().remove(&local);
    }

    /// Puts a document in force.
    pub(crate) fn install(
        &self,
        now: Timestamp,
        document: &Arc<Document>,
        service: ServiceId,
        upstream: Option<&Upstream>,
    ) {
        let Some(upstream) = upstream else {
            return;
        };
        *self.view.write() = Some(AdmissionView {
            document: Arc::clone(document),
            service,
            upstream: upstream.number,
        });
        let mut slots = self.slots.lock();
        let dequeued = slots.queue.set_slots(now, upstream.slots);
        slots.notify_waiters(&dequeued);
    }

    /// Returns the number of running requests and of waiting requests.
    pub(crate) fn load(&self) -> (usize, usize) {
        let slots = self.slots.lock();
        (slots.queue.running(), slots.queue.waiting())
    }

    /// Returns the route of a request for `path` on the stream from `local`.
    fn route(&self, local: SocketAddr, path: &str) -> Option<RoutedRequest> {
        let view = self.view.read().clone()?;
        let service = view.document.service_by_id(view.service)?;
        let caller = self.callers.lock().get(&local).copied()?;
        let member = view.document.member_by_address(caller.source.ip());
        Some(RoutedRequest {
            class: service.class(path)?.clone(),
            member: member.cloned().unwrap_or_default(),
            endpoint: service.upstream(view.upstream)?.endpoint,
        })
    }

    /// Waits for a slot until the deadline.
    async fn acquire_slot(&self, spec: RequestSpec) -> Result<Slot<'_>, NotRunReason> {
        let (ticket, rx) = self.admit(spec)?;
        let slot = Slot {
            admission: self,
            ticket,
        };
        match rx {
            None => Ok(slot),
            Some(rx) => match tokio::time::timeout(self.remaining(spec.deadline), rx).await {
                Ok(Ok(WaitResult::Run)) => Ok(slot),
                _ => Err(self.cancel_wait(slot, spec.deadline)),
            },
        }
    }

    fn admit(
        &self,
        spec: RequestSpec,
    ) -> Result<(Ticket, Option<oneshot::Receiver<WaitResult>>), NotRunReason> {
        let mut slots = self.slots.lock();
        match slots.queue.admit(self.clock.now(), spec) {
            Admission::Run(ticket) => Ok((ticket, None)),
            Admission::Refuse(reason) => Err(reason),
            Admission::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                slots.waiters.insert(ticket, tx);
                Ok((ticket, Some(rx)))
            }
        }
    }

    /// Removes a request from the queue; dropping the slot releases it if it was granted meanwhile.
    fn cancel_wait(&self, slot: Slot<'_>, deadline: Timestamp) -> NotRunReason {
        let mut slots = self.slots.lock();
        slots.queue.cancel(deadline, slot.ticket);
        slots.waiters.remove(&slot.ticket);
        drop(slots);
        drop(slot);
        NotRunReason::DeadlinePassed
    }

    fn remaining(&self, deadline: Timestamp) -> Duration {
        deadline.since(self.clock.now())
    }
}

impl SlotQueue {
    fn notify_waiters(&mut self, dequeued: &Dequeued) {
        let runs = dequeued.run.iter().map(|ticket| (ticket, WaitResult::Run));
        let expired = dequeued
            .expired
            .iter()
            .map(|ticket| (ticket, WaitResult::Expired));
        for (ticket, result) in runs.chain(expired) {
            let tx = self.waiters.remove(ticket);
            // A request that no longer waits releases its slot on drop.
            let _sent = tx.map(|tx| tx.send(result));
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut slots = self.admission.slots.lock();
        let dequeued = slots.queue.finish(self.admission.clock.now(), self.ticket);
        slots.notify_waiters(&dequeued);
    }
}
