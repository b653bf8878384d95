//! The threads of a balancer.

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
/// Interval at which a thread checks the stop flag.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time without packets after which a draining balancer assumes that the fabric no longer uses it.
const QUIET_PERIOD: Duration = Duration::from_secs(1);

/// An error that prevents a balancer from starting.
#[derive(Debug)]
#[derive(Error)]
pub enum BalancerError {
    /// The tunnel's socket can't be bound or set up.
    #[error("tunnel socket: {0}")]
    Socket(#[from] io::Error),
    /// The settings contain no usable key.
    #[error("keys: {0}")]
    Keys(#[from] SealError),
}

/// A balancer: threads, each with its own socket and its own locked shard.
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
    /// Binds the tunnel sockets and starts the threads.
    ///
    /// # Errors
    ///
    /// Fails when a tunnel socket can't be bound.
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

    /// Stops sending new flows to agents that are no longer in the list of instances.
    pub fn update_instances(&self, instances: &[Instance]) {
        let mut routes = self.routes.lock();
        *routes = Arc::new(routes.with_live_agents(instances));
        self.install_routes(&routes);
    }

    fn install_routes(&self, routes: &Arc<RouteMap>) {
        for shard in &self.shards {
            shard.lock().install(Arc::clone(routes));
        }
    }

    /// Returns the sum of the shards' counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        let counters = self.shards.iter().map(|shard| shard.lock().counters());
        counters.fold(Counters::default(), Counters::plus)
    }

    /// Returns the number of datagrams that could not be forwarded.
    #[must_use]
    pub fn unsent(&self) -> u64 {
        self.unsent.load(Ordering::Relaxed)
    }

    /// Returns true if no packet has arrived for the quiet period.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        let last = plantainquay_core::Timestamp(self.last_packet.load(Ordering::Relaxed));
        self.clock.now().since(last) >= QUIET_PERIOD
    }

    /// Updates the metrics from the counters.
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

    /// Stops the threads.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn run(&self, index: usize, socket: &UdpSocket) {
        let mut packet = vec![0; DATAGRAM_BYTES];
        let mut buf = Vec::with_capacity(DATAGRAM_BYTES);
        while !self.stopped.load(Ordering::Relaxed) {
            // A timeout leads to the check above; other errors report an earlier datagram.
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
