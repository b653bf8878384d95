//! Events of a trace: faults of processes, upstreams and the network.

use plantainquay_core::FleetVersion;

use super::{Flow, RelaySimulation, SETTLING_TIME_MS};
use crate::relay::RelayEvent;
use crate::relay::codec::PacketKind;
use crate::relay::process::Process;
use crate::relay::upstream::Upstream;

impl RelaySimulation {
    pub(super) fn apply(&mut self, event: &RelayEvent) {
        let numbers = self.upstreams.keys().copied();
        let unreachable: Vec<u16> = numbers.filter(|n| self.is_unreachable(*n)).collect();
        self.apply_event(event);
        for number in unreachable {
            if !self.is_unreachable(number) {
                let until_ms = self.now_ms + SETTLING_TIME_MS;
                self.unreachable_until_ms.insert(number, until_ms);
            }
        }
    }

    fn apply_event(&mut self, event: &RelayEvent) {
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
            RelayEvent::Resume(name) => {
                let now_ms = self.now_ms;
                self.with_process(name, |p| {
                    p.is_paused = false;
                    p.resumed_at_ms = Some(now_ms);
                });
            }
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
            RelayEvent::Route(services) => self.change_route(services),
            RelayEvent::Restore(age_ms) => self.restore_store(*age_ms),
            RelayEvent::WriteAgain => self.write_again(),
            RelayEvent::Cut(name) => self.with_process(name, |p| p.is_cut_off = true),
            RelayEvent::Mend(name) => self.mend(name),
        }
    }

    pub(super) fn restart(&mut self, name: &str) {
        let now = self.now();
        // A starting process gets its state from a live peer, or from the store if there is none.
        let live = |p: &&Process| p.name != name && p.can_be_source();
        let peer = self.processes.iter().find(live);
        let changes = peer.map_or_else(
            || self.full_changes(),
            |peer| peer.changes_since(now, FleetVersion::default()),
        );
        if !self.processes.iter().any(|p| live(&p)) {
            let listed = |number: &u16| self.store.content.entries.contains_key(number);
            let unlisted = self.upstreams.keys().copied().filter(|n| !listed(n));
            self.forgotten
                .extend(unlisted.map(|number| (number, u64::MAX)));
            // Packets that went astray before all processes restarted don't count.
            let flows = self.flows.values_mut();
            flows.for_each(|flow| flow.strays.clear());
        }
        self.with_process(name, |process| {
            process.restart();
            process.apply_changes(now, changes);
        });
    }

    /// Brings a process that was cut off up to date, from a live peer or from the store.
    fn mend(&mut self, name: &str) {
        let now = self.now();
        let Some(process) = self.processes.iter().find(|p| p.name == name) else {
            return;
        };
        let live = |p: &&Process| p.name != name && p.can_be_source();
        let peer = self.processes.iter().find(live);
        let changes = peer.map_or_else(
            || self.full_changes(),
            |peer| peer.changes_since(now, process.version(now)),
        );
        self.with_process(name, |process| {
            process.is_cut_off = false;
            process.apply_changes(now, changes);
        });
    }
}
