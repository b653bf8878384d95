//! A balancer's threads.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;
use plantainquay_core::RouteMap;
use plantainquay_core::balancer::{BalancerShard, Counters};
use plantainquay_schema::{Document, Instance, Settings};
use thiserror::Error;

use crate::{Clock, SealError, Sealer, bind_reuse_port, parse_segment};

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 65_535;
/// Longest wait of a thread before it looks whether it should stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Silence after which a leaving balancer takes it that the fabric no longer uses it.
const QUIET_PERIOD: Duration = Duration::from_secs(1);

/// Why a balancer can't start.
#[derive(Debug, Error)]
pub enum BalancerError {
    /// The tunnel's socket can't be bound or set up.
    #[error("tunnel socket: {0}")]
    Socket(#[from] io::Error),
    /// There is no usable key.
    #[error("keys: {0}")]
    Keys(#[from] SealError),
}

/// A balancer: threads that each have a socket and a shard under its own lock.
#[derive(Debug)]
pub struct BalancerRuntime {
    shards: Vec<Mutex<BalancerShard>>,
    routes: Mutex<Arc<RouteMap>>,
    sealer: Sealer,
    clock: Clock,
    stopped: AtomicBool,
    last_packet: AtomicU64,
    unsent: AtomicU64,
}

impl BalancerRuntime {
    /// Binds the tunnel and starts the threads.
    ///
    /// # Errors
    ///
    /// Fails when the tunnel can't be bound.
    pub fn start(settings: &Settings, clock: Clock) -> Result<Arc<Self>, BalancerError> {
        let shards = (0..settings.threads).map(|_| Mutex::default()).collect();
        let runtime = Arc::new(Self {
            shards,
            routes: Mutex::default(),
            sealer: Sealer::new(&settings.keys)?,
            clock,
            stopped: AtomicBool::new(false),
            last_packet: AtomicU64::new(0),
            unsent: AtomicU64::new(0),
        });
        for index in 0..settings.threads {
            let socket = bind_reuse_port(settings.tunnel)?;
            socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
            let runtime = Arc::clone(&runtime);
            thread::Builder::new()
                .name(format!("balancer-{index}"))
                .spawn(move || runtime.run(index, &socket))?;
        }
        Ok(runtime)
    }

    /// Puts a document in force in every shard.
    pub fn install(&self, document: &Document) {
        let mut routes = self.routes.lock();
        *routes = Arc::new(RouteMap::build(document, &routes));
        self.install_routes(&routes);
    }

    /// Sends no new flow to agents that are gone from the list of instances.
    pub fn update_instances(&self, instances: &[Instance]) {
        let mut routes = self.routes.lock();
        *routes = Arc::new(routes.with_live(instances));
        self.install_routes(&routes);
    }

    fn install_routes(&self, routes: &Arc<RouteMap>) {
        for shard in &self.shards {
            shard.lock().install(Arc::clone(routes));
        }
    }

    /// Sum of what the shards have done.
    #[must_use]
    pub fn counters(&self) -> Counters {
        let counters = self.shards.iter().map(|shard| shard.lock().counters());
        counters.fold(Counters::default(), Counters::plus)
    }

    /// Datagrams that could not be sent on.
    #[must_use]
    pub fn unsent(&self) -> u64 {
        self.unsent.load(Ordering::Relaxed)
    }

    /// Whether the fabric has stopped sending.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        let last = plantainquay_core::Timestamp(self.last_packet.load(Ordering::Relaxed));
        self.clock.now().since(last) >= QUIET_PERIOD
    }

    /// Brings the metrics up to date.
    pub fn refresh_metrics(&self) {
        let counters = self.counters();
        let by_verdict = [
            ("forwarded", counters.forwarded),
            ("opening", counters.openings),
            ("tagged", counters.tagged),
            ("unknown_address", counters.unknown_address),
            ("no_upstream", counters.no_upstream),
            ("malformed", counters.malformed),
            ("unsent", self.unsent()),
        ];
        for (verdict, value) in by_verdict {
            metrics::counter!("plantainquay_balancer_packets", "verdict" => verdict)
                .absolute(value);
        }
    }

    /// Ends the threads.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn run(&self, index: usize, socket: &UdpSocket) {
        let mut packet = vec![0; DATAGRAM_BYTES];
        let mut buf = Vec::with_capacity(DATAGRAM_BYTES);
        while !self.stopped.load(Ordering::Relaxed) {
            // A timeout only leads to the check above; other errors name the last datagram.
            let Ok(bytes) = socket.recv(&mut packet) else {
                continue;
            };
            self.last_packet
                .store(self.clock.now().0, Ordering::Relaxed);
            self.handle(index, socket, &packet[..bytes], &mut buf);
        }
    }

    fn handle(&self, index: usize, socket: &UdpSocket, packet: &[u8], buf: &mut Vec<u8>) {
        let mut shard = self.shards[index].lock();
        let Ok(segment) = parse_segment(packet) else {
            shard.count_malformed();
            return;
        };
        let verdict = shard.on_packet(&segment);
        drop(shard);
        let Ok(forward) = verdict else {
            return;
        };
        self.sealer.seal_tunnel(&forward.header, packet, buf);
        if socket.send_to(buf, forward.to).is_err() {
            self.unsent.fetch_add(1, Ordering::Relaxed);
        }
    }
}
