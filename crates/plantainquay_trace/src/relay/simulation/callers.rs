//! Simulated callers.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::{MAX_TRANSMISSIONS, RETRANSMISSION_TIMEOUT_MS, RelaySimulation, STABLE_TIME_MS};
use crate::relay::codec::{PacketKind, SimulatedPacket};
use crate::relay::network::Arrival;

impl RelaySimulation {
    pub(super) fn receive_at_caller(&mut self, packet: &Bytes) {
        let Some(decoded) = SimulatedPacket::decode(packet) else {
            return;
        };
        let has_route = self.store.has_route();
        let Some(flow) = self.flows.get_mut(&decoded.flow) else {
            return;
        };
        match decoded.kind {
            PacketKind::Accept if flow.accepted_by.is_none() && !flow.is_reset => {
                flow.accepted_by = Some(decoded.upstream);
                flow.is_route_removed |= !has_route;
                flow.incarnation = decoded.incarnation;
                self.summary.opened += 1;
                let service =
                    &self.services[usize::from(decoded.upstream - 1) % self.services.len()];
                self.summary.misrouted += u32::from(!self.named_services.contains(service));
                let line = format!("f{} opened at u{}", decoded.flow, decoded.upstream);
                self.log_line(&line);
                if self.service_times_ms.is_some() {
                    self.send_first_request(decoded.flow);
                }
            }
            PacketKind::Answer if flow.accepted_by == Some(decoded.upstream) => {
                flow.answered += 1;
                flow.last_answered = flow.last_answered.max(decoded.sequence);
                flow.answered_at_ms.get_or_insert(self.now_ms);
                self.summary.answered += 1;
                let line = format!("f{} answered by u{}", decoded.flow, decoded.upstream);
                self.log_line(&line);
            }
            _ => {}
        }
    }

    /// Returns true if a flow's upstream has left the store and its agent doesn't answer.
    ///
    /// Such an upstream can't be distinguished from a terminated one, so its flows may be reset.
    fn is_upstream_unreachable(&self, flow: u16) -> bool {
        let accepted_by = self.flows.get(&flow).and_then(|flow| flow.accepted_by);
        accepted_by.is_some_and(|accepted_by| {
            let until_ms = self.unreachable_until_ms.get(&accepted_by);
            self.is_unreachable(accepted_by) || until_ms.is_some_and(|until| self.now_ms < *until)
        })
    }

    pub(super) fn is_unreachable(&self, upstream: u16) -> bool {
        let agent = &self.processes[self.balancers + usize::from(upstream) - 1];
        !self.store.is_registered(upstream) && (agent.is_paused || agent.is_down)
    }

    /// Returns true if packets of a flow could reach its upstream: its agent runs, and the balancer
    /// of its last packet wasn't paused lately.
    pub(super) fn is_path_stable(&self, flow: u16) -> bool {
        let Some(state) = self.flows.get(&flow) else {
            return false;
        };
        let balancer = &self.processes[state.last_balancer];
        let resumed_at_ms = balancer.resumed_at_ms;
        let was_paused = resumed_at_ms.is_some_and(|at| self.now_ms < at + STABLE_TIME_MS);
        if balancer.is_paused || was_paused {
            return false;
        }
        state.accepted_by.is_some_and(|accepted_by| {
            let agent = &self.processes[self.balancers + usize::from(accepted_by) - 1];
            !agent.is_paused && !agent.is_down
        })
    }

    /// Returns the time of the first answer on a flow.
    pub(in crate::relay) fn answered_at_ms(&self, flow: u16) -> Option<u64> {
        self.flows.get(&flow)?.answered_at_ms
    }

    /// Returns true if a flow has been reset.
    pub(in crate::relay) fn is_reset(&self, flow: u16) -> bool {
        self.flows.get(&flow).is_some_and(|flow| flow.is_reset)
    }

    /// Sets the service time of each flow's request at its upstream, in milliseconds.
    pub(in crate::relay) fn set_service_times(&mut self, service_times_ms: BTreeMap<u16, u64>) {
        self.service_times_ms = Some(service_times_ms);
    }

    /// Retransmits the opening packet of a flow unless an upstream has accepted the flow.
    pub(super) fn retransmit_open(&mut self, flow: u16, via: &str) {
        if self
            .flows
            .get(&flow)
            .is_some_and(|flow| flow.accepted_by.is_none())
        {
            self.send_from_caller(flow, PacketKind::RetransmittedOpen, via);
        }
    }

    pub(super) fn send_data(&mut self, flow: u16, via: &str) {
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        let is_done = self.service_times_ms.is_some() && state.answered > 0;
        if state.accepted_by.is_some() && !state.is_reset && !is_done {
            state.sent += 1;
            let sequence = state.sent;
            self.send_from_caller(flow, PacketKind::Data, via);
            if self.service_times_ms.is_none() {
                self.schedule_retransmission(flow, sequence, 1);
            }
        }
    }

    fn schedule_retransmission(&mut self, flow: u16, sequence: u16, transmissions: u32) {
        let delay_ms = RETRANSMISSION_TIMEOUT_MS << (transmissions - 1);
        let timer = Arrival::RetransmissionTimer {
            flow,
            sequence,
            transmissions,
        };
        self.network.reschedule(self.now_ms + delay_ms, timer);
    }

    /// Retransmits a data packet through the balancer of the last packet, unless it was answered.
    pub(super) fn retransmit_data(&mut self, flow: u16, sequence: u16, transmissions: u32) {
        let Some(state) = self.flows.get(&flow) else {
            return;
        };
        let is_done = state.is_reset || state.last_answered >= sequence;
        if is_done || transmissions >= MAX_TRANSMISSIONS {
            return;
        }
        let balancer = state.last_balancer;
        let packet = SimulatedPacket {
            flow,
            kind: PacketKind::Data,
            upstream: state.accepted_by.unwrap_or(0),
            incarnation: state.incarnation,
            sequence,
        };
        let packet = packet.encode();
        self.network
            .send(self.now_ms, Arrival::FromCaller { balancer, packet });
        self.schedule_retransmission(flow, sequence, transmissions + 1);
    }

    /// Sends the request of a flow through a balancer selected by the flow's number, as a router
    /// selects one by flow hash.
    fn send_first_request(&mut self, flow: u16) {
        let balancer = usize::from(flow) % self.balancers;
        let name = self.processes[balancer].name.clone();
        self.send_data(flow, &name);
    }

    pub(super) fn send_from_caller(&mut self, flow: u16, kind: PacketKind, via: &str) {
        let Some(balancer) = self.processes.iter().position(|p| p.name == via) else {
            return;
        };
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        state.last_balancer = balancer;
        let packet = SimulatedPacket {
            flow,
            kind,
            upstream: state.accepted_by.unwrap_or(0),
            incarnation: state.incarnation,
            sequence: state.sent,
        };
        let packet = packet.encode();
        self.network
            .send(self.now_ms, Arrival::FromCaller { balancer, packet });
    }

    pub(super) fn reset(&mut self, process: usize, flow: u16, reason: &dyn std::fmt::Display) {
        let is_broken = self.is_held(flow) && !self.is_upstream_unreachable(flow);
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        if state.is_reset {
            return;
        }
        state.is_reset = true;
        let verdict = if is_broken {
            self.summary.broken += 1;
            "BROKEN"
        } else {
            self.summary.reset += 1;
            "reset"
        };
        let name = self.processes[process].name.clone();
        self.log_line(&format!("f{flow} {verdict} by {name}: {reason}"));
    }
}
