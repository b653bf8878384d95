//! Indexes over the entries of a fleet.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::Ipv4Addr;

use plantainquay_schema::{Name, StoreRevision, UpstreamEntry};

/// Entries by revision, by service and by address, and services by their last change.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    /// Entries that the store lists, by revision.
    by_revision: BTreeSet<(StoreRevision, Name)>,
    /// Listed and departed entries, by service.
    by_service: HashMap<Name, BTreeSet<Name>>,
    /// Listed and departed entries with their services, by address: each start of an upstream has an
    /// entry of its own.
    by_ip: HashMap<Ipv4Addr, BTreeMap<Name, Name>>,
    /// Number of changes to services so far.
    change_count: u64,
    /// Services by the number of their last change.
    service_by_last_change: BTreeMap<u64, Name>,
    /// Number of the last change of each service.
    last_change_by_service: HashMap<Name, u64>,
}

impl Index {
    /// Adds an entry that the store lists.
    pub(super) fn add(&mut self, entry: &UpstreamEntry) {
        self.by_revision.insert((entry.revision, entry.id.clone()));
        self.add_departed(entry);
    }

    /// Adds an entry that the store no longer lists.
    pub(super) fn add_departed(&mut self, entry: &UpstreamEntry) {
        let ids = self.by_service.entry(entry.service.clone()).or_default();
        ids.insert(entry.id.clone());
        let starts = self.by_ip.entry(entry.ip).or_default();
        starts.insert(entry.id.clone(), entry.service.clone());
        self.mark_changed_at(entry.ip);
    }

    /// Removes an entry and records the change to its service.
    pub(super) fn remove(&mut self, entry: &UpstreamEntry) {
        self.by_revision.remove(&(entry.revision, entry.id.clone()));
        if let Some(ids) = self.by_service.get_mut(&entry.service) {
            ids.remove(&entry.id);
            if ids.is_empty() {
                self.by_service.remove(&entry.service);
            }
        }
        self.mark_changed_at(entry.ip);
        if let Some(starts) = self.by_ip.get_mut(&entry.ip) {
            starts.remove(&entry.id);
            if starts.is_empty() {
                self.by_ip.remove(&entry.ip);
            }
        }
    }

    /// Records a change to an entry or its presence: it may decide for all services at its address
    /// which start is used.
    pub(super) fn mark_changed_at(&mut self, ip: Ipv4Addr) {
        let starts = self.by_ip.get(&ip).into_iter().flatten();
        let services: BTreeSet<Name> = starts.map(|(_, service)| service.clone()).collect();
        for service in &services {
            self.mark_changed(service);
        }
    }

    fn mark_changed(&mut self, service: &Name) {
        self.change_count += 1;
        let last = self
            .last_change_by_service
            .insert(service.clone(), self.change_count);
        if let Some(last) = last {
            self.service_by_last_change.remove(&last);
        }
        self.service_by_last_change
            .insert(self.change_count, service.clone());
    }

    /// Number of changes to services so far.
    pub(super) fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Services that changed after [`Index::change_count`] was `change_count`.
    pub(super) fn changed_since(&self, change_count: u64) -> impl Iterator<Item = &Name> {
        self.service_by_last_change
            .range(change_count + 1..)
            .map(|(_, name)| name)
    }

    /// Highest revision of a listed entry; zero without entries.
    pub(super) fn newest_revision(&self) -> StoreRevision {
        let newest = self.by_revision.last().map(|(revision, _)| *revision);
        newest.unwrap_or_default()
    }

    /// Listed entries with a revision above `revision`.
    pub(super) fn newer_than(&self, revision: StoreRevision) -> impl Iterator<Item = &Name> {
        let newer = revision
            .next()
            .map(|first| self.by_revision.range((first, Name::default())..));
        newer.into_iter().flatten().map(|(_, id)| id)
    }

    /// Listed and departed entries at an address.
    pub(super) fn at_ip(&self, ip: Ipv4Addr) -> impl Iterator<Item = &Name> {
        self.by_ip.get(&ip).into_iter().flat_map(BTreeMap::keys)
    }

    /// Listed and departed entries of a service.
    pub(super) fn of_service(&self, service: &Name) -> impl Iterator<Item = &Name> {
        self.by_service.get(service).into_iter().flatten()
    }
}
