//! Services that routes named before.
//!
//! An open flow stays at the service that its route named when the flow opened. The services that
//! a route no longer names are therefore kept for the longest lifetime of a flow.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use plantainquay_schema::{
    FormerService, FormerServices, Name, RouteChanges, RouteDocument, ServiceId,
};
use smallvec::SmallVec;

use super::route_history::by_listener;
use crate::Timestamp;
use crate::time::SignedTimestamp;

/// Longest lifetime of a flow, unless the settings have another.
const DEFAULT_FLOW_TTL: Duration = Duration::from_mins(1);
/// Difference between the spans of two processes that is not worth a transfer.
const SPAN_TOLERANCE: Duration = Duration::from_secs(1);

/// The services that each listener's routes named before, as far as this process knows.
#[derive(Clone, Debug)]
pub struct ServiceHistory {
    former: HashMap<SocketAddr, SmallVec<[Record; 1]>>,
    /// Time since which no service is missing; `None` without routes.
    complete_since: Option<SignedTimestamp>,
    flow_ttl: Duration,
}

#[derive(Clone, Debug)]
struct Record {
    id: ServiceId,
    name: Name,
    /// Last time at which the route named the service.
    named_until: SignedTimestamp,
}

/// Origin of newly applied routes, from which it follows whether earlier ones may be missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RoutesOrigin {
    /// Every document since the previous one was applied.
    Consecutive,
    /// Documents may be missing between the previous one and this.
    Gap,
}

impl Record {
    /// Returns true if a flow can still be open that opened while the route named the service.
    fn is_relevant(&self, now: Timestamp, flow_ttl: Duration) -> bool {
        self.named_until.age(now) < flow_ttl
    }
}

impl Default for ServiceHistory {
    fn default() -> Self {
        Self {
            former: HashMap::new(),
            complete_since: None,
            flow_ttl: DEFAULT_FLOW_TTL,
        }
    }
}

impl ServiceHistory {
    pub(super) fn set_flow_ttl(&mut self, flow_ttl: Duration) {
        self.flow_ttl = flow_ttl;
    }

    /// Declares that no flow opened before this process started.
    pub(super) fn set_complete(&mut self) {
        self.complete_since = Some(SignedTimestamp::MIN);
    }

    /// Returns the former services of a listener at whose upstreams flows may still be open, the
    /// one that was named last first.
    #[must_use]
    pub fn former(&self, now: Timestamp, listener: SocketAddr) -> SmallVec<[ServiceId; 2]> {
        let records = self.recent_records(now, listener);
        records.into_iter().map(|record| record.id).collect()
    }

    /// Returns the names of the services that [`Self::former`] returns.
    #[must_use]
    pub fn former_names(&self, now: Timestamp, listener: SocketAddr) -> SmallVec<[&Name; 2]> {
        let records = self.recent_records(now, listener);
        records.into_iter().map(|record| &record.name).collect()
    }

    fn recent_records(&self, now: Timestamp, listener: SocketAddr) -> SmallVec<[&Record; 2]> {
        let records = self.former.get(&listener).into_iter().flatten();
        let mut recent: SmallVec<[&Record; 2]> = records
            .filter(|r| r.is_relevant(now, self.flow_ttl))
            .collect();
        recent.sort_by_key(|record| std::cmp::Reverse(record.named_until));
        recent
    }

    /// Returns the time for which no former service is missing, at most the lifetime of a flow.
    #[must_use]
    pub fn span(&self, now: Timestamp) -> Duration {
        let span = self.complete_since.map(|since| since.age(now));
        span.unwrap_or_default().min(self.flow_ttl)
    }

    /// Returns true if no former service is missing at which a flow may still be open.
    #[must_use]
    pub fn is_complete(&self, now: Timestamp) -> bool {
        self.span(now) >= self.flow_ttl
    }

    /// Records the services that `changes` remove from the routes of `old`.
    pub(super) fn record(&mut self, now: Timestamp, old: &RouteDocument, changes: &RouteChanges) {
        let removed: HashSet<SocketAddrV4> = changes.removed.iter().copied().collect();
        let put = by_listener(&changes.put);
        let named_until = SignedTimestamp::from(now);
        for route in &old.routes {
            let new_route = put.get(&route.listener);
            if new_route.is_none() && !removed.contains(&route.listener) {
                continue;
            }
            let is_named = |id| new_route.is_some_and(|route| route.names(id));
            for service in route.services.iter().filter(|s| !is_named(s.id)) {
                let name = service.name.clone();
                self.insert(route.listener.into(), name, named_until);
            }
        }
        for route in &changes.put {
            for service in &route.services {
                self.remove(route.listener.into(), service.id);
            }
        }
    }

