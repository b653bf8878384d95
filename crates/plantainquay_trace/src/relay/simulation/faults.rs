//! Faults and changes to the upstreams that the store lists.

use std::net::SocketAddr;
use std::time::Duration;

use plantainquay_schema::{
    Changes, Departure, Generation, Route, RouteDocument, UpstreamEntry, WeightedService,
};

use super::{Flow, RelaySimulation, upstream_entry};
use crate::relay::RelayEvent;
use crate::relay::codec::{LISTENER, PacketKind};
use crate::relay::process::{Process, SERVICE};
use crate::relay::upstream::Upstream;

impl RelaySimulation {
    pub(super) fn apply(&mut self, event: &RelayEvent) {
        match event {
            RelayEvent::Open(flow, via) => {
                self.flows.insert(*flow, Flow::default());
                self.send_from_caller(*flow, PacketKind::Open, via);
            }
            RelayEvent::Repeat(flow, via) => self.retransmit_open(*flow, via),
            RelayEvent::Send(flow, via) => self.send_data(*flow, via),
            RelayEvent::Restart(name) => self.restart(name),
            RelayEvent::Kill(name) => self.with_process(name, |p| p.is_down = true),
            RelayEvent::Pause(name) => self.with_process(name, |p| p.is_paused = true),
            RelayEvent::Resume(name) => self.with_process(name, |p| p.is_paused = false),
            RelayEvent::Crash(upstream) => self.with_upstream(*upstream, Upstream::crash),
            RelayEvent::Down(upstream) => self.with_upstream(*upstream, |u| {
                u.crash();
                u.is_down = true;
            }),
            RelayEvent::Refuse(upstream) => {
                self.with_upstream(*upstream, |u| u.refuses = true);
            }
            RelayEvent::Drain(upstream) => self.list_upstream(*upstream, true),
            RelayEvent::Join(upstream) => self.list_upstream(*upstream, false),
            RelayEvent::Depart(upstream) => self.remove_upstream(*upstream),
            RelayEvent::Lose(loss_one_in) => self.network.loss_one_in = *loss_one_in,
        }
    }

    pub(super) fn restart(&mut self, name: &str) {
        let now = self.now();
        // A starting process gets its state from a live peer, or from the store if there is none.
        let live = |p: &&Process| p.name != name && !p.is_down && !p.is_paused;
        let peer = self.processes.iter().find(live);
        let changes = peer.map_or_else(|| self.full_changes(), |peer| peer.full_changes(now));
        self.with_process(name, |process| {
            process.restart();
            process.apply_changes(now, changes);
        });
    }

    pub(super) fn list_upstream(&mut self, number: u16, draining: bool) {
        self.revision += 1;
        let entry = UpstreamEntry {
            draining,
            ..upstream_entry(number, self.revision)
        };
        self.store_entries.insert(number, entry.clone());
        self.broadcast_changes(&Changes {
            upstreams: vec![entry],
            ..self.empty_changes()
        });
    }

    pub(super) fn remove_upstream(&mut self, number: u16) {
        self.revision += 1;
        if let Some(entry) = self.store_entries.remove(&number) {
            let departure = Departure::without_entry(entry.id, self.revision);
            self.broadcast_changes(&Changes {
                departures: vec![departure],
                ..self.empty_changes()
            });
        }
    }

    pub(super) fn broadcast_changes(&mut self, changes: &Changes) {
        let now = self.now();
        let live = self.processes.iter_mut().filter(|process| !process.is_down);
        live.for_each(|process| process.apply_changes(now, changes.clone()));
    }

    pub(super) fn empty_changes(&self) -> Changes {
        Changes {
            age: Some(Duration::ZERO),
            revision: self.revision,
            ..Changes::default()
        }
    }

    pub(super) fn full_changes(&self) -> Changes {
        let SocketAddr::V4(listener) = LISTENER else {
            return Changes::default();
        };
        let route = Route {
            listener,
            services: [WeightedService::new(SERVICE, 1)].into_iter().collect(),
            idempotent: true,
            timeout: Duration::from_secs(1),
            priority: 1,
        };
        Changes {
            is_full: true,
            routes: Some(RouteDocument {
                generation: Generation(1),
                routes: vec![route],
            }),
            upstreams: self.store_entries.values().cloned().collect(),
            ..self.empty_changes()
        }
    }
}
