//! What upstreams do with packets.

use bytes::Bytes;

use super::{RelaySimulation, SLOTS};
use crate::relay::codec::{Kind, Wire};
use crate::relay::network::Arrival;
use crate::relay::upstream::Reaction;

impl RelaySimulation {
    /// Whether an upstream has lost its work since it began a packet.
    pub(super) fn is_of_past_life(&self, packet: &Bytes) -> bool {
        let answer = Wire::decode(packet).filter(|wire| wire.kind == Kind::Answer);
        let upstream = answer.and_then(|wire| Some((wire, self.upstreams.get(&wire.upstream)?)));
        upstream.is_some_and(|(wire, upstream)| wire.life != upstream.life)
    }

    pub(super) fn at_upstream(&mut self, agent: usize, packet: Bytes) {
        let number = self.number_of(agent);
        let Some(wire) = Wire::decode(&packet) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(&number) else {
            return;
        };
        let reaction = upstream.take(number, wire);
        let life = upstream.life;
        if wire.kind == Kind::Data && reaction != Reaction::Silence {
            self.count_data(wire, number);
        }
        let reply = |kind| Wire {
            kind,
            upstream: number,
            life,
            ..wire
        };
        let (packet, returned) = match reaction {
            Reaction::Accept => (reply(Kind::Accept).encode(), false),
            Reaction::Answer => {
                let packet = reply(Kind::Answer).encode();
                return self.answer(agent, number, wire.flow, packet);
            }
            Reaction::Return => (packet, true),
            Reaction::Silence => return,
        };
        let arrival = Arrival::FromUpstream {
            agent,
            packet,
            returned,
        };
        self.network.put(self.now_ms, arrival);
    }

    /// Lets an upstream answer, after its work if it has any.
    fn answer(&mut self, agent: usize, number: u16, flow: u16, packet: Bytes) {
        let work_ms = self.work_ms.as_ref().map(|work| work.get(&flow).copied());
        let upstream = self.upstreams.get_mut(&number);
        let at_ms = match (work_ms, upstream) {
            (Some(work_ms), Some(upstream)) => {
                let work_ms = work_ms.unwrap_or(0);
                upstream.answer_at(self.now_ms, flow, usize::from(SLOTS), work_ms)
            }
            _ => Some(self.now_ms),
        };
        let arrival = Arrival::FromUpstream {
            agent,
            packet,
            returned: false,
        };
        if let Some(at_ms) = at_ms {
            self.network.put(at_ms, arrival);
        }
    }

    fn count_data(&mut self, wire: Wire, number: u16) {
        let is_astray = self.is_astray(wire.flow);
        let Some(flow) = self.flows.get_mut(&wire.flow) else {
            return;
        };
        if flow.chosen == Some(number) {
            flow.strays.clear();
            flow.arrived = flow.arrived.max(wire.number);
            self.summary.astray += u32::from(is_astray);
        } else {
            self.summary.strays += 1;
            if flow.strays.is_empty() {
                flow.astray_since_ms = self.now_ms;
            }
            if wire.number > flow.arrived {
                flow.strays.insert(wire.number);
            }
        }
    }
}
