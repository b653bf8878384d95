//! The threads of a relay balancer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use plantainquay_core::Timestamp;
use plantainquay_core::relay::{Actions, RelayBalancer, RelayBalancerConfig, RelayPolicy};
use plantainquay_schema::RelaySettings;

use super::sockets::{SHARDS_PER_THREAD, receive_datagrams, spawn};
use super::{FleetState, PacketFormat, RelaySockets, RelayStartError};
use crate::Clock;

/// A running relay balancer.
#[derive(Debug)]
pub struct BalancerThreads {
    /// State and decisions of the balancer.
    pub balancer: RelayBalancer,
    /// The sockets.
    pub sockets: RelaySockets,
    last_packet: AtomicU64,
}

impl BalancerThreads {
    /// Binds the sockets and starts the threads.
    ///
    /// # Errors
    ///
    /// Fails when a socket can't be bound or a thread can't be started.
    pub fn start(
        settings: &RelaySettings,
        format: PacketFormat,
        fleet: Arc<FleetState>,
        clock: Clock,
    ) -> Result<Arc<Self>, RelayStartError> {
        let sockets = RelaySockets::bind(settings, settings.packets, None, format, clock, fleet)?;
        let config = RelayBalancerConfig {
            own_address: settings.own_address,
            shards: SHARDS_PER_THREAD * settings.threads,
            policy: RelayPolicy::default(),
        };
        let threads = Arc::new(Self {
            balancer: RelayBalancer::new(config),
            sockets,
            last_packet: AtomicU64::new(0),
        });
        threads.spawn_all(settings.threads)?;
        Ok(threads)
    }

    /// Returns the time of the last packet from a caller.
    #[must_use]
    pub fn last_packet(&self) -> Timestamp {
        Timestamp(self.last_packet.load(Ordering::Relaxed))
    }

    fn spawn_all(self: &Arc<Self>, packet_threads: usize) -> Result<(), RelayStartError> {
        for _ in 0..packet_threads {
            let this = Arc::clone(self);
            spawn("packets", move || this.receive_packets())?;
        }
        let this = Arc::clone(self);
        spawn("messages", move || {
            this.sockets.receive_messages(|from, message, _| {
                let now = this.sockets.clock.now();
                let view_age = || this.sockets.fleet.age(now);
                this.balancer.on_message(now, view_age, from, &message)
            });
        })?;
        let this = Arc::clone(self);
        spawn("ticks", move || {
            let now = || this.sockets.clock.now();
            let expire = || this.balancer.expire(now());
            this.sockets.tick(|| this.on_tick(), expire);
        })?;
        Ok(())
    }

    /// Continues what waits for time to pass or for a confirmation of the view.
    pub fn on_tick(&self) -> Actions {
        let now = self.sockets.clock.now();
        self.balancer.on_tick(now, || self.sockets.fleet.age(now))
    }

    fn receive_packets(&self) {
        receive_datagrams(&self.sockets.packets, |_, bytes| {
            let Some(packet) = (self.sockets.format.from_caller)(bytes) else {
                self.sockets.malformed.fetch_add(1, Ordering::Relaxed);
                return;
            };
            let now = self.sockets.clock.now();
            self.last_packet.store(now.0, Ordering::Relaxed);
            let view_age = || self.sockets.fleet.age(now);
            let bytes = Bytes::copy_from_slice(bytes);
            let actions = self.balancer.on_packet(now, view_age, &packet, bytes);
            self.sockets.execute_actions(actions);
        });
    }
}
