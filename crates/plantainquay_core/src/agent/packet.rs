//! Packet decisions of an agent.

use plantainquay_schema::{FlowId, Load, TunnelHeader, UpstreamNumber, UpstreamState};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    AgentState, DropReason, Opening, Placement, ResetReason, ServiceView, Shard, Verdict, place,
};
use crate::limits::LimitReached;
use crate::{Segment, Timestamp};

/// Number of tried agents at which an opening packet isn't forwarded to a further sibling; other
/// packets stop one agent earlier. Redirects are followed regardless.
const MAX_TRIED_PER_PACKET: usize = 5;

/// Numbers of an agent's siblings.
type SiblingNumbers = SmallVec<[UpstreamNumber; 16]>;

/// Decides on a packet; `shard` is the locked shard of the packet's flow.
pub fn on_packet<T>(
    state: &AgentState<T>,
    shard: &mut Shard<T>,
    now: Timestamp,
    header: &TunnelHeader,
    segment: &Segment,
) -> Verdict {
    if header.service != state.config.service {
        return Verdict::Drop(DropReason::WrongService);
    }
    let Some(view) = state.view() else {
        return Verdict::Drop(DropReason::NoDocument);
    };
    if let (Some(from), Some(load)) = (header.from, header.load) {
        state.sibling_loads.lock().record(now, from, load);
    }
    let cx = Context {
        state,
        view: &view,
        now,
        header,
        flow: segment.tuple.flow_id(),
    };
    if shard.get_exact(cx.flow, &segment.tuple).is_some() {
        return Verdict::Deliver;
    }
    if let Some(verdict) = follow_redirect(&cx, shard, segment) {
        return verdict;
    }
    if segment.opening {
        on_opening(&cx, shard, segment)
    } else {
        on_unknown_flow(&cx, shard, segment)
    }
}

struct Context<'a, T> {
    state: &'a AgentState<T>,
    view: &'a ServiceView,
    now: Timestamp,
    header: &'a TunnelHeader,
    flow: FlowId,
}

/// Forwards the packet to the sibling that the flow's redirect points to.
fn follow_redirect<T>(
    cx: &Context<'_, T>,
    shard: &mut Shard<T>,
    segment: &Segment,
) -> Option<Verdict> {
    let holder = shard.redirect(cx.now, cx.flow)?;
    let is_unusable = cx.view.agent_address(holder).is_none() || cx.header.tried.contains(&holder);
    // An opening packet with a redirect is a retransmission that the sibling hasn't answered;
    // without a fresh load report, the sibling is presumed down.
    let lacks_fresh_load = segment.opening
        && cx
            .state
            .sibling_loads
            .lock()
            .fresh(cx.now, holder)
            .is_none();
    if is_unusable || lacks_fresh_load {
        shard.clear_redirect(cx.flow, holder);
        return None;
    }
    forward(cx, holder, cx.header.placed)
}

fn on_opening<T>(cx: &Context<'_, T>, shard: &mut Shard<T>, segment: &Segment) -> Verdict {
    if cx.view.mode(segment.tuple.destination).is_none() {
        return Verdict::Drop(DropReason::UnknownAddress);
    }
    let own_load = cx.state.load(cx.now);
    let member = cx.view.member_of(segment.tuple.source.ip());
    let has_room = cx.state.limits().can_open_flow(&member);
    // If the member's share is used up here, a sibling may still have room.
    if let Some(sibling) = chosen_sibling(cx, own_load, has_room) {
        let verdict = forward(cx, sibling, true);
        if let Some(verdict) = verdict {
            shard.set_redirect(cx.now, cx.flow, sibling);
            cx.state.sibling_loads.lock().add_flow(sibling);
            return verdict;
        }
    }
    if !own_load.accepting {
        return Verdict::Reset(ResetReason::NoCapacity);
    }
    if !shard.can_open() {
        return Verdict::Drop(DropReason::HalfOpenFull);
    }
    match cx.state.limits().open_flow(&member) {
        Ok(()) => Verdict::Open(Opening::new(segment, member.clone())),
        Err(LimitReached) => Verdict::Reset(ResetReason::LimitReached),
    }
}

/// Returns the sibling to forward a new flow to, if any.
fn chosen_sibling<T>(
    cx: &Context<'_, T>,
    own_load: Load,
    has_room: bool,
) -> Option<UpstreamNumber> {
    if cx.header.tried.len() >= MAX_TRIED_PER_PACKET {
        return None;
    }
    if !own_load.accepting || !has_room {
        return available_sibling(cx);
    }
    if cx.header.placed {
        return None;
    }
    let (number, load) = random_sibling_with_load(cx)?;
    (place(own_load, Some(load)) == Placement::Sibling).then_some(number)
}

