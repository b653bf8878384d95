//! Routes and upstreams that a process knows of, each with its own revision.
//!
//! The store is read by a few processes; the others hear of changes from them. Both paths end in
//! [`Fleet::apply`], which takes each entry by its revision and never goes back, whatever the
//! order in which changes arrive.

mod departed;
mod index;
mod route_history;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use plantainquay_schema::{
    Changes, Departure, Generation, Name, RouteChanges, RouteDocument, UpstreamEntry,
};

use self::departed::Departed;
pub use self::departed::Standing;
use self::index::Index;
use self::route_history::RouteHistory;
use crate::Timestamp;

/// Time for which a departure is remembered, for askers and for flows that were open there.
const DEPARTURE_TTL: Duration = Duration::from_secs(30);

/// Everything that a process knows of routes and upstreams.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    routes: Arc<RouteDocument>,
    routes_digest: u64,
    route_history: RouteHistory,
    revision: u64,
    upstreams: BTreeMap<Name, Known>,
    departed: HashMap<Name, Departed>,
    index: Index,
    /// Departures up to this revision are not remembered.
    forgotten: u64,
    /// Moment at which the state was last known to be the store's.
    ///
    /// In microseconds of [`Timestamp`]; below zero for a moment before the process started.
    confirmed: Option<i64>,
}

/// What a process has that asks for changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asker {
    /// Generation of its routes; zero for none.
    pub generation: Generation,
    /// Revision up to which it knows of upstreams.
    pub revision: u64,
    /// Digest of its routes; none when it takes whole documents alone.
    pub routes_digest: Option<u64>,
}

/// An entry and when it was heard of.
#[derive(Clone, Debug)]
pub struct Known {
    /// The entry.
    pub entry: Arc<UpstreamEntry>,
    /// Moment until which the upstream is slow after its start.
    pub warm_at: Timestamp,
}

/// What [`Fleet::apply`] has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Newer routes are in force.
    pub routes: bool,
    /// Upstreams have come, changed or gone.
    pub upstreams: bool,
}

impl Fleet {
    /// Takes in what is newer than the own state.
    pub fn apply(&mut self, now: Timestamp, changes: Changes) -> Applied {
        let mut applied = Applied::default();
        if let Some(routes) = changes.routes {
            applied.routes = self.apply_routes(routes);
        }
        if let Some(changes) = changes.route_changes {
            applied.routes |= self.apply_route_changes(changes);
        }
        if changes.is_full {
            applied.upstreams |= self.remove_unnamed(now, changes.revision, &changes.upstreams);
            self.forgotten = self.forgotten.max(changes.revision);
        }
        for entry in changes.upstreams {
            applied.upstreams |= self.put(now, entry);
        }
        for departure in changes.departures {
            applied.upstreams |= self.remove(now, departure);
        }
        self.revision = self.revision.max(changes.revision);
        self.confirm(now, changes.age);
        applied
    }

    /// Notes that the state was the store's `age` ago.
    fn confirm(&mut self, now: Timestamp, age: Option<Duration>) {
        let Some(age) = age else {
            return;
        };
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        let at = now.0.cast_signed().saturating_sub(age);
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Time since the state was last confirmed; none when it never was.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        let micros = now.0.cast_signed().saturating_sub(self.confirmed?);
        Some(Duration::from_micros(u64::try_from(micros).unwrap_or(0)))
    }

    /// Everything that is newer than what an asker has.
    ///
    /// An asker whose revision lies before the remembered departures gets every entry.
    #[must_use]
    pub fn changes_since(&self, now: Timestamp, asker: Asker) -> Changes {
        let revision = asker.revision;
        let whole = revision < self.forgotten;
        let is_behind = self.routes.generation > asker.generation;
        let digest = asker.routes_digest.filter(|_| is_behind);
        let since = |digest| self.route_history.since(asker.generation, digest);
        let route_changes = digest.and_then(since);
        let routes = (is_behind && route_changes.is_none()).then(|| (*self.routes).clone());
        let upstreams: Vec<&Known> = if whole {
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
            is_full: whole,
            upstreams: upstreams.iter().map(|k| (*k.entry).clone()).collect(),
            departures: departed.map(|(id, d)| d.as_departure(id)).collect(),
            is_cut_off: false,
        }
    }

    /// What the own state tells another process when it asks for changes.
    #[must_use]
    pub fn as_asker(&self) -> Asker {
        Asker {
            generation: self.routes.generation,
            revision: self.revision,
            routes_digest: Some(self.routes_digest),
        }
    }

    /// Whether an asker lacks something.
    #[must_use]
    pub fn is_newer_than(&self, asker: Asker) -> bool {
        let departures = self.departed.values().map(|d| d.revision);
        let newest = self.index.newest().max(departures.max().unwrap_or(0));
        self.routes.generation > asker.generation || newest > asker.revision
    }

