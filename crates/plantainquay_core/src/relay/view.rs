//! Routes and upstreams as the packet path looks them up.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use plantainquay_schema::{
    FiveTuple, FlowId, Generation, Name, Route, ServiceId, UpstreamEntry, WeightedService,
};
use smallvec::SmallVec;

use super::{Action, Decision, Note};
use crate::rendezvous::{splitmix64, weighted_score};
use crate::{Fleet, Known, Standing, Timestamp};

/// Separates the choice of a service from the choice of an upstream.
const SERVICE_SEED: u64 = 0x5e_ed0f_5e21_71ce;

/// Routes and upstreams; immutable once built.
#[derive(Clone, Debug, Default)]
pub struct RelayView {
    generation: Generation,
    revision: u64,
    is_confirmed: bool,
    routes: Arc<HashMap<SocketAddr, Route>>,
    /// Shared with the view before where nothing has changed.
    services: HashMap<ServiceId, Arc<ServiceCandidates>>,
    /// [`Fleet::membership`] when the view was built.
    membership: u64,
}

/// Upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceCandidates {
    candidates: Vec<Candidate>,
    by_agent: HashMap<SocketAddr, usize>,
}

/// One upstream, named by the agent beside it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The agent.
    pub agent: SocketAddr,
    /// Data centre of both.
    pub data_centre: Name,
    /// Requests that the upstream processes at the same time.
    pub slots: u32,
    /// Moment until which it is slow after its start.
    pub warm_at: Timestamp,
    /// What it may be used for.
    pub state: CandidateState,
    hash: u64,
}

/// What an upstream may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CandidateState {
    /// New flows and open ones.
    Ready,
    /// Open flows, and new ones where nobody else takes them.
    Draining,
    /// Gone from the store; it may still hold open flows.
    Former,
}

impl RelayView {
    /// The view of what a process knows now.
    ///
    /// `previous`, the view before of the same fleet, lends what has not changed.
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
        for name in fleet.services_changed_since(previous.membership) {
            let mut service = ServiceCandidates::default();
            for (known, standing) in fleet.members(now, name) {
                service.add(Candidate::new(known, peer_port, standing));
            }
            let id = ServiceId::of(name.as_str());
            if service.candidates.is_empty() {
                services.remove(&id);
            } else {
                services.insert(id, Arc::new(service));
            }
        }
        Self {
            generation: document.generation,
            revision: fleet.revision(),
            is_confirmed: fleet.age(now).is_some(),
            routes,
            services,
            membership: fleet.membership(),
        }
    }

    /// Generation of the routes; zero before there are any.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Revision of the store up to which the upstreams are known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the view was ever known to be complete; it may lack upstreams before.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Whether there are routes, and routes and upstreams were known to be complete.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.is_confirmed && self.generation.0 > 0
    }

    /// A note of a decision that this view has led to.
    pub(super) fn note(
        &self,
        tuple: FiveTuple,
        decision: Decision,
        agent: Option<SocketAddr>,
        number: Option<u64>,
    ) -> Action {
        Action::Note(Note {
            tuple,
            decision,
            agent,
            number,
            generation: self.generation,
            revision: self.revision,
        })
    }

    /// The route of an address and port; there is no default.
    #[must_use]
    pub fn route(&self, listener: SocketAddr) -> Option<&Route> {
        self.routes.get(&listener)
    }

    /// Upstreams of a service.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&ServiceCandidates> {
        self.services.get(&id).map(Arc::as_ref)
    }

    /// The service that a new flow of the route goes to, the same in every process.
    #[must_use]
    pub fn choose_service(route: &Route, flow: FlowId) -> Option<&WeightedService> {
        let weighed = route.services.iter().filter(|s| s.weight > 0);
        weighed.min_by_key(|s| {
            weighted_score(
                splitmix64(flow.0 ^ splitmix64(s.id.0 ^ SERVICE_SEED)),
                s.weight,
            )
        })
    }
}

impl ServiceCandidates {
    /// The agent that every process asks first for a flow that it doesn't know.
    #[must_use]
    pub fn owner(&self, flow: FlowId) -> Option<&Candidate> {
        let listed = self.listed();
        listed
            .min_by_key(|c| c.score(flow))
            .or_else(|| self.candidates.first())
    }

    /// The ready upstream that the flow ranks first among those that are `usable`.
    pub fn entry(&self, flow: FlowId, usable: impl Fn(&Candidate) -> bool) -> Option<&Candidate> {
        let usable = self.ready().filter(|c| usable(c));
        usable.min_by_key(|c| c.score(flow))
    }

    /// Every upstream in the order in which the flow prefers them.
    #[must_use]
    pub fn ranked(&self, flow: FlowId) -> Vec<&Candidate> {
        let mut ranked: Vec<&Candidate> = self.candidates.iter().collect();
        ranked.sort_by_key(|candidate| candidate.score(flow));
        ranked
    }

    /// Upstreams that take new flows.
    pub fn ready(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates
            .iter()
            .filter(|c| c.state == CandidateState::Ready)
    }

    /// Upstreams that the store names.
    pub fn listed(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates
            .iter()
            .filter(|c| c.state != CandidateState::Former)
    }

    /// Every upstream that may hold a flow.
    pub fn all(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.iter()
    }

    /// The upstream beside an agent.
    #[must_use]
    pub fn find(&self, agent: SocketAddr) -> Option<&Candidate> {
        self.candidates.get(*self.by_agent.get(&agent)?)
    }

    /// A random ready upstream whose agent is not `excluded`.
    pub fn random_ready(
        &self,
        seed: u64,
        excluded: impl Fn(SocketAddr) -> bool,
    ) -> Option<&Candidate> {
        let eligible: SmallVec<[&Candidate; 16]> =
            self.ready().filter(|c| !excluded(c.agent)).collect();
        let index = usize::try_from(splitmix64(seed) >> 32).unwrap_or(0);
        let index = index.checked_rem(eligible.len())?;
        eligible.get(index).copied()
    }

    /// Adds a candidate; of two with the same address, the one that is of more use stays.
    fn add(&mut self, candidate: Candidate) {
        match self.by_agent.entry(candidate.agent) {
            Entry::Occupied(index) => {
                let same = &mut self.candidates[*index.get()];
                if candidate.state < same.state {
                    *same = candidate;
                }
            }
            Entry::Vacant(index) => {
                index.insert(self.candidates.len());
                self.candidates.push(candidate);
            }
        }
    }
}

impl Candidate {
    fn new(known: &Known, peer_port: u16, standing: Standing) -> Self {
        let entry: &UpstreamEntry = &known.entry;
        let state = match (standing, entry.draining) {
            (Standing::Former, _) => CandidateState::Former,
            (_, true) => CandidateState::Draining,
            (_, false) => CandidateState::Ready,
        };
        Self {
            agent: SocketAddr::new(IpAddr::V4(entry.ip), peer_port),
            data_centre: entry.data_centre.clone(),
            slots: entry.slots,
            warm_at: known.warm_at,
            state,
            hash: splitmix64(u64::from(entry.ip.to_bits())),
        }
    }

    fn score(&self, flow: FlowId) -> u64 {
        weighted_score(splitmix64(flow.0 ^ self.hash), self.slots)
    }
}
