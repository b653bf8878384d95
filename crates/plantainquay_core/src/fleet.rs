//! Routes and upstreams that a process knows of, each with its own revision.
//!
//! The store is read by a few processes; the others hear of changes from them. Both paths end in
//! [`Fleet::apply`], which takes each entry by its revision and never goes back, whatever the
//! order in which changes arrive.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use plantainquay_schema::{Changes, Departure, Generation, Name, RouteDocument, UpstreamEntry};

use crate::Timestamp;

/// Time for which a departure is remembered, for askers and for flows that were open there.
const DEPARTURE_TTL: Duration = Duration::from_secs(30);
/// Time for which the entry of an upstream that didn't say it would leave still counts.
///
/// Entries expire by mistake while the store is away, and upstreams that live write theirs anew
/// within two seconds of its return.
const DOUBT: Duration = Duration::from_millis(2_200);

/// Everything that a process knows of routes and upstreams.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    routes: Arc<RouteDocument>,
    revision: u64,
    upstreams: BTreeMap<Name, Known>,
    departed: HashMap<Name, Departed>,
    /// Departures up to this revision are not remembered.
    forgotten: u64,
    /// Moment at which the state was last known to be the store's.
    ///
    /// In microseconds of [`Timestamp`]; below zero for a moment before the process started.
    confirmed: Option<i64>,
}

/// An entry and when it was heard of.
#[derive(Clone, Debug)]
pub struct Known {
    /// The entry.
    pub entry: Arc<UpstreamEntry>,
    /// Moment until which the upstream is slow after its start.
    pub warm_at: Timestamp,
}

#[derive(Clone, Debug)]
struct Departed {
    last: Option<Known>,
    revision: u64,
    at: Timestamp,
    /// Whether the entry may have expired by mistake.
    doubtful: bool,
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
        if changes.whole {
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
    pub fn changes_since(&self, now: Timestamp, generation: Generation, revision: u64) -> Changes {
        let whole = revision < self.forgotten;
        let routes = (self.routes.generation > generation).then(|| (*self.routes).clone());
        let newer = |known: &&Known| whole || known.entry.revision > revision;
        let upstreams = self.upstreams.values().filter(newer);
        let departed = self.departed.iter().filter(|(_, d)| d.revision > revision);
        Changes {
            age: self.age(now),
            revision: self.revision,
            routes,
            whole,
            upstreams: upstreams.map(|known| (*known.entry).clone()).collect(),
            departures: departed.map(|(id, d)| d.as_departure(id)).collect(),
            is_cut_off: false,
        }
    }

    /// Whether an asker with these revisions lacks something.
    #[must_use]
    pub fn is_newer_than(&self, generation: Generation, revision: u64) -> bool {
        let newest = |entry: &Known| entry.entry.revision;
        let newest_entry = self.upstreams.values().map(newest).max().unwrap_or(0);
        let departures = self.departed.values().map(|d| d.revision);
        let newest = newest_entry.max(departures.max().unwrap_or(0));
        self.routes.generation > generation || newest > revision
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

    /// Upstreams that have left, but may still hold flows.
    pub fn former(&self, now: Timestamp) -> impl Iterator<Item = &Known> {
        let departed = self.departed.values();
        let former = departed.filter(move |d| !d.is_doubted(now));
        former.filter_map(|d| d.last.as_ref())
    }

    /// Forgets old departures; returns whether the set of upstreams has changed.
    pub fn expire(&mut self, now: Timestamp, last: Timestamp) -> bool {
        let before = self.departed.len();
        let settled = |d: &Departed| d.is_doubted(last) && !d.is_doubted(now);
        let any_settled = self.departed.values().any(settled);
        let forgotten = &mut self.forgotten;
        self.departed.retain(|_, d| {
            let keep = now.since(d.at) < DEPARTURE_TTL;
            if !keep {
                *forgotten = (*forgotten).max(d.revision);
            }
            keep
        });
        any_settled || self.departed.len() != before
    }

    fn apply_routes(&mut self, routes: RouteDocument) -> bool {
        if routes.generation <= self.routes.generation {
            return false;
        }
        self.routes = Arc::new(routes);
        true
    }

    fn put(&mut self, now: Timestamp, entry: UpstreamEntry) -> bool {
        let known = self.upstreams.get(&entry.id);
        let is_old = known.is_some_and(|known| known.entry.revision >= entry.revision);
        let departed = self.departed.get(&entry.id);
        if is_old || departed.is_some_and(|d| d.revision >= entry.revision) {
            return false;
        }
        self.departed.remove(&entry.id);
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
        let last = self.upstreams.remove(&departure.id).or(heard);
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

    fn remove_unnamed(&mut self, now: Timestamp, revision: u64, named: &[UpstreamEntry]) -> bool {
        let is_named = |id: &Name| named.iter().any(|entry| entry.id == *id);
        let unnamed: Vec<Name> = self
            .upstreams
            .iter()
            .filter(|(id, known)| known.entry.revision <= revision && !is_named(id))
            .map(|(id, _)| id.clone())
            .collect();
        let mut any = false;
        for id in unnamed {
            any |= self.remove(now, Departure::of(id, revision));
        }
        any
    }
}

impl Departed {
    fn is_doubted(&self, now: Timestamp) -> bool {
        self.doubtful && now.since(self.at) < DOUBT
    }

    fn as_departure(&self, id: &Name) -> Departure {
        Departure {
            id: id.clone(),
            revision: self.revision,
            last: self.last.as_ref().map(|known| (*known.entry).clone()),
        }
    }
}
