//! Recent changes to the routes, for processes that have an earlier generation.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddrV4;

use plantainquay_schema::{Generation, Route, RouteChanges, RouteDocument};

/// Maximum number of entries; a process that lags further fetches the full document.
const MAX_ENTRIES: usize = 64;
/// A change to at least one route in this many is sent as a full document.
const FULL_DOCUMENT_DIVISOR: usize = 2;

/// Recent changes, oldest first; each starts from the generation in which the previous one results.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteHistory {
    entries: VecDeque<HistoryEntry>,
}

#[derive(Clone, Debug)]
struct HistoryEntry {
    /// Digest of the routes before the change.
    from_digest: u64,
    changes: RouteChanges,
}

impl RouteHistory {
    /// Records changes that result in `route_count` routes; changes too large to send clear the
    /// history.
    pub(super) fn record(&mut self, changes: RouteChanges, from_digest: u64, route_count: usize) {
        let size = changes.put.len() + changes.removed.len();
        if size >= route_count.div_ceil(FULL_DOCUMENT_DIVISOR) {
            return self.entries.clear();
        }
        self.entries.push_back(HistoryEntry {
            from_digest,
            changes,
        });
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// Merges the changes since generation `from`; `None` if they are no longer kept, or if
    /// `digest` belongs to different routes of that generation.
    pub(super) fn since(&self, from: Generation, digest: u64) -> Option<RouteChanges> {
        let is_first =
            |entry: &HistoryEntry| entry.changes.from == from && entry.from_digest == digest;
        let first = self.entries.iter().position(is_first)?;
        let all_changes = self.entries.range(first..).map(|entry| &entry.changes);
        let generation = self.entries.back()?.changes.generation;
        let mut merged: BTreeMap<SocketAddrV4, Option<&Route>> = BTreeMap::new();
        for changes in all_changes {
            merged.extend(changes.removed.iter().map(|listener| (*listener, None)));
            merged.extend(
                changes
                    .put
                    .iter()
                    .map(|route| (route.listener, Some(route))),
            );
        }
        let removed = merged.iter().filter(|(_, route)| route.is_none());
        Some(RouteChanges {
            from,
            generation,
            removed: removed.map(|(listener, _)| *listener).collect(),
            put: merged.values().filter_map(|route| route.cloned()).collect(),
        })
    }
}

/// Computes the changes from `old` to `new`.
pub(super) fn diff(old: &RouteDocument, new: &RouteDocument) -> RouteChanges {
    let old_routes = by_listener(&old.routes);
    let new_routes = by_listener(&new.routes);
    let is_changed = |route: &&&Route| old_routes.get(&route.listener) != Some(*route);
    let mut put: Vec<Route> = new_routes
        .values()
        .filter(is_changed)
        .map(|r| (*r).clone())
        .collect();
    put.sort_unstable_by_key(|route| route.listener);
    let is_removed = |listener: &&SocketAddrV4| !new_routes.contains_key(*listener);
    let mut removed: Vec<SocketAddrV4> = old_routes.keys().filter(is_removed).copied().collect();
    removed.sort_unstable();
    RouteChanges {
        from: old.generation,
        generation: new.generation,
        put,
        removed,
    }
}

/// Applies changes to a document.
pub(super) fn apply(old: &RouteDocument, changes: RouteChanges) -> RouteDocument {
    let put = changes.put.iter().map(|route| &route.listener);
    let replaced: HashSet<SocketAddrV4> = changes.removed.iter().chain(put).copied().collect();
    let is_kept = |route: &&Route| !replaced.contains(&route.listener);
    let mut routes: Vec<Route> = old.routes.iter().filter(is_kept).cloned().collect();
    routes.extend(changes.put);
    RouteDocument {
        generation: changes.generation,
        routes,
    }
}

/// Routes by listener; of several with one listener, the last is effective.
pub(super) fn by_listener(routes: &[Route]) -> HashMap<SocketAddrV4, &Route> {
    routes.iter().map(|r| (r.listener, r)).collect()
}
