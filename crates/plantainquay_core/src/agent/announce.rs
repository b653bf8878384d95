//! What agents of one service tell each other.

use std::collections::BTreeMap;
use std::time::Duration;

use plantainquay_schema::{AgentMessage, AgentMessageBody, FlowId, UpstreamNumber, UpstreamState};
use smallvec::smallvec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{AgentState, Outbox, ServiceView};
use crate::Timestamp;

/// Siblings that are asked for their load at each tick.
const QUERIES_PER_TICK: u64 = 3;
/// Interval after which held flows are announced again.
const REFRESH: Duration = Duration::from_secs(20);
/// Flows in one announcement; keeps the datagram below common MTUs.
const FLOWS_PER_MESSAGE: usize = 128;

/// Does what is due; called every few hundred milliseconds.
pub fn on_tick<T>(state: &AgentState<T>, now: Timestamp, previous: Timestamp) -> Outbox {
    state.note_tick(now);
    for shard in state.shards() {
        shard.lock().expire_redirects(now);
    }
    let Some(view) = state.view() else {
        return Outbox::new();
    };
    let mut outbox = queries(state, now, &view);
    if refresh_round(now) != refresh_round(previous) {
        outbox.extend(held(state, &view));
    }
    outbox
}

/// Takes in a sibling's message; returns the answer, if there is one.
pub fn on_message<T>(state: &AgentState<T>, now: Timestamp, message: &AgentMessage) -> Outbox {
    if message.service != state.config.service || message.from == state.config.number {
        return Outbox::new();
    }
    match &message.body {
        AgentMessageBody::Query(load) => {
            state.siblings.lock().record(now, message.from, *load);
            return answer(state, now, message.from);
        }
        AgentMessageBody::Load(load) => state.siblings.lock().record(now, message.from, *load),
        AgentMessageBody::Held(flows) => {
            for flow in flows {
                remember(state, now, *flow, message.from);
            }
        }
        AgentMessageBody::Released(flows) => {
            for flow in flows {
                state.shard(*flow).clear_redirect(*flow, message.from);
            }
        }
    }
    Outbox::new()
}

fn remember<T>(state: &AgentState<T>, now: Timestamp, flow: FlowId, holder: UpstreamNumber) {
    let mut shard = state.shard(flow);
    if shard.get_mut(flow).is_none() {
        shard.set_redirect(now, flow, holder);
    }
}

fn answer<T>(state: &AgentState<T>, now: Timestamp, to: UpstreamNumber) -> Outbox {
    let agent = state.view().and_then(|view| view.agent(to));
    let body = AgentMessageBody::Load(state.load(now));
    agent
        .into_iter()
        .map(|agent| (agent, state.message(body.clone())))
        .collect()
}

fn queries<T>(state: &AgentState<T>, now: Timestamp, view: &ServiceView) -> Outbox {
    let own = state.config.number;
    let upstreams = view.service().upstreams.iter();
    let siblings: Vec<_> = upstreams.filter(|u| u.number != own).collect();
    let mut outbox = Outbox::new();
    for i in 0..QUERIES_PER_TICK.min(siblings.len() as u64) {
        let hash = xxh3_64_with_seed(&now.0.to_le_bytes(), state.config.incarnation.0);
        // Consecutive indices after a random start never name a sibling twice.
        let index = (hash >> 32).wrapping_add(i) % siblings.len() as u64;
        let sibling = siblings[usize::try_from(index).unwrap_or(0)];
        let body = AgentMessageBody::Query(state.load(now));
        outbox.push((sibling.agent, state.message(body)));
    }
    outbox
}

/// The agent's load for every sibling that takes new flows.
pub(super) fn load_to_all<T>(state: &AgentState<T>, now: Timestamp) -> Outbox {
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
pub(super) fn held<T>(state: &AgentState<T>, view: &ServiceView) -> Outbox {
    let mut by_owner: BTreeMap<UpstreamNumber, Vec<FlowId>> = BTreeMap::new();
    for shard in state.shards() {
        let shard = shard.lock();
        for (flow, _) in shard.iter().filter(|(_, held)| !held.echoes) {
            if let Some(owner) = other_owner(state, view, flow) {
                by_owner.entry(owner).or_default().push(flow);
            }
        }
    }
    let mut outbox = Outbox::new();
    for (owner, mut flows) in by_owner {
        let Some(agent) = view.agent(owner) else {
            continue;
        };
        flows.sort_unstable();
        for batch in flows.chunks(FLOWS_PER_MESSAGE) {
            let body = AgentMessageBody::Held(batch.to_vec());
            outbox.push((agent, state.message(body)));
        }
    }
    outbox
}

/// Tells the owner of the bucket that a flow has ended.
pub(super) fn released<T>(state: &AgentState<T>, flow: FlowId, echoes: bool) -> Outbox {
    let view = state.view().filter(|_| !echoes);
    let owner = view.and_then(|view| {
        let owner = other_owner(state, &view, flow)?;
        view.agent(owner)
    });
    owner.map_or_else(Outbox::new, |agent| {
        let message = state.message(AgentMessageBody::Released(vec![flow]));
        smallvec![(agent, message)]
    })
}

fn other_owner<T>(
    state: &AgentState<T>,
    view: &ServiceView,
    flow: FlowId,
) -> Option<UpstreamNumber> {
    let owner = view.route.table.owner(flow)?;
    (owner != state.config.number).then_some(owner)
}

fn refresh_round(now: Timestamp) -> u64 {
    now.0 / u64::try_from(REFRESH.as_micros()).unwrap_or(u64::MAX)
}
