//! A process's replica of the routes and upstreams in the store, with a revision for each entry.
//!
//! A few processes read the store; the others fetch changes from those. Both paths end in
//! [`Fleet::apply`], which compares revisions and never replaces an entry by an older one, in
//! whatever order changes arrive. A store that was restored from a copy starts a new era of
//! revisions; what it lists from before is compared by what the upstreams say of their writes.

mod departed;
mod index;
mod route_history;
mod service_history;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use plantainquay_schema::{
    Changes, Departure, Generation, Name, RouteChanges, RouteDocument, StoreRevision, UpstreamEntry,
};

use self::departed::DepartedUpstream;
pub use self::departed::Presence;
use self::index::Index;
use self::route_history::RouteHistory;
use self::service_history::RoutesOrigin;
pub use self::service_history::ServiceHistory;
use crate::Timestamp;
use crate::time::SignedTimestamp;

/// Time for which a departure is kept, so that other processes can fetch it and lookups of open
/// flows include the upstream.
const DEPARTURE_TTL: Duration = Duration::from_secs(30);

/// Replica of the routes and upstreams in the store.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    routes: Arc<RouteDocument>,
    routes_digest: u64,
    route_history: RouteHistory,
    service_history: Arc<ServiceHistory>,
    revision: StoreRevision,
    upstreams: BTreeMap<Name, UpstreamRecord>,
    departed: HashMap<Name, DepartedUpstream>,
    index: Index,
    /// Departures up to this revision may have been dropped.
    compacted_revision: StoreRevision,
    /// Latest time at which the replica was known to match the store.
    confirmed_at: Option<SignedTimestamp>,
}

/// State of a replica, from which it requests changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetVersion {
    /// Generation of the routes, or zero if there are none.
    pub generation: Generation,
    /// Store revision up to which the upstreams are complete.
    pub revision: StoreRevision,
    /// Digest of the routes; `None` if the process accepts only full documents.
    pub routes_digest: Option<u64>,
    /// Time for which the process knows all former services; `None` if it knows none.
    pub history_span: Option<Duration>,
}

/// Entry of an upstream and the end of its warm-up.
#[derive(Clone, Debug)]
pub struct UpstreamRecord {
    /// Entry as read from the store.
    pub entry: Arc<UpstreamEntry>,
    /// Time at which the upstream's warm-up after its start ends.
    pub warm_at: Timestamp,
}

/// Parts of the replica that [`Fleet::apply`] changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedChanges {
    /// True if newer routes came into force.
    pub routes: bool,
    /// True if upstreams were added, changed or removed.
    pub upstreams: bool,
    /// True if former services of routes became known.
    pub former_services: bool,
}

impl Fleet {
    /// Sets the time after which callers and upstreams give up a flow.
    #[must_use]
    pub fn with_flow_ttl(mut self, flow_ttl: Duration) -> Self {
        Arc::make_mut(&mut self.service_history).set_flow_ttl(flow_ttl);
        self
    }

    /// Declares that no flow opened before this process started.
    #[must_use]
    pub fn without_earlier_flows(mut self) -> Self {
        Arc::make_mut(&mut self.service_history).set_complete();
        self
    }

    /// Applies the changes that are newer than the replica.
    pub fn apply(&mut self, now: Timestamp, changes: Changes) -> AppliedChanges {
        let mut applied = AppliedChanges::default();
        let history_since = self.service_history.complete_since();
        let confirmed_at = self.confirmed_at;
        let is_restored = self.is_restored(changes.revision);
        let origin = if is_restored {
            // Other processes may know routes that the restore took from the store.
            RoutesOrigin::Gap
        } else {
            self.routes_origin(changes.routes_complete_after)
        };
        for routes in changes.earlier_routes.into_iter().chain(changes.routes) {
            applied.routes |= self.apply_routes(now, routes);
        }
        if let Some(changes) = changes.route_changes {
            applied.routes |= self.apply_route_changes(now, changes);
        }
        if applied.routes || is_restored {
            Arc::make_mut(&mut self.service_history).on_routes(now, origin);
        }
        if let Some(former) = changes.former_services {
            let history = Arc::make_mut(&mut self.service_history);
            applied.former_services =
                history.merge(now, former, &self.routes, history_since, confirmed_at);
        }
        if changes.is_full {
            applied.upstreams |= self.remove_unlisted(now, changes.revision, &changes.upstreams);
            self.compacted_revision = self.compacted_revision.max(changes.revision);
        }
        for entry in changes.upstreams {
            if !(changes.is_full && self.is_outdated_copy(&entry)) {
                applied.upstreams |= self.apply_entry(now, entry);
            }
        }
        for departure in changes.departures {
            applied.upstreams |= self.apply_departure(now, departure);
        }
        self.revision = self.revision.max(changes.revision);
        self.confirm(now, changes.age);
        applied
    }

