//! Search for the service at which an open flow is.
//!
//! A flow stays at the service that its route named when it opened. A balancer that doesn't have
//! the flow in its cache asks the owner in one service after another: first in those that the route
//! names, then in those that it named before. A balancer that may not know all of the latter, since
//! it or its sources started after a change, asks the remaining services too if they are few. The
//! flow is reset only when no service is left that could hold it, and the lists on which that rests
//! were confirmed after the search began: an earlier list may lack the upstream that holds the flow.

use std::net::SocketAddr;
use std::time::Duration;

use plantainquay_schema::{FlowId, Route, ServiceId, StoreRevision};
use smallvec::SmallVec;

use crate::Timestamp;
use crate::relay::{RelayView, ServiceCandidates, is_confirmed_since};

/// Maximum number of services that are asked for one packet; the search continues with the caller's
/// next packet.
const MAX_SERVICES_PER_PACKET: usize = 4;
/// Maximum number of services that are asked although the route isn't known to have named them.
const MAX_UNNAMED_SERVICES: usize = 16;
/// Time for which further packets of a flow that no upstream holds are answered without a search.
const RESULT_TTL: Duration = Duration::from_secs(1);
/// Time after which an agent that hasn't answered is passed over: well below the caller's shortest
/// retransmission timeout.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which the denial of a service is valid; the store may list an upstream again that the
/// service's agents didn't know.
const DENIAL_TTL: Duration = Duration::from_secs(1);
/// Time after which a search that hasn't found the flow starts over.
const SEARCH_TTL: Duration = Duration::from_secs(5);
/// Minimum interval at which a search checks whether the view was confirmed: at each tick.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Age of the view above which routes may exist that it doesn't have.
pub(super) const MAX_VIEW_AGE: Duration = Duration::from_secs(4);

/// Services that were asked about a flow.
#[derive(Debug)]
pub(super) struct ServiceSearch {
    /// Time of the first packet; the upstream that holds the flow was listed before.
    started_at: Timestamp,
    /// Services all of whose upstreams have denied the flow.
    denials: SmallVec<[Denial; 2]>,
    /// Services asked since the caller's last packet.
    asked: usize,
    /// The agent that was asked last, until it answers.
    unanswered: Option<(Timestamp, SocketAddr)>,
    /// Agents that didn't answer in time.
    silent: SmallVec<[SocketAddr; 2]>,
    /// True if the search continues with the caller's next packet.
    awaits_packet: bool,
    /// Time of the next check whether the view was confirmed, if the search waits for that.
    next_check_at: Option<Timestamp>,
    /// Time at which the search ended because no upstream holds the flow.
    ended_at: Option<Timestamp>,
}

/// Denial of a flow by all upstreams of a service.
#[derive(Clone, Copy, Debug)]
struct Denial {
    service: ServiceId,
    received_at: Timestamp,
    /// Highest store revision of these upstreams; a later one may hold the flow.
    upstreams_revision: StoreRevision,
    /// See [`LostFlow::is_complete`].
    is_complete: bool,
}

/// Next step of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SearchStep {
    /// Send the packet to the flow's owner in a service.
    Ask(ServiceId, SocketAddr),
    /// Wait for the caller's next packet.
    AwaitPacket,
    /// Wait until the view is confirmed: it may lack the upstream that holds the flow.
    AwaitConfirmation,
    /// Wait for the caller's next packet, since the flow may be at a service that this process
    /// doesn't know or ask, or at an upstream that an agent doesn't know.
    Undetermined,
    /// Reset the flow: no upstream holds it.
    NotHeld,
}

/// What a search depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct SearchInput<'a> {
    pub(super) now: Timestamp,
    pub(super) view: &'a RelayView,
    /// Time since the view was last confirmed; `None` if it never was.
    pub(super) view_age: Option<Duration>,
    pub(super) route: &'a Route,
    pub(super) flow: FlowId,
    /// Service at which the flow was last.
    pub(super) last_service: Option<ServiceId>,
}

impl ServiceSearch {
    /// Creates a search for a flow whose first packet arrived at `started_at`.
    pub(super) fn new(started_at: Timestamp) -> Self {
        Self {
            started_at,
            denials: SmallVec::new(),
            asked: 0,
            unanswered: None,
            silent: SmallVec::new(),
            awaits_packet: false,
            next_check_at: None,
            ended_at: None,
        }
    }

    /// Records a packet of the caller, for which services may be asked.
    pub(super) fn on_packet(&mut self, now: Timestamp) {
        self.asked = 0;
        self.awaits_packet = false;
        if self.is_unanswered(now)
            && let Some((_, agent)) = self.unanswered.take()
        {
            self.silent.push(agent);
        }
    }

    /// Records that an agent has answered, whether or not its answer counts.
    pub(super) fn on_answer(&mut self) {
        self.unanswered = None;
    }

    fn is_unanswered(&self, now: Timestamp) -> bool {
        let asked_at = self.unanswered.map(|(asked_at, _)| asked_at);
        asked_at.is_some_and(|asked_at| now.since(asked_at) >= ANSWER_TIMEOUT)
    }

    /// Records that no known upstream of a service holds the flow.
    pub(super) fn on_denied(
        &mut self,
        now: Timestamp,
        service: ServiceId,
        upstreams_revision: StoreRevision,
        is_complete: bool,
    ) {
        self.denials.retain(|denial| denial.service != service);
        self.denials.push(Denial {
            service,
            received_at: now,
            upstreams_revision,
            is_complete,
        });
    }

