//! A balancer with its fleet, whose agents the tests play.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use plantainquay_core::relay::{
    Action, Actions, RelayBalancer, RelayBalancerConfig, RelayPolicy, RelayView,
};
use plantainquay_core::{FiveTuple, Fleet, FleetVersion, Timestamp};
use plantainquay_schema::{
    Changes, Generation, LostFlow, RelayBody, RelayMessage, Route, RouteDocument, ServiceId,
    StoreRevision, UpstreamEntry, WeightedService,
};

use crate::support::{LISTENER_IP, PEER_PORT, packet, process, route, store_revision, upstream};

pub const LISTENER_PORT: u16 = 80;
/// Longest lifetime of a flow, in milliseconds.
pub const FLOW_TTL_MS: u64 = 60_000;
/// Interval of a balancer's ticks, in milliseconds.
const TICK_MS: usize = 50;
/// Maximum number of rounds of question and answer before a test gives up.
const MAX_ROUNDS: usize = 1_000;

/// A balancer with its fleet; `services[i]` is the service of upstream `i + 1`.
pub struct Site {
    pub fleet: Fleet,
    pub balancer: RelayBalancer,
    pub view: Arc<RelayView>,
    generation: u64,
    last_tick_ms: Cell<u64>,
}

impl Site {
    pub fn new(services: &[String]) -> Self {
        Self::with_fleet(Fleet::default(), services)
    }

    /// A site whose processes have run for longer than any flow.
    pub fn with_whole_history(services: &[String]) -> Self {
        Self::with_fleet(Fleet::default().without_earlier_flows(), services)
    }

    fn with_fleet(fleet: Fleet, services: &[String]) -> Self {
        let mut site = Self {
            fleet,
            balancer: RelayBalancer::new(RelayBalancerConfig {
                own_address: process(200),
                shards: 1,
                policy: RelayPolicy::default(),
            }),
            view: Arc::default(),
            generation: 0,
            last_tick_ms: Cell::new(0),
        };
        let upstreams = services
            .iter()
            .zip(1..)
            .map(|(service, number)| UpstreamEntry {
                service: service.as_str().into(),
                ..upstream(number)
            });
        site.apply(
            0,
            Changes {
                age: Some(Duration::ZERO),
                upstreams: upstreams.collect(),
                ..Changes::default()
            },
        );
        site
    }

    pub fn apply(&mut self, at_ms: u64, changes: Changes) {
        let now = Timestamp::from_millis(at_ms);
        self.fleet.apply(now, changes);
        self.view = Arc::new(RelayView::build(&self.fleet, now, PEER_PORT, &self.view));
        self.balancer.install(Arc::clone(&self.view));
    }

    /// Publishes a route with these services as the next generation; none removes the route.
    pub fn publish(&mut self, at_ms: u64, services: &[&str]) {
        self.generation += 1;
        let changes = Changes {
            age: Some(Duration::ZERO),
            routes: Some(document(self.generation, services)),
            routes_complete_after: Some(store_revision(0)),
            ..Changes::default()
        };
        self.apply(at_ms, changes);
    }

    /// Records that the store lists another upstream of a service.
    pub fn list_upstream(&mut self, at_ms: u64, number: u8, service: &str, revision: u64) {
        let entry = UpstreamEntry {
            service: service.into(),
            revision: store_revision(revision),
            ..upstream(number)
        };
        let changes = Changes {
            age: Some(Duration::ZERO),
            upstreams: vec![entry],
            ..Changes::default()
        };
        self.apply(at_ms, changes);
    }

    /// Records that the store has confirmed the state.
    pub fn confirm(&mut self, at_ms: u64) {
        let age = Some(Duration::ZERO);
        let changes = Changes {
            age,
            ..Changes::default()
        };
        self.apply(at_ms, changes);
    }

    /// Reads everything from a store that was restored from a copy with the present content.
    pub fn read_restored_store(&mut self, at_ms: u64) {
        let known = self.fleet.revision();
        let restored = |entry: UpstreamEntry| UpstreamEntry {
            revision: StoreRevision::new(known.era + 1, entry.revision.number),
            ..entry
        };
        let now = Timestamp::from_millis(at_ms);
        let everything = self.fleet.changes_since(now, FleetVersion::default());
        let changes = Changes {
            age: Some(Duration::ZERO),
            revision: StoreRevision::new(known.era + 1, known.number),
            is_full: true,
            upstreams: everything.upstreams.into_iter().map(restored).collect(),
            ..Changes::default()
        };
        self.apply(at_ms, changes);
    }

