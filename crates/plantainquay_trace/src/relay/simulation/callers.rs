//! What callers send and see.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::RelaySimulation;
use crate::relay::codec::{Kind, Wire};
use crate::relay::network::Arrival;

impl RelaySimulation {
    pub(super) fn at_caller(&mut self, packet: &Bytes) {
        let Some(wire) = Wire::decode(packet) else {
            return;
        };
        let Some(flow) = self.flows.get_mut(&wire.flow) else {
            return;
        };
        match wire.kind {
            Kind::Accept if flow.chosen.is_none() && !flow.is_reset => {
                flow.chosen = Some(wire.upstream);
                flow.life = wire.life;
                self.summary.opened += 1;
                let line = format!("f{} opened at u{}", wire.flow, wire.upstream);
                self.write(&line);
                if self.work_ms.is_some() {
                    self.send_data_via_any(wire.flow);
                }
            }
            Kind::Answer if flow.chosen == Some(wire.upstream) => {
                flow.answered += 1;
                flow.answered_at_ms.get_or_insert(self.now_ms);
                self.summary.answered += 1;
                let line = format!("f{} answered by u{}", wire.flow, wire.upstream);
                self.write(&line);
            }
            _ => {}
        }
    }

    /// Whether the store has dropped a flow's upstream and its agent doesn't answer either.
    ///
    /// Nothing tells such an upstream from one that has ended, and its flows may be reset.
    fn is_out_of_sight(&self, number: u16) -> bool {
        let chosen = self.flows.get(&number).and_then(|flow| flow.chosen);
        chosen.is_some_and(|chosen| {
            let agent = &self.processes[self.balancers + usize::from(chosen) - 1];
            !self.listed.contains_key(&chosen) && (agent.is_paused || agent.is_down)
        })
    }

    /// When the first answer on a flow came.
    pub(in crate::relay) fn answered_at_ms(&self, flow: u16) -> Option<u64> {
        self.flows.get(&flow)?.answered_at_ms
    }

    /// Whether a caller was told that its flow has ended.
    pub(in crate::relay) fn is_reset(&self, flow: u16) -> bool {
        self.flows.get(&flow).is_some_and(|flow| flow.is_reset)
    }

    /// Lets upstreams take time for the requests of flows.
    pub(in crate::relay) fn set_work(&mut self, work_ms: BTreeMap<u16, u64>) {
        self.work_ms = Some(work_ms);
    }

    /// Callers repeat an opening packet only until an upstream has answered it.
    pub(super) fn repeat_opening(&mut self, flow: u16, via: &str) {
        if self
            .flows
            .get(&flow)
            .is_some_and(|flow| flow.chosen.is_none())
        {
            self.send_from_caller(flow, Kind::Reopen, via);
        }
    }

    pub(super) fn send_data(&mut self, flow: u16, via: &str) {
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        let is_done = self.work_ms.is_some() && state.answered > 0;
        if state.chosen.is_some() && !state.is_reset && !is_done {
            state.sent += 1;
            self.send_from_caller(flow, Kind::Data, via);
        }
    }

    /// Sends the request of a flow through the balancer that routers pick for it.
    fn send_data_via_any(&mut self, flow: u16) {
        let balancer = usize::from(flow) % self.balancers;
        let name = self.processes[balancer].name.clone();
        self.send_data(flow, &name);
    }

    pub(super) fn send_from_caller(&mut self, flow: u16, kind: Kind, via: &str) {
        let Some(balancer) = self.processes.iter().position(|p| p.name == via) else {
            return;
        };
        let Some(state) = self.flows.get(&flow) else {
            return;
        };
        let packet = Wire {
            flow,
            kind,
            upstream: state.chosen.unwrap_or(0),
            life: state.life,
            number: state.sent,
        };
        let packet = packet.encode();
        self.network
            .send(self.now_ms, Arrival::FromCaller { balancer, packet });
    }

    pub(super) fn reset(&mut self, by: usize, number: u16, reason: &dyn std::fmt::Display) {
        let is_held = self.is_held(number) && !self.is_out_of_sight(number);
        let Some(flow) = self.flows.get_mut(&number) else {
            return;
        };
        if flow.is_reset {
            return;
        }
        flow.is_reset = true;
        let verdict = if is_held {
            self.summary.broken += 1;
            "BROKEN"
        } else {
            self.summary.reset += 1;
            "reset"
        };
        let name = self.processes[by].name.clone();
        self.write(&format!("f{number} {verdict} by {name}: {reason}"));
    }
}
