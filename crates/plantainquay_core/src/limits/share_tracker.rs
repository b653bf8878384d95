//! Tracks the share that an agent may use while documents change.

use std::collections::HashMap;
use std::sync::Arc;

use plantainquay_schema::{DocumentVersion, Service, UpstreamNumber};

use super::{LimitKey, share_of};

/// Maximum number of versions kept; above it, the second oldest is treated as never in force.
const MAX_VERSIONS: usize = 256;

/// Versions that an agent had in force, and the versions that its siblings reported.
///
/// A version is settled once every agent of the service has had it in force. Until then, an agent
/// uses the least of its shares since the last settled version.
#[derive(Debug)]
pub struct ShareTracker {
    own_number: UpstreamNumber,
    /// Versions in force on this agent since the settled one, the newest last.
    versions: Vec<InstalledVersion>,
    settled: DocumentVersion,
    sibling_versions: HashMap<UpstreamNumber, DocumentVersion>,
}

#[derive(Debug)]
struct InstalledVersion {
    version: DocumentVersion,
    service: Arc<Service>,
    /// True if the generation just before this version was never in force on this agent. A sibling
    /// may still use that generation, with a split of the limit that this agent doesn't know.
    after_gap: bool,
}

impl ShareTracker {
    /// Creates the tracker of an agent that has no document yet.
    #[must_use]
    pub fn new(own_number: UpstreamNumber) -> Self {
        Self {
            own_number,
            versions: Vec::new(),
            settled: DocumentVersion::default(),
            sibling_versions: HashMap::new(),
        }
    }

    /// Records that a document has come into force on this agent.
    pub fn install(&mut self, version: DocumentVersion, service: &Arc<Service>) {
        let last = self
            .versions
            .last()
            .map_or(0, |entry| entry.version.generation.0);
        self.versions.push(InstalledVersion {
            version,
            service: Arc::clone(service),
            after_gap: version.generation.0 > last + 1,
        });
        if self.versions.len() > MAX_VERSIONS {
            self.versions.remove(1);
            self.versions[1].after_gap = true;
        }
        self.update_settled();
    }

    /// Records a sibling's version in force, and the newest version that it knows to be settled.
    pub fn record_sibling(
        &mut self,
        from: UpstreamNumber,
        version: DocumentVersion,
        settled: DocumentVersion,
    ) {
        self.sibling_versions.insert(from, version);
        self.settled = self.settled.max(settled);
        self.update_settled();
    }

    /// Newest version known to be settled.
    #[must_use]
    pub fn settled(&self) -> DocumentVersion {
        self.settled
    }

    /// Returns true if shares may be used: the settled version and every version after it were in
    /// force on this agent.
    ///
    /// An agent that has just started doesn't know which share its siblings assign to it until a
    /// version that it has is settled.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        let Some((base, later)) = self.versions.split_first() else {
            return false;
        };
        base.version == self.settled && !later.iter().any(|entry| entry.after_gap)
    }

    /// Maximum usage on this agent; `None` if there is no such limit.
    #[must_use]
    pub fn allowed(&self, key: &LimitKey) -> Option<u64> {
        let current = self.versions.last()?;
        let share = share_of(&current.service, key, self.own_number)?;
        if !self.is_usable() {
            return Some(0);
        }
        let versions = self.versions.iter();
        let shares = versions.filter_map(|entry| share_of(&entry.service, key, self.own_number));
        Some(shares.fold(share, u64::min))
    }

    fn update_settled(&mut self) {
        let Some(current) = self.versions.last() else {
            return;
        };
        let version = current.version;
        let has_version = |number| {
            number == self.own_number || self.sibling_versions.get(&number) == Some(&version)
        };
        if current
            .service
            .upstreams
            .iter()
            .all(|u| has_version(u.number))
        {
            self.settled = self.settled.max(version);
        }
        let settled = self.settled;
        if let Some(index) = self
            .versions
            .iter()
            .position(|entry| entry.version == settled)
        {
            self.versions.drain(..index);
        }
    }
}
