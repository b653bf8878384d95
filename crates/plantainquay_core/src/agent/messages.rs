//! Messages between the agents of one service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use plantainquay_schema::{AgentMessage, AgentMessageBody, FlowId, UpstreamNumber, UpstreamState};
use smallvec::smallvec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{AgentState, Outbox, ServiceView};
use crate::Timestamp;

/// Maximum number of siblings in one round of load queries or load reports.
const LOAD_MESSAGES_PER_ROUND: u64 = 3;
/// Maximum number of flows in one message; keeps the datagram below common MTUs.
const FLOWS_PER_MESSAGE: usize = 128;
/// Time between two rounds of flow queries, per sibling; limits the query rate.
const FLOW_QUERY_INTERVAL_PER_SIBLING: Duration = Duration::from_millis(5);

/// Runs periodic work: expires entries and queries siblings. Called every few hundred milliseconds.
pub fn on_tick<T>(state: &AgentState<T>, now: Timestamp) -> Outbox {
    state.record_tick(now);
    for shard in state.shards() {
        shard.lock().expire(now);
    }
    let Some(view) = state.view() else {
        return Outbox::new();
    };
    let mut outbox = load_queries(state, now, &view);
    outbox.extend(flow_queries(state, now, &view));
    outbox
}

/// Processes a sibling's message; returns the reply, if any.
pub fn on_message<T>(state: &AgentState<T>, now: Timestamp, message: &AgentMessage) -> Outbox {
    if message.service != state.config.service || message.from == state.config.number {
        return Outbox::new();
    }
    state.record_sibling_generation(message.version.generation);
    let mut limits = state.limits();
    limits
        .shares
        .record_sibling(message.from, message.version, message.settled);
    drop(limits);
    match &message.body {
        AgentMessageBody::Query(load) => {
            state.sibling_loads.lock().record(now, message.from, *load);
            return load_reply(state, now, message.from);
        }
        AgentMessageBody::Load(load) => state.sibling_loads.lock().record(now, message.from, *load),
        AgentMessageBody::Held(flows) => {
            for flow in flows {
                add_redirect(state, now, *flow, message.from);
            }
        }
        AgentMessageBody::Released(flows) => {
            for flow in flows {
                state.shard(*flow).clear_redirect(*flow, message.from);
            }
        }
        AgentMessageBody::Whose(flows) => return flow_query_reply(state, flows, message.from),
        AgentMessageBody::NotHeld(flows) => {
            for flow in flows {
                state
                    .shard(*flow)
                    .unresolved_mut()
                    .record_not_held(*flow, message.from);
            }
        }
    }
    Outbox::new()
}

fn add_redirect<T>(state: &AgentState<T>, now: Timestamp, flow: FlowId, holder: UpstreamNumber) {
    let mut shard = state.shard(flow);
    if shard.get_mut(flow).is_none() {
        shard.set_redirect(now, flow, holder);
    }
}

fn load_reply<T>(state: &AgentState<T>, now: Timestamp, to: UpstreamNumber) -> Outbox {
    message_to_sibling(state, to, AgentMessageBody::Load(state.load(now)))
}

/// Returns replies that list which of the flows this agent holds and which it doesn't.
fn flow_query_reply<T>(state: &AgentState<T>, flows: &[FlowId], to: UpstreamNumber) -> Outbox {
    let is_held = |flow: &&FlowId| state.shard(**flow).get_mut(**flow).is_some();
    let (held, not_held): (Vec<&FlowId>, Vec<&FlowId>) = flows.iter().partition(is_held);
    let mut outbox = Outbox::new();
    if !held.is_empty() {
        let body = AgentMessageBody::Held(held.into_iter().copied().collect());
        outbox.extend(message_to_sibling(state, to, body));
    }
    if !not_held.is_empty() {
        let body = AgentMessageBody::NotHeld(not_held.into_iter().copied().collect());
        outbox.extend(message_to_sibling(state, to, body));
    }
    outbox
}

fn message_to_sibling<T>(
    state: &AgentState<T>,
    to: UpstreamNumber,
    body: AgentMessageBody,
) -> Outbox {
    let address = state.view().and_then(|view| view.agent_address(to));
    address.map_or_else(Outbox::new, |address| {
        smallvec![(address, state.message(body))]
    })
}

