//! Immutable snapshots of routes and upstreams for lookups on the packet path.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use plantainquay_schema::{
    FiveTuple, FlowId, Generation, Name, Route, ServiceId, StoreRevision, UpstreamEntry,
    WeightedService,
};
use smallvec::SmallVec;

use super::{Action, Decision, DecisionRecord};
use crate::rendezvous::{splitmix64, weighted_score};
use crate::{Fleet, Presence, ServiceHistory, Timestamp, UpstreamRecord};

/// Makes the hash that selects a service independent of the hash that selects an upstream.
const SERVICE_SEED: u64 = 0x5e_ed0f_5e21_71ce;

/// Routes and upstreams; immutable once built.
#[derive(Clone, Debug, Default)]
pub struct RelayView {
    generation: Generation,
    revision: StoreRevision,
    is_confirmed: bool,
    routes: Arc<HashMap<SocketAddr, Route>>,
    service_history: Arc<ServiceHistory>,
    /// Unchanged services are shared with the previous view.
    services: HashMap<ServiceId, Arc<ServiceCandidates>>,
    /// [`Fleet::service_change_count`] when the view was built.
    service_change_count: u64,
}

/// Upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceCandidates {
    candidates: Vec<Candidate>,
    by_agent: HashMap<SocketAddr, usize>,
    revision: StoreRevision,
}

/// An upstream of a service, identified by its agent.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The agent.
    pub agent: SocketAddr,
    /// Data centre of the agent and its upstream.
    pub data_centre: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// End of the upstream's warm-up.
    pub warm_at: Timestamp,
    /// The flows that the upstream may receive.
    pub state: CandidateState,
    hash: u64,
}

/// The flows that an upstream may receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CandidateState {
    /// New flows and open ones.
    Ready,
    /// Open flows only.
    Draining,
    /// Removed from the store, but may still hold open flows.
    Former,
}

impl RelayView {
    /// Builds a view of the current state of the fleet.
    ///
    /// Unchanged parts are shared with `previous`, an earlier view of the same fleet.
    #[must_use]
    pub fn build(fleet: &Fleet, now: Timestamp, peer_port: u16, previous: &Self) -> Self {
        let document = fleet.routes();
        let routes = if document.generation == previous.generation {
            Arc::clone(&previous.routes)
        } else {
            let routes = document.routes.iter();
            Arc::new(routes.map(|r| (r.listener.into(), r.clone())).collect())
        };
        let mut services = previous.services.clone();
        for name in fleet.services_changed_since(previous.service_change_count) {
            let mut service_candidates = ServiceCandidates::default();
            for (record, presence) in fleet.service_upstreams(now, name) {
                service_candidates.add(Candidate::new(record, peer_port, presence));
                service_candidates.revision =
                    service_candidates.revision.max(record.entry.revision);
            }
            let id = ServiceId::of(name.as_str());
            if service_candidates.candidates.is_empty() {
                services.remove(&id);
            } else {
                services.insert(id, Arc::new(service_candidates));
            }
        }
        Self {
            generation: document.generation,
            revision: fleet.revision(),
            is_confirmed: fleet.age(now).is_some(),
            routes,
            service_history: Arc::clone(fleet.service_history()),
            services,
            service_change_count: fleet.service_change_count(),
        }
    }

    /// Returns the generation of the routes, or zero if there are none.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the store revision that the upstreams reflect.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns true if the upstreams were ever known to be complete; otherwise some may be missing.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Returns true if there are routes and the upstreams were ever known to be complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_confirmed && self.generation.0 > 0
    }

    /// Creates a record of a decision that was based on this view.
    pub(super) fn record_decision(
        &self,
        tuple: FiveTuple,
        decision: Decision,
        agent: Option<SocketAddr>,
        number: Option<u64>,
    ) -> Action {
        Action::RecordDecision(DecisionRecord {
            tuple,
            decision,
            agent,
            number,
            generation: self.generation,
            revision: self.revision,
        })
    }

    /// Returns the route of an address and port; there is no default route.
    #[must_use]
    pub fn route(&self, listener: SocketAddr) -> Option<&Route> {
        self.routes.get(&listener)
    }

    /// Returns the upstreams of a service.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&ServiceCandidates> {
        self.services.get(&id).map(Arc::as_ref)
    }

    /// Selects the service for a new flow of the route; every process selects the same one.
    #[must_use]
    pub fn choose_service(route: &Route, flow: FlowId) -> Option<&WeightedService> {
        let eligible = route.services.iter().filter(|s| s.weight > 0);
        eligible.min_by_key(|s| service_score(s, flow))
    }

    /// Returns the services at which an open flow of the route may be: those that the route names,
    /// the one for new flows first, then those that it named before, the most recent one first.
    #[must_use]
    pub fn services_of_open_flow(
        &self,
        now: Timestamp,
        route: &Route,
        flow: FlowId,
    ) -> SmallVec<[ServiceId; 4]> {
        let mut named: SmallVec<[&WeightedService; 4]> = route.services.iter().collect();
        named.sort_by_key(|s| (s.weight == 0, service_score(s, flow)));
        let former = self.service_history.former(now, route.listener.into());
        named.iter().map(|s| s.id).chain(former).collect()
    }

    /// Returns what is known of the services that routes named before.
    #[must_use]
    pub fn service_history(&self) -> &ServiceHistory {
        &self.service_history
    }

    /// Returns every service that has upstreams.
    pub fn service_ids(&self) -> impl Iterator<Item = ServiceId> {
        self.services.keys().copied()
    }
}

