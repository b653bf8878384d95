//! Which share an agent may use while documents change.

use std::collections::HashMap;
use std::sync::Arc;

use plantainquay_schema::{DocumentVersion, Service, UpstreamNumber};

use super::{LimitKey, share_of};

/// Most versions that are kept; of more, an old one is taken for one that was never in force.
const MAX_VERSIONS: usize = 256;

/// The versions that an agent had in force and what it knows of its siblings'.
///
/// A version is settled once every agent of the service has had it in force. Until then, an agent
/// uses the least of its shares since the last settled version.
#[derive(Debug)]
pub struct ShareLedger {
    own: UpstreamNumber,
    /// Versions that were in force here since the settled one, the newest last.
    versions: Vec<Entry>,
    settled: DocumentVersion,
    heard: HashMap<UpstreamNumber, DocumentVersion>,
}

#[derive(Debug)]
struct Entry {
    version: DocumentVersion,
    service: Arc<Service>,
    /// Whether generations before it were never in force here. A sibling may still have one of
    /// them, with a share for this agent that it doesn't know.
    after_gap: bool,
}

impl ShareLedger {
    /// A ledger of an agent that has no document yet.
    #[must_use]
    pub fn new(own: UpstreamNumber) -> Self {
        Self {
            own,
            versions: Vec::new(),
            settled: DocumentVersion::default(),
            heard: HashMap::new(),
        }
    }

    /// Notes that a document is in force here.
    pub fn install(&mut self, version: DocumentVersion, service: &Arc<Service>) {
        let last = self
            .versions
            .last()
            .map_or(0, |entry| entry.version.generation.0);
        self.versions.push(Entry {
            version,
            service: Arc::clone(service),
            after_gap: version.generation.0 > last + 1,
        });
        if self.versions.len() > MAX_VERSIONS {
            self.versions.remove(1);
            self.versions[1].after_gap = true;
        }
        self.settle();
    }

    /// Notes what a sibling has in force, and which version it knows to be settled.
    pub fn hear(
        &mut self,
        from: UpstreamNumber,
        version: DocumentVersion,
        settled: DocumentVersion,
    ) {
        self.heard.insert(from, version);
        self.settled = self.settled.max(settled);
        self.settle();
    }

    /// The newest version that is known to be settled.
    #[must_use]
    pub fn settled(&self) -> DocumentVersion {
        self.settled
    }

    /// Whether any share may be used: the settled version was in force here, and so was each one
    /// since.
    ///
    /// An agent that has just started doesn't know which share its siblings take to be its own,
    /// until a version that it has is settled.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        let Some((base, later)) = self.versions.split_first() else {
            return false;
        };
        base.version == self.settled && !later.iter().any(|entry| entry.after_gap)
    }

    /// What may be in use here at most; none when there is no such limit.
    #[must_use]
    pub fn allowed(&self, key: &LimitKey) -> Option<u64> {
        let current = self.versions.last()?;
        let share = share_of(&current.service, key, self.own)?;
        if !self.is_usable() {
            return Some(0);
        }
        let versions = self.versions.iter();
        let earlier = versions.filter_map(|entry| share_of(&entry.service, key, self.own));
        Some(earlier.fold(share, u64::min))
    }

    fn settle(&mut self) {
        let Some(current) = self.versions.last() else {
            return;
        };
        let version = current.version;
        let has_it = |number| number == self.own || self.heard.get(&number) == Some(&version);
        if current.service.upstreams.iter().all(|u| has_it(u.number)) {
            self.settled = self.settled.max(version);
        }
        let settled = self.settled;
        if let Some(at) = self
            .versions
            .iter()
            .position(|entry| entry.version == settled)
        {
            self.versions.drain(..at);
        }
    }
}