    /// Updates the time since which the history is complete, after routes were applied.
    pub(super) fn on_routes(&mut self, now: Timestamp, origin: RoutesOrigin) {
        let now = SignedTimestamp::from(now);
        match origin {
            RoutesOrigin::Consecutive => {
                self.complete_since.get_or_insert(now);
            }
            RoutesOrigin::Gap => self.complete_since = Some(now),
        }
    }

    /// Adds the history of another process, whose routes are those in force.
    ///
    /// `own_since` and `own_until` bound the time for which this history was complete before the
    /// routes of the other process were applied. Returns true if anything has changed.
    pub(super) fn merge(
        &mut self,
        now: Timestamp,
        other: FormerServices,
        routes: &RouteDocument,
        own_since: Option<SignedTimestamp>,
        own_until: Option<SignedTimestamp>,
    ) -> bool {
        let other_since = SignedTimestamp::before(now, other.span);
        let mut any_changed = self.insert_all(now, other.services, routes);
        let overlaps = own_until.is_some_and(|until| until >= other_since);
        let since = own_since
            .filter(|_| overlaps)
            .map_or(other_since, |own| own.min(other_since));
        if self.complete_since.is_some_and(|current| since < current) {
            self.complete_since = Some(since);
            any_changed = true;
        }
        any_changed
    }

    fn insert_all(
        &mut self,
        now: Timestamp,
        services: Vec<FormerService>,
        routes: &RouteDocument,
    ) -> bool {
        if services.is_empty() {
            return false;
        }
        let routes = by_listener(&routes.routes);
        let mut any_inserted = false;
        for former in services {
            let id = ServiceId::of(former.service.as_str());
            let route = routes.get(&former.listener);
            if !route.is_some_and(|route| route.names(id)) {
                let named_until = SignedTimestamp::before(now, former.age);
                any_inserted |= self.insert(former.listener.into(), former.service, named_until);
            }
        }
        any_inserted
    }

    /// Time since which no service is missing; `None` without routes.
    pub(super) fn complete_since(&self) -> Option<SignedTimestamp> {
        self.complete_since
    }

    /// Returns the history for a process whose own one covers `other_span`; `None` if that is
    /// about as long.
    pub(super) fn for_process(
        &self,
        now: Timestamp,
        is_behind: bool,
        other_span: Option<Duration>,
    ) -> Option<FormerServices> {
        let span = self.span(now);
        let is_shorter = other_span.is_none_or(|other| other + SPAN_TOLERANCE < span);
        (is_behind || is_shorter).then(|| FormerServices {
            span,
            services: self.all(now).collect(),
        })
    }

    /// Removes services at which no flow can be open any more.
    pub(super) fn expire(&mut self, now: Timestamp) {
        let flow_ttl = self.flow_ttl;
        self.former.retain(|_, records| {
            records.retain(|record| record.is_relevant(now, flow_ttl));
            !records.is_empty()
        });
    }

    /// Returns true if [`Self::expire`] would remove a service.
    pub(super) fn has_expired(&self, now: Timestamp) -> bool {
        let mut records = self.former.values().flatten();
        records.any(|record| !record.is_relevant(now, self.flow_ttl))
    }

    fn all(&self, now: Timestamp) -> impl Iterator<Item = FormerService> {
        self.former.iter().flat_map(move |(listener, records)| {
            let relevant = records
                .iter()
                .filter(move |r| r.is_relevant(now, self.flow_ttl));
            relevant.filter_map(move |record| {
                let SocketAddr::V4(listener) = *listener else {
                    return None;
                };
                Some(FormerService {
                    listener,
                    service: record.name.clone(),
                    age: record.named_until.age(now),
                })
            })
        })
    }

    /// Adds a service or prolongs its record; returns true if it was missing.
    fn insert(&mut self, listener: SocketAddr, name: Name, named_until: SignedTimestamp) -> bool {
        let id = ServiceId::of(name.as_str());
        let records = self.former.entry(listener).or_default();
        if let Some(record) = records.iter_mut().find(|r| r.id == id) {
            record.named_until = record.named_until.max(named_until);
            return false;
        }
        records.push(Record {
            id,
            name,
            named_until,
        });
        true
    }

    fn remove(&mut self, listener: SocketAddr, id: ServiceId) {
        if let Some(records) = self.former.get_mut(&listener) {
            records.retain(|record| record.id != id);
            if records.is_empty() {
                self.former.remove(&listener);
            }
        }
    }
}