/// Returns a random sibling with a fresh load report, preferring recent reports.
fn random_sibling_with_load<T>(cx: &Context<'_, T>) -> Option<(UpstreamNumber, Load)> {
    let loads = cx.state.sibling_loads.lock();
    let numbers = serving_siblings(cx);
    let start = random_start(cx, numbers.len())?;
    let with_number = |number, load: Option<Load>| load.map(|load| (number, load));
    let recent = |number| with_number(number, loads.recent(cx.now, number));
    let fresh = |number| with_number(number, loads.fresh(cx.now, number));
    let chosen = rotated(&numbers, start).find_map(recent);
    chosen.or_else(|| rotated(&numbers, start).find_map(fresh))
}

/// Returns a random sibling that accepts new flows, or else one without a fresh report.
fn available_sibling<T>(cx: &Context<'_, T>) -> Option<UpstreamNumber> {
    let loads = cx.state.sibling_loads.lock();
    let numbers = serving_siblings(cx);
    let start = random_start(cx, numbers.len())?;
    let accepts = |number: &UpstreamNumber| {
        loads
            .fresh(cx.now, *number)
            .is_some_and(|load| load.accepting)
    };
    let accepting = rotated(&numbers, start).find(accepts);
    let unreported = |number: &UpstreamNumber| loads.fresh(cx.now, *number).is_none();
    accepting.or_else(|| rotated(&numbers, start).find(unreported))
}

fn serving_siblings<T>(cx: &Context<'_, T>) -> SiblingNumbers {
    let upstreams = cx.view.service().upstreams.iter();
    let serving = upstreams.filter(|u| u.state == UpstreamState::Serving);
    let numbers = serving.map(|u| u.number);
    let own_number = cx.state.config.number;
    numbers
        .filter(|n| *n != own_number && !cx.header.tried.contains(n))
        .collect()
}

/// Returns the start index of a search among `count` siblings; retransmitted packets get the same
/// index.
fn random_start<T>(cx: &Context<'_, T>, count: usize) -> Option<usize> {
    let seed = cx.state.config.incarnation.0;
    let hash = xxh3_64_with_seed(&cx.flow.0.to_le_bytes(), seed);
    usize::try_from(hash >> 32).ok()?.checked_rem(count)
}

fn rotated(numbers: &[UpstreamNumber], start: usize) -> impl Iterator<Item = UpstreamNumber> {
    let (before, after) = numbers.split_at(start);
    after.iter().chain(before).copied()
}

/// Forwards a packet of a flow that this agent doesn't hold to the next agent in the bucket's
/// ranking.
///
/// Only the owner of the bucket resets an unresolved flow, since only the owner queries each
/// sibling. A caller's reset is forwarded in the same way, so that it reaches the flow and ends it,
/// but is never answered.
fn on_unknown_flow<T>(cx: &Context<'_, T>, shard: &mut Shard<T>, segment: &Segment) -> Verdict {
    let own_number = cx.state.config.number;
    if segment.tag == Some(own_number) && !segment.reset {
        return Verdict::Reset(ResetReason::LostFlow);
    }
    let ranking = cx.view.route.table.ranking(cx.view.service(), cx.flow);
    let owner = cx
        .view
        .route
        .table
        .owner(cx.flow)
        .or(ranking.first().copied());
    if owner == Some(own_number) && !segment.reset {
        shard.unresolved_mut().record_packet(cx.now, cx.flow);
        let lost = shard
            .unresolved_mut()
            .is_lost(cx.now, cx.flow, cx.view.service(), own_number);
        if lost && !cx.state.is_behind() {
            shard.unresolved_mut().remove(cx.flow);
            return Verdict::Reset(ResetReason::UnknownFlow);
        }
    }
    // The owner is tried first, since draining upstreams may precede it in the ranking.
    let mut candidates = owner.into_iter().chain(ranking);
    let next = candidates.find(|n| *n != own_number && !cx.header.tried.contains(n));
    let next = next.filter(|_| cx.header.tried.len() + 1 < MAX_TRIED_PER_PACKET);
    let forwarded = next.and_then(|next| forward(cx, next, false));
    forwarded.unwrap_or(Verdict::Drop(if segment.reset {
        DropReason::StrayReset
    } else {
        DropReason::UnknownFlow
    }))
}

fn forward<T>(cx: &Context<'_, T>, upstream: UpstreamNumber, placed: bool) -> Option<Verdict> {
    let to = cx.view.agent_address(upstream)?;
    let mut header = cx.state.forwarding_header(cx.now, cx.header);
    header.placed = placed;
    Some(Verdict::Forward {
        to,
        upstream,
        header,
    })
}