/// Returns true if a view of this age matched the store at `time` or later.
pub(super) fn is_confirmed_since(
    time: Timestamp,
    now: Timestamp,
    view_age: Option<Duration>,
) -> bool {
    view_age.is_some_and(|age| age <= now.since(time))
}

fn service_score(service: &WeightedService, flow: FlowId) -> u64 {
    let hash = splitmix64(flow.0 ^ splitmix64(service.id.0 ^ SERVICE_SEED));
    weighted_score(hash, service.weight)
}

impl ServiceCandidates {
    /// Returns the highest store revision of the upstreams; two processes that know the same
    /// upstreams have the same one.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the owner of the flow: the agent that receives its packets from balancers
    /// without a cache entry for it; every process computes the same one.
    #[must_use]
    pub fn owner(&self, flow: FlowId) -> Option<&Candidate> {
        let listed = self.listed();
        listed
            .min_by_key(|c| c.score(flow))
            .or_else(|| self.candidates.first())
    }

    /// Returns the owner of the flow among the agents for which `is_excluded` returns false, or the
    /// owner among all if there is none.
    pub fn owner_except(
        &self,
        flow: FlowId,
        is_excluded: impl Fn(SocketAddr) -> bool,
    ) -> Option<&Candidate> {
        let usable = self.listed().filter(|c| !is_excluded(c.agent));
        usable
            .min_by_key(|c| c.score(flow))
            .or_else(|| self.owner(flow))
    }

    /// Returns the first ready upstream in the flow's ranking that `is_usable` accepts.
    pub fn first_choice(
        &self,
        flow: FlowId,
        is_usable: impl Fn(&Candidate) -> bool,
    ) -> Option<&Candidate> {
        let usable = self.ready().filter(|c| is_usable(c));
        usable.min_by_key(|c| c.score(flow))
    }

    /// Returns all upstreams, ranked for the flow.
    #[must_use]
    pub fn ranked(&self, flow: FlowId) -> Vec<&Candidate> {
        let mut ranked: Vec<&Candidate> = self.candidates.iter().collect();
        ranked.sort_by_key(|candidate| candidate.score(flow));
        ranked
    }

    /// Returns the upstreams that accept new flows.
    pub fn ready(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates
            .iter()
            .filter(|c| c.state == CandidateState::Ready)
    }

    /// Returns the upstreams that the store lists.
    pub fn listed(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates
            .iter()
            .filter(|c| c.state != CandidateState::Former)
    }

    /// Returns all upstreams that may hold a flow.
    pub fn all(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.iter()
    }

    /// Returns the upstream of an agent.
    #[must_use]
    pub fn find(&self, agent: SocketAddr) -> Option<&Candidate> {
        self.candidates.get(*self.by_agent.get(&agent)?)
    }

    /// Selects a random ready upstream for whose agent `is_excluded` returns false.
    pub fn random_ready(
        &self,
        seed: u64,
        is_excluded: impl Fn(SocketAddr) -> bool,
    ) -> Option<&Candidate> {
        let eligible: SmallVec<[&Candidate; 16]> =
            self.ready().filter(|c| !is_excluded(c.agent)).collect();
        let index = usize::try_from(splitmix64(seed) >> 32).unwrap_or(0);
        let index = index.checked_rem(eligible.len())?;
        eligible.get(index).copied()
    }

    /// Adds the only candidate with its agent.
    fn add(&mut self, candidate: Candidate) {
        let previous = self.by_agent.insert(candidate.agent, self.candidates.len());
        debug_assert!(previous.is_none(), "two upstreams with one agent");
        self.candidates.push(candidate);
    }
}

impl Candidate {
    fn new(record: &UpstreamRecord, peer_port: u16, presence: Presence) -> Self {
        let entry: &UpstreamEntry = &record.entry;
        let state = match (presence, entry.draining) {
            (Presence::Former, _) => CandidateState::Former,
            (_, true) => CandidateState::Draining,
            (_, false) => CandidateState::Ready,
        };
        Self {
            agent: SocketAddr::new(IpAddr::V4(entry.ip), peer_port),
            data_centre: entry.data_centre.clone(),
            slots: entry.slots,
            warm_at: record.warm_at,
            state,
            hash: splitmix64(u64::from(entry.ip.to_bits())),
        }
    }

    fn score(&self, flow: FlowId) -> u64 {
        weighted_score(splitmix64(flow.0 ^ self.hash), self.slots)
    }
}
