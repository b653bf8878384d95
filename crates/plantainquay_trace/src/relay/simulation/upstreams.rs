//! Packet handling of simulated upstreams.

use bytes::Bytes;

use super::{RelaySimulation, SLOTS};
use crate::relay::codec::{PacketKind, SimulatedPacket};
use crate::relay::network::Arrival;
use crate::relay::upstream::Reaction;

impl RelaySimulation {
    /// Returns true if a packet is an answer from an incarnation of its upstream that has crashed.
    pub(super) fn is_from_past_incarnation(&self, packet: &Bytes) -> bool {
        let answer =
            SimulatedPacket::decode(packet).filter(|decoded| decoded.kind == PacketKind::Answer);
        let upstream =
            answer.and_then(|decoded| Some((decoded, self.upstreams.get(&decoded.upstream)?)));
        upstream.is_some_and(|(decoded, upstream)| decoded.incarnation != upstream.incarnation)
    }

    pub(super) fn receive_at_upstream(&mut self, agent: usize, packet: Bytes) {
        let number = self.upstream_number(agent);
        let Some(decoded) = SimulatedPacket::decode(&packet) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(&number) else {
            return;
        };
        let reaction = upstream.on_packet(number, decoded);
        let incarnation = upstream.incarnation;
        if decoded.kind == PacketKind::Data && reaction != Reaction::NoReply {
            self.count_data(decoded, number);
        }
        let reply = |kind| SimulatedPacket {
            kind,
            upstream: number,
            incarnation,
            ..decoded
        };
        let (packet, returned) = match reaction {
            Reaction::Accept => (reply(PacketKind::Accept).encode(), false),
            Reaction::Answer => {
                let packet = reply(PacketKind::Answer).encode();
                return self.send_answer(agent, number, decoded.flow, packet);
            }
            Reaction::Return => (packet, true),
            Reaction::NoReply => return,
        };
        let arrival = Arrival::FromUpstream {
            agent,
            packet,
            returned,
        };
        self.network.schedule(self.now_ms, arrival);
    }

    /// Schedules the answer of an upstream, after the request's service time if one is set.
    fn send_answer(&mut self, agent: usize, number: u16, flow: u16, packet: Bytes) {
        let service_time_ms = self
            .service_times_ms
            .as_ref()
            .map(|times| times.get(&flow).copied());
        let upstream = self.upstreams.get_mut(&number);
        let at_ms = match (service_time_ms, upstream) {
            (Some(service_time_ms), Some(upstream)) => {
                let service_time_ms = service_time_ms.unwrap_or(0);
                upstream.schedule_answer(self.now_ms, flow, usize::from(SLOTS), service_time_ms)
            }
            _ => Some(self.now_ms),
        };
        let arrival = Arrival::FromUpstream {
            agent,
            packet,
            returned: false,
        };
        if let Some(at_ms) = at_ms {
            self.network.schedule(at_ms, arrival);
        }
    }

    fn count_data(&mut self, decoded: SimulatedPacket, number: u16) {
        let is_astray = self.is_astray(decoded.flow);
        let is_path_stable = self.is_path_stable(decoded.flow);
        let Some(flow) = self.flows.get_mut(&decoded.flow) else {
            return;
        };
        if flow.accepted_by == Some(number) {
            flow.strays.clear();
            flow.last_received = flow.last_received.max(decoded.sequence);
            self.summary.astray += u32::from(is_astray);
        } else {
            self.summary.strays += 1;
            if flow.strays.is_empty() {
                flow.astray_since_ms = self.now_ms;
            }
            if decoded.sequence > flow.last_received && is_path_stable {
                flow.strays.insert(decoded.sequence);
            }
        }
    }
}