    /// Records that the replica matched the store `age` ago.
    fn confirm(&mut self, now: Timestamp, age: Option<Duration>) {
        let Some(age) = age else {
            return;
        };
        let confirmed_at = SignedTimestamp::before(now, age);
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Time since the replica was last confirmed to match the store; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        Some(self.confirmed_at?.age(now))
    }

    /// Returns all changes that are newer than `since`.
    ///
    /// Returns every entry if departures after `since` have been dropped already.
    #[must_use]
    pub fn changes_since(&self, now: Timestamp, since: FleetVersion) -> Changes {
        let revision = since.revision;
        let includes_all = revision < self.compacted_revision;
        let is_behind = self.routes.generation > since.generation;
        let digest = since.routes_digest.filter(|_| is_behind);
        let merged_since = |digest| self.route_history.since(since.generation, digest);
        let route_changes = digest.and_then(merged_since);
        let routes = (is_behind && route_changes.is_none()).then(|| (*self.routes).clone());
        let upstreams: Vec<&UpstreamRecord> = if includes_all {
            self.upstreams.values().collect()
        } else {
            let newer = self.index.newer_than(revision);
            newer.filter_map(|id| self.upstreams.get(id)).collect()
        };
        let departed = self.departed.iter().filter(|(_, d)| d.revision > revision);
        Changes {
            age: self.age(now),
            revision: self.revision,
            routes,
            route_changes,
            is_full: includes_all,
            upstreams: upstreams
                .iter()
                .map(|record| (*record.entry).clone())
                .collect(),
            departures: departed.map(|(id, d)| d.as_departure(id)).collect(),
            former_services: self
                .service_history
                .for_process(now, is_behind, since.history_span),
            ..Changes::default()
        }
    }

    /// Version of this replica, with which it requests changes from another process.
    #[must_use]
    pub fn version(&self, now: Timestamp) -> FleetVersion {
        FleetVersion {
            generation: self.routes.generation,
            revision: self.revision,
            routes_digest: Some(self.routes_digest),
            history_span: Some(self.service_history.span(now)),
        }
    }

    /// Returns true if this replica has changes that are newer than `other`.
    #[must_use]
    pub fn is_newer_than(&self, other: FleetVersion) -> bool {
        let departures = self.departed.values().map(|d| d.revision);
        let newest = self
            .index
            .newest_revision()
            .max(departures.max().unwrap_or_default());
        let is_new_era = self.revision.era > other.revision.era;
        self.routes.generation > other.generation || is_new_era || newest > other.revision
    }