/// Returns queries to every sibling for the unresolved flows that are due.
fn flow_queries<T>(state: &AgentState<T>, now: Timestamp, view: &ServiceView) -> Outbox {
    let upstreams = &view.service().upstreams;
    let siblings = u32::try_from(upstreams.len()).unwrap_or(u32::MAX);
    if !state.try_start_flow_queries(now, FLOW_QUERY_INTERVAL_PER_SIBLING * siblings) {
        return Outbox::new();
    }
    let shards = state.shards();
    let flows: Vec<FlowId> = shards
        .flat_map(|shard| shard.lock().unresolved_mut().take_due_queries(now))
        .collect();
    let mut outbox = Outbox::new();
    for upstream in upstreams.iter().filter(|u| u.number != state.config.number) {
        push_batches(
            state,
            upstream.agent,
            &flows,
            AgentMessageBody::Whose,
            &mut outbox,
        );
    }
    outbox
}

fn push_batches<T>(
    state: &AgentState<T>,
    to: SocketAddr,
    flows: &[FlowId],
    body: fn(Vec<FlowId>) -> AgentMessageBody,
    outbox: &mut Outbox,
) {
    for batch in flows.chunks(FLOWS_PER_MESSAGE) {
        outbox.push((to, state.message(body(batch.to_vec()))));
    }
}

fn load_queries<T>(state: &AgentState<T>, now: Timestamp, view: &ServiceView) -> Outbox {
    let message = state.message(AgentMessageBody::Query(state.load(now)));
    message_to_random_siblings(state, now, view, &message)
}

/// Returns load reports for a few random siblings.
pub(super) fn load_to_random_siblings<T>(state: &AgentState<T>, now: Timestamp) -> Outbox {
    let Some(view) = state.view() else {
        return Outbox::new();
    };
    let message = state.message(AgentMessageBody::Load(state.load(now)));
    message_to_random_siblings(state, now, &view, &message)
}

/// Addresses `message` to a few random siblings.
fn message_to_random_siblings<T>(
    state: &AgentState<T>,
    now: Timestamp,
    view: &ServiceView,
    message: &AgentMessage,
) -> Outbox {
    let own_number = state.config.number;
    let upstreams = view.service().upstreams.iter();
    let siblings: Vec<_> = upstreams.filter(|u| u.number != own_number).collect();
    let hash = xxh3_64_with_seed(&now.0.to_le_bytes(), state.config.incarnation.0);
    let count = LOAD_MESSAGES_PER_ROUND.min(siblings.len() as u64);
    // Consecutive indices from a random start select each sibling at most once.
    let indices = (0..count).map(|i| (hash >> 32).wrapping_add(i) % siblings.len() as u64);
    let chosen = indices.map(|i| siblings[usize::try_from(i).unwrap_or(0)]);
    chosen
        .map(|sibling| (sibling.agent, message.clone()))
        .collect()
}

/// Returns load reports for every sibling that is serving.
pub(super) fn load_to_serving_siblings<T>(state: &AgentState<T>, now: Timestamp) -> Outbox {
    let Some(view) = state.view() else {
        return Outbox::new();
    };
    let message = state.message(AgentMessageBody::Load(state.load(now)));
    let upstreams = view.service().upstreams.iter();
    let serving = upstreams.filter(|u| u.state == UpstreamState::Serving);
    let siblings = serving.filter(|u| u.number != state.config.number);
    siblings.map(|u| (u.agent, message.clone())).collect()
}

/// Announces the flows whose callers don't echo tags to the owners of their buckets.
pub(super) fn announce_held_flows<T>(state: &AgentState<T>, view: &ServiceView) -> Outbox {
    let mut by_owner: BTreeMap<UpstreamNumber, Vec<FlowId>> = BTreeMap::new();
    for shard in state.shards() {
        let shard = shard.lock();
        for (flow, _) in shard.iter().filter(|(_, entry)| !entry.echoes) {
            if let Some(owner) = remote_owner(state, view, flow) {
                by_owner.entry(owner).or_default().push(flow);
            }
        }
    }
    let mut outbox = Outbox::new();
    for (owner, mut flows) in by_owner {
        let Some(address) = view.agent_address(owner) else {
            continue;
        };
        flows.sort_unstable();
        push_batches(state, address, &flows, AgentMessageBody::Held, &mut outbox);
    }
    outbox
}

/// Returns a message with `body` for the owner of the flow's bucket, unless the caller echoes tags
/// or this agent is the owner.
pub(super) fn message_to_owner<T>(
    state: &AgentState<T>,
    flow: FlowId,
    echoes: bool,
    body: AgentMessageBody,
) -> Outbox {
    let view = state.view().filter(|_| !echoes);
    let owner = view.and_then(|view| remote_owner(state, &view, flow));
    owner.map_or_else(Outbox::new, |owner| message_to_sibling(state, owner, body))
}

fn remote_owner<T>(
    state: &AgentState<T>,
    view: &ServiceView,
    flow: FlowId,
) -> Option<UpstreamNumber> {
    let owner = view.route.table.owner(flow)?;
    (owner != state.config.number).then_some(owner)
}