    /// Runs the balancer's ticks, by which it knows that it wasn't paused.
    fn tick_until(&self, at_ms: u64) {
        for ms in (self.last_tick_ms.get()..=at_ms).step_by(TICK_MS) {
            let now = Timestamp::from_millis(ms);
            self.balancer.on_tick(now, || self.fleet.age(now));
            self.last_tick_ms.set(ms);
        }
    }

    pub fn send(&self, at_ms: u64, caller: u16) -> Actions {
        self.tick_until(at_ms);
        let now = Timestamp::from_millis(at_ms);
        let packet = packet(tuple(caller), 10);
        let view_age = || self.fleet.age(now);
        self.balancer
            .on_packet(now, view_age, &packet, Bytes::from_static(b"data"))
    }

    /// Delivers the answer of the agent that received a packet.
    pub fn answer(
        &self,
        at_ms: u64,
        from: SocketAddr,
        service: ServiceId,
        body: RelayBody,
    ) -> Actions {
        self.tick_until(at_ms);
        let now = Timestamp::from_millis(at_ms);
        let message = RelayMessage { service, body };
        let view_age = || self.fleet.age(now);
        self.balancer.on_message(now, view_age, from, &message)
    }

    /// Sends a packet; every service that is asked denies its flow. Returns the questions and
    /// whether the flow was reset.
    pub fn send_unknown(&self, at_ms: u64, caller: u16) -> (usize, bool) {
        let mut actions = self.send(at_ms, caller);
        let mut questions = 0;
        for _ in 0..MAX_ROUNDS {
            if is_reset(&actions) {
                return (questions, true);
            }
            let Some((agent, service)) = asked(&actions) else {
                break;
            };
            questions += 1;
            let revision = StoreRevision::new(self.fleet.revision().era, 1);
            actions = self.answer(at_ms, agent, service, lost_at(caller, revision));
        }
        (questions, false)
    }
}

pub fn document(generation: u64, services: &[&str]) -> RouteDocument {
    let route = (!services.is_empty()).then(|| Route {
        services: services
            .iter()
            .map(|name| WeightedService::new(name, 1))
            .collect(),
        ..route(LISTENER_PORT, 1)
    });
    RouteDocument {
        generation: Generation(generation),
        routes: route.into_iter().collect(),
    }
}

pub fn tuple(caller: u16) -> FiveTuple {
    FiveTuple {
        source: SocketAddr::new(Ipv4Addr::new(198, 51, 100, 1).into(), caller),
        destination: SocketAddr::new(LISTENER_IP.into(), LISTENER_PORT),
    }
}

/// The agent and service to which a packet of an open flow was sent.
pub fn asked(actions: &Actions) -> Option<(SocketAddr, ServiceId)> {
    actions.iter().find_map(|action| match action {
        Action::Send(to, message) if matches!(message.body, RelayBody::Established(_)) => {
            Some((*to, message.service))
        }
        _ => None,
    })
}

pub fn is_reset(actions: &Actions) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reset { .. }))
}

/// The denial of an agent that knows the upstreams up to a revision of a store that was never
/// restored.
pub fn lost(caller: u16, upstreams_revision: u64) -> RelayBody {
    lost_at(caller, store_revision(upstreams_revision))
}

/// The denial of an agent that knows the upstreams up to a revision.
pub fn lost_at(caller: u16, upstreams_revision: StoreRevision) -> RelayBody {
    RelayBody::Lost(LostFlow {
        tuple: tuple(caller),
        upstreams_revision: Some(upstreams_revision),
        is_complete: true,
    })
}

/// The denial of an agent whose list of upstreams may lack some.
pub fn lost_as_far_as_known(caller: u16) -> RelayBody {
    RelayBody::Lost(LostFlow {
        tuple: tuple(caller),
        upstreams_revision: Some(store_revision(1)),
        is_complete: false,
    })
}

/// Names `s0`, `s1`, … of services.
pub fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("s{i}")).collect()
}