    /// Routes in force.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteDocument> {
        &self.routes
    }

    /// Revision of the store up to which the membership is complete.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Upstreams that the store names, and those whose departure is in doubt.
    pub fn current(&self, now: Timestamp) -> impl Iterator<Item = &Known> {
        let doubted = self.departed.values().filter(move |d| d.is_doubted(now));
        self.upstreams
            .values()
            .chain(doubted.filter_map(|d| d.last.as_ref()))
    }

    /// Number of changes of services so far; see [`Fleet::services_changed_since`].
    #[must_use]
    pub fn membership(&self) -> u64 {
        self.index.changes()
    }

    /// Services whose upstreams have changed since [`Fleet::membership`] had a value.
    pub fn services_changed_since(&self, membership: u64) -> impl Iterator<Item = &Name> {
        self.index.changed_since(membership)
    }

    /// Upstreams of a service in the order of their standing, and within it of their identifiers.
    #[must_use]
    pub fn members(&self, now: Timestamp, service: &Name) -> Vec<(&Known, Standing)> {
        let member = |id: &Name| {
            if let Some(known) = self.upstreams.get(id) {
                return Some((known, Standing::Named));
            }
            let departed = self.departed.get(id)?;
            Some((departed.last.as_ref()?, departed.standing(now)))
        };
        let mut members: Vec<_> = self.index.of_service(service).filter_map(member).collect();
        members.sort_by_key(|(_, standing)| *standing);
        members
    }

    /// Forgets old departures; returns whether the set of upstreams has changed.
    pub fn expire(&mut self, now: Timestamp, last: Timestamp) -> bool {
        let before = self.departed.len();
        let mut any_settled = false;
        let (forgotten, index) = (&mut self.forgotten, &mut self.index);
        self.departed.retain(|_, d| {
            let keep = now.since(d.at) < DEPARTURE_TTL;
            if !keep {
                *forgotten = (*forgotten).max(d.revision);
                d.last.iter().for_each(|known| index.remove(&known.entry));
            } else if d.is_doubted(last) && !d.is_doubted(now) {
                any_settled = true;
                d.last
                    .iter()
                    .for_each(|known| index.touch(&known.entry.service));
            }
            keep
        });
        any_settled || self.departed.len() != before
    }

    fn apply_routes(&mut self, routes: RouteDocument) -> bool {
        if routes.generation <= self.routes.generation {
            return false;
        }
        self.route_history
            .record(&self.routes, self.routes_digest, &routes);
        self.routes_digest = routes.digest();
        self.routes = Arc::new(routes);
        true
    }

    fn apply_route_changes(&mut self, changes: RouteChanges) -> bool {
        // An asker that has other routes by now is told anew.
        let follows = changes.from == self.routes.generation;
        follows && self.apply_routes(route_history::changed(&self.routes, changes))
    }

    fn put(&mut self, now: Timestamp, entry: UpstreamEntry) -> bool {
        let known = self.upstreams.get(&entry.id);
        let is_old = known.is_some_and(|known| known.entry.revision >= entry.revision);
        let departed = self.departed.get(&entry.id);
        if is_old || departed.is_some_and(|d| d.revision >= entry.revision) {
            return false;
        }
        self.forget_entry(&entry.id);
        self.index.add(&entry);
        let warm_at = now + entry.warm_up;
        let id = entry.id.clone();
        let entry = Arc::new(entry);
        self.upstreams.insert(id, Known { entry, warm_at });
        true
    }

    fn remove(&mut self, now: Timestamp, departure: Departure) -> bool {
        let known = self.upstreams.get(&departure.id);
        if known.is_some_and(|known| known.entry.revision > departure.revision) {
            return false;
        }
        let previous = self.departed.get(&departure.id);
        if previous.is_some_and(|d| d.revision >= departure.revision) {
            return false;
        }
        let heard = departure.last.map(|entry| Known {
            entry: Arc::new(entry),
            warm_at: now,
        });
        let previous = self.forget_entry(&departure.id);
        let last = previous.or(heard);
        if let Some(known) = &last {
            self.index.add_departed(&known.entry);
        }
        let is_news = last.is_some();
        let departed = Departed {
            // A draining upstream leaves on purpose.
            doubtful: last.as_ref().is_some_and(|known| !known.entry.draining),
            last,
            revision: departure.revision,
            at: now,
        };
        self.departed.insert(departure.id, departed);
        is_news
    }

    /// Takes out what is known under an identifier; returns the entry that the store named.
    fn forget_entry(&mut self, id: &Name) -> Option<Known> {
        let known = self.upstreams.remove(id);
        let departed = self.departed.remove(id).and_then(|d| d.last);
        for known in known.iter().chain(&departed) {
            self.index.remove(&known.entry);
        }
        known
    }

    fn remove_unnamed(&mut self, now: Timestamp, revision: u64, named: &[UpstreamEntry]) -> bool {
        let named: HashSet<&Name> = named.iter().map(|entry| &entry.id).collect();
        let unnamed: Vec<Name> = self
            .upstreams
            .iter()
            .filter(|(id, known)| known.entry.revision <= revision && !named.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        let mut any = false;
        for id in unnamed {
            any |= self.remove(now, Departure::without_entry(id, revision));
        }
        any
    }
}
