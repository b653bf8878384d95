//! The sources of a process, chosen again only after a service's upstreams have changed.

use plantainquay_core::relay::{Sources, choose_sources};
use plantainquay_schema::RelaySettings;

use super::FleetState;

/// The sources, and the state of the fleet from which they were chosen.
#[derive(Debug, Default)]
pub(super) struct SourceCache {
    sources: Sources,
    /// [`Fleet::service_change_count`](plantainquay_core::Fleet::service_change_count) when the
    /// sources were chosen; `None` before.
    service_change_count: Option<u64>,
}

impl SourceCache {
    /// Returns the sources in the order of attempts; empty if the process reads the store itself.
    pub(super) fn sources(&mut self, settings: &RelaySettings, state: &FleetState) -> Sources {
        let now = state.now();
        state.with_fleet(|fleet| {
            let change_count = Some(fleet.service_change_count());
            if self.service_change_count != change_count {
                self.service_change_count = change_count;
                let (own, port) = (settings.own_address.ip(), settings.changes.port());
                self.sources = choose_sources(fleet, now, own, &settings.data_centre, port);
            }
        });
        self.sources.clone()
    }
}
