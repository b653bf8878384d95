//! Caller packets and their paths through balancers and agents.

use std::net::SocketAddr;

use plantainquay_core::agent::{Outbox, Verdict};
use plantainquay_core::{FiveTuple, Segment};
use plantainquay_schema::{Name, TunnelHeader, UpstreamNumber};

use super::{CallerFlow, Simulation};
use crate::documents::service_address;
use crate::processes::QueuedItem;
use crate::{PacketOutcome, PacketRecord, ProcessId};

/// Source port of the first flow; later flows use the ports after it.
const FIRST_CALLER_PORT: u16 = 20_000;

impl Simulation {
    pub(super) fn open(&mut self, flow: &Name, service: &Name, via: &Name, echoes: bool) {
        let index = u16::try_from(self.flows.len()).unwrap_or(0);
        let caller_flow = CallerFlow {
            tuple: FiveTuple {
                source: SocketAddr::from((
                    [198, 51, 100, 7],
                    FIRST_CALLER_PORT.wrapping_add(index),
                )),
                destination: service_address(service.as_str()),
            },
            service: service.clone(),
            echoes: echoes && self.policy.echoes_tags,
            holder: None,
            is_closed: false,
        };
        let mut segment = Segment::opening(caller_flow.tuple);
        segment.has_timestamp = caller_flow.echoes;
        self.flows.insert(flow.clone(), caller_flow);
        self.receive_at_balancer(flow, via, &segment);
    }

    pub(super) fn send(&mut self, flow: &Name, via: &Name) {
        let Some(caller_flow) = self.flows.get(flow).filter(|flow| !flow.is_closed) else {
            return;
        };
        let mut segment = Segment::established(caller_flow.tuple);
        if caller_flow.echoes {
            let tag = caller_flow.holder.as_ref().and_then(upstream_number);
            segment = segment.with_tag(tag);
        }
        self.receive_at_balancer(flow, via, &segment);
    }

    pub(super) fn close(&mut self, flow: &Name) {
        let Some(caller_flow) = self.flows.get_mut(flow) else {
            return;
        };
        caller_flow.is_closed = true;
        let id = caller_flow.tuple.flow_id();
        let Some(holder) = caller_flow.holder.clone() else {
            return;
        };
        let Some(agent) = self.agents.get(&holder) else {
            return;
        };
        let (_, outbox) = agent.state.close(&mut agent.state.shard(id), id);
        self.send_messages(&holder, outbox);
    }

    fn receive_at_balancer(&mut self, flow: &Name, via: &Name, segment: &Segment) {
        let path = vec![ProcessId::Balancer(via.clone())];
        let balancer = self.balancers.entry(via.clone()).or_default();
        if balancer.is_paused {
            return self.record_outcome(
                flow,
                path,
                PacketOutcome::Lost("balancer_paused".to_owned()),
            );
        }
        match (self.policy.route)(&balancer.routes, &mut balancer.cache, segment) {
            Err(reason) => self.record_outcome(flow, path, PacketOutcome::Lost(reason.to_string())),
            Ok(forward) => match self.agents_by_address.get(&forward.to).cloned() {
                Some(agent) => self.send_to_agent(flow, path, agent, &forward.header, segment),
                None => self.record_outcome(
                    flow,
                    path,
                    PacketOutcome::Lost("no_such_process".to_owned()),
                ),
            },
        }
    }

    /// Sends a packet to an agent from the last process on its path.
    fn send_to_agent(
        &mut self,
        flow: &Name,
        path: Vec<ProcessId>,
        to: ProcessId,
        header: &TunnelHeader,
        segment: &Segment,
    ) {
        let from = path.last().cloned();
        let cut = from.is_some_and(|from| self.cuts.contains(&(from, to.clone())));
        if cut {
            return self.record_outcome(flow, path, PacketOutcome::Lost("cut".to_owned()));
        }
        self.receive_at_agent(flow, path, to, header, segment);
    }