    /// Returns the time of the next check whether the view was confirmed, unless one is scheduled.
    pub(super) fn schedule_check(&mut self, now: Timestamp) -> Option<Timestamp> {
        if self.next_check_at.is_some_and(|at| at > now) {
            return None;
        }
        let next = now + CONFIRMATION_CHECK_INTERVAL;
        self.next_check_at = Some(next);
        Some(next)
    }

    /// Returns true if the search waits for the confirmation of the view and checks for it now.
    pub(super) fn is_check_due(&self, now: Timestamp) -> bool {
        self.next_check_at.is_some_and(|at| at <= now) && !self.is_over(now)
    }

    /// Returns true if the search continues with the caller's next packet.
    pub(super) fn awaits_packet(&self, now: Timestamp) -> bool {
        self.awaits_packet || self.is_unanswered(now)
    }

    /// Number of services that have denied the flow.
    pub(super) fn denial_count(&self) -> u64 {
        self.denials.len() as u64
    }

    /// Returns true if the search has ended because no upstream holds the flow.
    pub(super) fn has_ended(&self) -> bool {
        self.ended_at.is_some()
    }

    /// Returns true if the search has ended so recently that no upstream holds the flow now.
    pub(super) fn has_ended_recently(&self, now: Timestamp) -> bool {
        self.ended_at
            .is_some_and(|ended_at| now.since(ended_at) < RESULT_TTL)
    }

    /// Returns true if the next packet starts a new search.
    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        self.has_ended() || now.since(self.started_at) >= SEARCH_TTL
    }

    /// Determines the next step and records it.
    pub(super) fn next_step(&mut self, input: &SearchInput<'_>) -> SearchStep {
        self.denials.retain(|denial| denial.is_valid(input));
        self.next_check_at = self.next_check_at.filter(|at| *at > input.now);
        let step = self.choose_step(input);
        match step {
            SearchStep::Ask(_, agent) => {
                self.asked += 1;
                self.unanswered = Some((input.now, agent));
            }
            SearchStep::AwaitPacket | SearchStep::AwaitConfirmation | SearchStep::Undetermined => {
                self.awaits_packet = true;
            }
            SearchStep::NotHeld => self.ended_at = Some(input.now),
        }
        step
    }

    fn choose_step(&self, input: &SearchInput<'_>) -> SearchStep {
        let known = input
            .view
            .services_of_open_flow(input.now, input.route, input.flow);
        let known = input.last_service.into_iter().chain(known);
        if let Some(step) = self.ask_first(input, known) {
            return step;
        }
        // The route as it was at the first packet is known, and so are the former services.
        let is_confirmed = is_confirmed_since(self.started_at, input.now, input.view_age);
        let knows_services = input.view.service_history().is_complete(input.now) && is_confirmed;
        if !knows_services {
            let is_unasked = |service: &ServiceId| !self.is_denied_by(*service);
            let mut unnamed: SmallVec<[ServiceId; 4]> =
                input.view.service_ids().filter(is_unasked).collect();
            if unnamed.len() + self.denials.len() > MAX_UNNAMED_SERVICES {
                return SearchStep::Undetermined;
            }
            unnamed.sort_unstable();
            if let Some(step) = self.ask_first(input, unnamed.into_iter()) {
                return step;
            }
        }
        // The services that an agent with a later list knows may hold the flow.
        let is_behind = self
            .denials
            .iter()
            .any(|denial| denial.is_ahead_of(input.view));
        if !input.view.is_complete() || is_behind {
            SearchStep::Undetermined
        } else if !is_confirmed {
            SearchStep::AwaitConfirmation
        } else if self.denials.iter().all(|denial| denial.is_complete) {
            SearchStep::NotHeld
        } else {
            // The agent that denied the flow reports again once its own list is confirmed.
            SearchStep::Undetermined
        }
    }

    /// Returns true if no known upstream of a service holds the flow.
    pub(super) fn is_denied_by(&self, service: ServiceId) -> bool {
        self.denials.iter().any(|denial| denial.service == service)
    }

    /// Asks the first service that has upstreams and hasn't denied the flow, after those with
    /// fewer silent agents; `None` without one.
    fn ask_first(
        &self,
        input: &SearchInput<'_>,
        services: impl Iterator<Item = ServiceId>,
    ) -> Option<SearchStep> {
        let is_silent = |agent| self.silent.contains(&agent);
        let unasked = services.filter(|service| !self.is_denied_by(*service));
        let with_owner = unasked.filter_map(|service| {
            let candidates = input.view.service(service)?;
            let owner = candidates.owner_except(input.flow, is_silent)?;
            let silent = candidates.all().filter(|c| is_silent(c.agent)).count();
            Some((silent, service, owner.agent))
        });
        let (_, service, owner) = with_owner.min_by_key(|(silent, ..)| *silent)?;
        if self.asked >= MAX_SERVICES_PER_PACKET {
            return Some(SearchStep::AwaitPacket);
        }
        Some(SearchStep::Ask(service, owner))
    }
}

impl Denial {
    /// Returns true if the agent knows a later revision of the store than the view reflects.
    fn is_ahead_of(&self, view: &RelayView) -> bool {
        let known = view.service(self.service).map(ServiceCandidates::revision);
        self.upstreams_revision > view.revision().max(known.unwrap_or_default())
    }

    fn is_valid(&self, input: &SearchInput<'_>) -> bool {
        let is_recent = input.now.since(self.received_at) < DENIAL_TTL;
        let candidates = input.view.service(self.service);
        is_recent && candidates.is_none_or(|c| c.revision() <= self.upstreams_revision)
    }
}