    /// Routes in force.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteDocument> {
        &self.routes
    }

    /// Services that the routes named before.
    #[must_use]
    pub fn service_history(&self) -> &Arc<ServiceHistory> {
        &self.service_history
    }

    /// Store revision up to which the upstreams are complete.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns true if a store that reports `revision` was restored from a copy since the replica
    /// last matched it.
    #[must_use]
    pub fn is_restored(&self, revision: StoreRevision) -> bool {
        self.confirmed_at.is_some() && revision.era > self.revision.era
    }

    /// Upstreams that the store lists, and those in the grace period after their departure; only the
    /// latest start at each address.
    pub fn current_upstreams(&self, now: Timestamp) -> impl Iterator<Item = &UpstreamRecord> {
        let in_grace_period = self
            .departed
            .values()
            .filter(move |d| d.is_in_grace_period(now));
        self.upstreams
            .values()
            .chain(in_grace_period.filter_map(|d| d.last.as_ref()))
            .filter(|record| self.is_latest_start(&record.entry))
    }

    /// Number of changes to services so far; see [`Fleet::services_changed_since`].
    #[must_use]
    pub fn service_change_count(&self) -> u64 {
        self.index.change_count()
    }

    /// Services whose upstreams changed after [`Fleet::service_change_count`] was `change_count`.
    pub fn services_changed_since(&self, change_count: u64) -> impl Iterator<Item = &Name> {
        self.index.changed_since(change_count)
    }

    /// Upstreams of a service, ordered by presence and then by identifier; only the latest start at
    /// each address, whatever its service.
    #[must_use]
    pub fn service_upstreams(
        &self,
        now: Timestamp,
        service: &Name,
    ) -> Vec<(&UpstreamRecord, Presence)> {
        let with_presence = |id: &Name| {
            if let Some(record) = self.upstreams.get(id) {
                return Some((record, Presence::Listed));
            }
            let departed = self.departed.get(id)?;
            Some((departed.last.as_ref()?, departed.presence(now)))
        };
        let mut upstreams: Vec<_> = self
            .index
            .of_service(service)
            .filter_map(with_presence)
            .filter(|(record, _)| self.is_latest_start(&record.entry))
            .collect();
        upstreams.sort_by_key(|(_, presence)| *presence);
        upstreams
    }

    /// Returns true if no other entry at the same address is of a later start.
    ///
    /// An instance runs one upstream at a time, and its former starts hold nothing any more.
    fn is_latest_start(&self, entry: &UpstreamEntry) -> bool {
        let mut starts = self.index.at_ip(entry.ip);
        !starts.any(|id| {
            self.entry(id)
                .is_some_and(|e| self.is_later_start(e, entry))
        })
    }

    /// Returns true if `entry` is of a later start than `other`, at the same address.
    fn is_later_start(&self, entry: &UpstreamEntry, other: &UpstreamEntry) -> bool {
        let wrote_after_departure_of = |entry: &UpstreamEntry, other: &UpstreamEntry| {
            let departed = self.departed.get(&other.id).map(|d| d.revision);
            departed.is_some_and(|r| r.era == entry.revision.era && r < entry.revision)
        };
        // The clock may have been set back between the two starts.
        if wrote_after_departure_of(entry, other) {
            return true;
        }
        if wrote_after_departure_of(other, entry) {
            return false;
        }
        let order = |entry: &UpstreamEntry| (entry.incarnation, entry.revision);
        (order(entry), &entry.id) > (order(other), &other.id)
    }

    /// Returns the entry of an upstream that the store lists, or the last one that it listed.
    fn entry(&self, id: &Name) -> Option<&UpstreamEntry> {
        let departed = || self.departed.get(id)?.last.as_ref();
        let record = self.upstreams.get(id).or_else(departed)?;
        Some(&record.entry)
    }

    /// Drops expired departures and former services; returns true if a view must be rebuilt.
    ///
    /// `previous_call` is the time of the call before.
    pub fn expire(&mut self, now: Timestamp, previous_call: Timestamp) -> bool {
        let before = self.departed.len();
        let mut any_grace_period_ended = false;
        let (compacted_revision, index) = (&mut self.compacted_revision, &mut self.index);
        self.departed.retain(|_, d| {
            let keep = now.since(d.departed_at) < DEPARTURE_TTL;
            if !keep {
                *compacted_revision = (*compacted_revision).max(d.revision);
                d.last.iter().for_each(|record| index.remove(&record.entry));
            } else if d.is_in_grace_period(previous_call) && !d.is_in_grace_period(now) {
                any_grace_period_ended = true;
                d.last
                    .iter()
                    .for_each(|record| index.mark_changed_at(record.entry.ip));
            }
            keep
        });
        let any_service_expired = self.service_history.has_expired(now);
        if any_service_expired {
            Arc::make_mut(&mut self.service_history).expire(now);
        }
        any_grace_period_ended || any_service_expired || self.departed.len() != before
    }

    fn routes_origin(&self, complete_after: Option<StoreRevision>) -> RoutesOrigin {
        let is_first = self.routes.generation.0 == 0;
        if is_first || complete_after.is_some_and(|revision| revision <= self.revision) {
            RoutesOrigin::Consecutive
        } else {
            RoutesOrigin::Gap
        }
    }

    fn apply_routes(&mut self, now: Timestamp, routes: RouteDocument) -> bool {
        if routes.generation <= self.routes.generation {
            return false;
        }
        let changes = route_history::diff(&self.routes, &routes);
        Arc::make_mut(&mut self.service_history).record(now, &self.routes, &changes);
        self.route_history
            .record(changes, self.routes_digest, routes.routes.len());
        self.routes_digest = routes.digest();
        self.routes = Arc::new(routes);
        true
    }

    fn apply_route_changes(&mut self, now: Timestamp, changes: RouteChanges) -> bool {
        // Changes from another generation are ignored; the next request fetches matching ones.
        let follows = changes.from == self.routes.generation;
        follows && self.apply_routes(now, route_history::apply(&self.routes, changes))
    }

    /// Returns true if a restored store lists an entry that is older than the known one.
    ///
    /// The upstream writes its entry again; until then the newer one is used.
    fn is_outdated_copy(&self, entry: &UpstreamEntry) -> bool {
        self.entry(&entry.id).is_some_and(|known| {
            entry.revision.era > known.revision.era && entry.was_written_before(known)
        })
    }

    fn apply_entry(&mut self, now: Timestamp, entry: UpstreamEntry) -> bool {
        let record = self.upstreams.get(&entry.id);
        let is_old = record.is_some_and(|record| record.entry.revision >= entry.revision);
        let departed = self.departed.get(&entry.id);
        if is_old || departed.is_some_and(|d| d.revision >= entry.revision) {
            return false;
        }
        self.remove_record(&entry.id);
        self.index.add(&entry);
        let warm_at = now + entry.warm_up;
        let id = entry.id.clone();
        let entry = Arc::new(entry);
        self.upstreams.insert(id, UpstreamRecord { entry, warm_at });
        true
    }

    fn apply_departure(&mut self, now: Timestamp, departure: Departure) -> bool {
        let record = self.upstreams.get(&departure.id);
        if record.is_some_and(|record| record.entry.revision > departure.revision) {
            return false;
        }
        if let Some(previous) = self.departed.get_mut(&departure.id) {
            if previous.revision >= departure.revision {
                return false;
            }
            previous.revision = departure.revision;
            if let Some(last) = &previous.last {
                self.index.mark_changed_at(last.entry.ip);
                return true;
            }
        }
        let reported = departure.last.map(|entry| UpstreamRecord {
            entry: Arc::new(entry),
            warm_at: now,
        });
        let listed = self.remove_record(&departure.id);
        let last = listed.or(reported);
        if let Some(record) = &last {
            self.index.add_departed(&record.entry);
        }
        let changed = last.is_some();
        // An upstream announces its departure by draining, but an entry of an earlier era may only be
        // missing in the copy from which the store was restored.
        let is_unannounced = |record: &UpstreamRecord| {
            !record.entry.draining || record.entry.revision.era < departure.revision.era
        };
        let departed = DepartedUpstream {
            is_unannounced: last.as_ref().is_some_and(is_unannounced),
            last,
            revision: departure.revision,
            departed_at: now,
        };
        self.departed.insert(departure.id, departed);
        changed
    }

    /// Removes all records of an upstream; returns the one that the store listed.
    fn remove_record(&mut self, id: &Name) -> Option<UpstreamRecord> {
        let record = self.upstreams.remove(id);
        let departed = self.departed.remove(id).and_then(|d| d.last);
        for record in record.iter().chain(&departed) {
            self.index.remove(&record.entry);
        }
        record
    }

    fn remove_unlisted(
        &mut self,
        now: Timestamp,
        revision: StoreRevision,
        listed: &[UpstreamEntry],
    ) -> bool {
        let listed: HashSet<&Name> = listed.iter().map(|entry| &entry.id).collect();
        let unlisted: Vec<Name> = self
            .upstreams
            .iter()
            .filter(|(id, record)| record.entry.revision <= revision && !listed.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        let mut any_removed = false;
        for id in unlisted {
            any_removed |= self.apply_departure(now, Departure::without_entry(id, revision));
        }
        any_removed
    }
}
