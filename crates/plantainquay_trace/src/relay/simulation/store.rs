//! The simulated store: what operators and upstreams write, and restores from a copy.

use std::collections::BTreeMap;
use std::time::Duration;

use plantainquay_schema::{
    Changes, Departure, Incarnation, Name, RouteDocument, StoreRevision, UpstreamEntry,
};

use super::{RelaySimulation, SETTLING_TIME_MS, SLOTS, agent_ip, route_document};

/// The store, its copies, and what was written to it last.
#[derive(Debug)]
pub(super) struct Store {
    pub(super) content: Content,
    /// Writes of upstreams so far.
    writes: u64,
    /// Routes and entries as they were written last, which a restore may have taken from the store.
    written_routes: RouteDocument,
    written_entries: BTreeMap<u16, UpstreamEntry>,
    /// Content after each change, with its time.
    copies: Vec<(u64, Content)>,
}

/// Content of the store at one revision.
#[derive(Clone, Debug)]
pub(super) struct Content {
    pub(super) revision: StoreRevision,
    pub(super) routes: RouteDocument,
    pub(super) entries: BTreeMap<u16, UpstreamEntry>,
}

impl Store {
    /// Creates a store that contains a route and no upstreams.
    pub(super) fn new(routes: RouteDocument) -> Self {
        let content = Content {
            revision: StoreRevision::new(1, 1),
            routes: routes.clone(),
            entries: BTreeMap::new(),
        };
        Self {
            content,
            written_routes: routes,
            writes: 0,
            written_entries: BTreeMap::new(),
            copies: Vec::new(),
        }
    }

    /// Returns true if the last write of an upstream registered it, whatever a restored copy lists.
    pub(super) fn is_registered(&self, upstream: u16) -> bool {
        self.written_entries.contains_key(&upstream)
    }

    /// Returns true if the route exists, whatever a restored copy contains.
    pub(super) fn has_route(&self) -> bool {
        !self.written_routes.routes.is_empty()
    }

    /// Stores the entry that an upstream writes, at the next revision.
    pub(super) fn put_upstream(
        &mut self,
        now_ms: u64,
        number: u16,
        service: &Name,
        draining: bool,
    ) {
        self.writes += 1;
        self.content.revision.number += 1;
        let entry = UpstreamEntry {
            id: format!("u{number}").as_str().into(),
            service: service.clone(),
            ip: agent_ip(number),
            data_centre: "split".into(),
            slots: SLOTS.into(),
            draining,
            incarnation: Incarnation(1),
            warm_up: Duration::ZERO,
            sequence: self.writes,
            revision: self.content.revision,
        };
        self.content.entries.insert(number, entry.clone());
        self.written_entries.insert(number, entry);
        self.record_copy(now_ms);
    }

    /// Removes an entry, and returns it if there was one.
    fn remove_upstream(&mut self, now_ms: u64, number: u16) -> Option<UpstreamEntry> {
        self.content.revision.number += 1;
        self.written_entries.remove(&number);
        let entry = self.content.entries.remove(&number);
        self.record_copy(now_ms);
        entry
    }

    fn put_routes(&mut self, now_ms: u64, routes: RouteDocument) {
        self.content.revision.number += 1;
        self.content.routes = routes.clone();
        self.written_routes = routes;
        self.record_copy(now_ms);
    }

    /// Replaces the content by that of `at_ms` and starts another era.
    fn restore(&mut self, at_ms: u64) {
        let is_older = |(time, _): &&(u64, Content)| *time <= at_ms;
        let copy = self.copies.iter().rev().find(is_older);
        let Some((_, copy)) = copy.or(self.copies.first()) else {
            return;
        };
        let era = self.content.revision.era + 1;
        self.content = copy.clone();
        self.content.revision.era = era;
        for entry in self.content.entries.values_mut() {
            entry.revision.era = era;
        }
    }

    fn record_copy(&mut self, now_ms: u64) {
        self.copies.push((now_ms, self.content.clone()));
    }
}

impl RelaySimulation {
    pub(super) fn change_route(&mut self, services: &[(String, u32)]) {
        let named = services.iter().map(|(name, _)| name.as_str().into());
        self.named_services.extend(named);
        let weighted: Vec<(&str, u32)> = services.iter().map(|(n, w)| (n.as_str(), *w)).collect();
        let generation = self.store.written_routes.generation.0 + 1;
        if services.is_empty() {
            let flows = self.flows.values_mut();
            flows.for_each(|flow| flow.is_route_removed = true);
        }
        self.publish_routes(route_document(generation, &weighted));
    }

    pub(super) fn list_upstream(&mut self, number: u16, draining: bool) {
        let service = self.service_of(number).clone();
        self.store
            .put_upstream(self.now_ms, number, &service, draining);
        if let Some(known_from_ms) = self.forgotten.get_mut(&number) {
            *known_from_ms = (self.now_ms + SETTLING_TIME_MS).min(*known_from_ms);
        }
        self.broadcast_changes(&Changes {
            upstreams: vec![self.store.content.entries[&number].clone()],
            ..self.empty_changes()
        });
    }

    pub(super) fn remove_upstream(&mut self, number: u16) {
        if let Some(entry) = self.store.remove_upstream(self.now_ms, number) {
            let departure = Departure::without_entry(entry.id, self.store.content.revision);
            self.broadcast_changes(&Changes {
                departures: vec![departure],
                ..self.empty_changes()
            });
        }
    }

    /// Restores the store from a copy of `age_ms` ago, which every process reads.
    pub(super) fn restore_store(&mut self, age_ms: u64) {
        self.store.restore(self.now_ms.saturating_sub(age_ms));
        self.broadcast_changes(&self.full_changes());
    }

    /// Writes again what operators and upstreams wrote last; other entries of the copy expire.
    pub(super) fn write_again(&mut self) {
        let written = self.store.written_entries.clone();
        for (number, entry) in &written {
            self.list_upstream(*number, entry.draining);
        }
        let numbers: Vec<u16> = self.store.content.entries.keys().copied().collect();
        for number in numbers.into_iter().filter(|n| !written.contains_key(n)) {
            self.remove_upstream(number);
        }
        if self.store.content.routes != self.store.written_routes {
            self.publish_routes(self.store.written_routes.clone());
        }
    }

    fn publish_routes(&mut self, routes: RouteDocument) {
        let previous_revision = self.store.content.revision;
        self.store.put_routes(self.now_ms, routes);
        self.broadcast_changes(&Changes {
            routes: Some(self.store.content.routes.clone()),
            routes_complete_after: Some(previous_revision),
            ..self.empty_changes()
        });
    }

    pub(super) fn broadcast_changes(&mut self, changes: &Changes) {
        let now = self.now();
        let live = self
            .processes
            .iter_mut()
            .filter(|process| !process.is_down && !process.is_cut_off);
        live.for_each(|process| process.apply_changes(now, changes.clone()));
    }

    pub(super) fn empty_changes(&self) -> Changes {
        Changes {
            age: Some(Duration::ZERO),
            revision: self.store.content.revision,
            ..Changes::default()
        }
    }

    pub(super) fn full_changes(&self) -> Changes {
        Changes {
            is_full: true,
            routes: Some(self.store.content.routes.clone()),
            upstreams: self.store.content.entries.values().cloned().collect(),
            ..self.empty_changes()
        }
    }
}