    pub(super) fn receive_at_agent(
        &mut self,
        flow: &Name,
        mut path: Vec<ProcessId>,
        at: ProcessId,
        header: &TunnelHeader,
        segment: &Segment,
    ) {
        let now = self.now;
        path.push(at.clone());
        let Some(agent) = self.agents.get_mut(&at) else {
            return self.record_outcome(
                flow,
                path,
                PacketOutcome::Lost("no_such_process".to_owned()),
            );
        };
        if agent.is_paused {
            let item = QueuedItem::Packet(flow.clone(), header.clone(), *segment);
            agent.queue.push_back(item);
            return;
        }
        let state = &agent.state;
        let mut shard = state.shard(segment.tuple.flow_id());
        let verdict = (self.policy.on_packet)(state, &mut shard, now, header, segment);
        let mut outbox = Outbox::new();
        if let Verdict::Open(opening) = &verdict {
            outbox = state.open(&mut shard, now, opening.clone(), ());
            shard.mark_established(segment.tuple.flow_id());
        }
        drop(shard);
        self.send_messages(&at, outbox);
        match verdict {
            Verdict::Open(_) => self.record_opened(flow, path, at),
            Verdict::Deliver => self.record_delivered(flow, path, &at),
            Verdict::Forward { to, header, .. } => {
                self.summary.forwarded += 1;
                match self.agents_by_address.get(&to).cloned() {
                    Some(next) => self.send_to_agent(flow, path, next, &header, segment),
                    None => self.record_outcome(
                        flow,
                        path,
                        PacketOutcome::Lost("no_such_process".to_owned()),
                    ),
                }
            }
            Verdict::Reset(reason) => {
                self.record_outcome(flow, path, PacketOutcome::Reset(reason.to_string()));
            }
            Verdict::Drop(reason) => {
                self.record_outcome(flow, path, PacketOutcome::Lost(reason.to_string()));
            }
        }
    }

    fn record_opened(&mut self, flow: &Name, path: Vec<ProcessId>, at: ProcessId) {
        let is_right_service = self.belongs_to_service(flow, &at);
        let Some(caller_flow) = self.flows.get_mut(flow) else {
            return;
        };
        caller_flow.holder = Some(at);
        let outcome = if is_right_service {
            PacketOutcome::Opened
        } else {
            PacketOutcome::Misdelivered
        };
        self.record_outcome(flow, path, outcome);
    }

    fn record_delivered(&mut self, flow: &Name, path: Vec<ProcessId>, at: &ProcessId) {
        let holder = self.flows.get(flow).and_then(|flow| flow.holder.as_ref());
        let is_right_agent = holder == Some(at) && self.belongs_to_service(flow, at);
        let outcome = if is_right_agent {
            PacketOutcome::Delivered
        } else {
            PacketOutcome::Misdelivered
        };
        self.record_outcome(flow, path, outcome);
    }

    fn belongs_to_service(&self, flow: &Name, at: &ProcessId) -> bool {
        let service = self.flows.get(flow).map(|flow| &flow.service);
        matches!(at, ProcessId::Agent(own, _) if Some(own) == service)
    }

    fn record_outcome(&mut self, flow: &Name, path: Vec<ProcessId>, outcome: PacketOutcome) {
        match &outcome {
            PacketOutcome::Opened => self.summary.opened += 1,
            PacketOutcome::Delivered => self.summary.delivered += 1,
            PacketOutcome::Misdelivered => self.summary.misdelivered += 1,
            PacketOutcome::Lost(_) => self.summary.lost += 1,
            PacketOutcome::Reset(_) => self.record_reset(flow),
        }
        self.packet_records.push(PacketRecord {
            millis: self.now.0 / 1_000,
            flow: flow.clone(),
            path,
            outcome,
        });
    }

    /// Closes a reset flow and counts it as broken if it was open at an agent.
    fn record_reset(&mut self, flow: &Name) {
        let Some(caller_flow) = self.flows.get_mut(flow) else {
            return;
        };
        if caller_flow.holder.is_some() && !caller_flow.is_closed {
            self.summary.broken += 1;
        }
        caller_flow.is_closed = true;
    }
}

fn upstream_number(process: &ProcessId) -> Option<UpstreamNumber> {
    match process {
        ProcessId::Agent(_, number) => Some(*number),
        ProcessId::Balancer(_) => None,
    }
}
