//! A balancer's threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use plantainquay_core::Timestamp;
use plantainquay_core::relay::{RelayBalancer, RelayBalancerConfig, RelayPolicy};
use plantainquay_schema::RelaySettings;

use super::carrier::{SHARDS_PER_THREAD, spawn, take_datagrams};
use super::{Carrier, FleetState, PacketFormat, RelayStartError};
use crate::Clock;

/// A running balancer.
#[derive(Debug)]
pub struct BalancerThreads {
    /// The decisions.
    pub balancer: RelayBalancer,
    /// The sockets.
    pub carrier: Carrier,
    fleet: Arc<FleetState>,
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
        let carrier = Carrier::bind(settings, settings.packets, None, format, clock)?;
        let config = RelayBalancerConfig {
            own_address: settings.own,
            shards: SHARDS_PER_THREAD * settings.threads,
            policy: RelayPolicy::default(),
        };
        let threads = Arc::new(Self {
            balancer: RelayBalancer::new(config),
            carrier,
            fleet,
            last_packet: AtomicU64::new(0),
        });
        threads.spawn_all(settings.threads)?;
        Ok(threads)
    }

    /// Moment of the last packet from a caller.
    #[must_use]
    pub fn last_packet(&self) -> Timestamp {
        Timestamp(self.last_packet.load(Ordering::Relaxed))
    }

    fn spawn_all(self: &Arc<Self>, packet_threads: usize) -> Result<(), RelayStartError> {
        for _ in 0..packet_threads {
            let own = Arc::clone(self);
            spawn("packets", move || own.take_packets())?;
        }
        let own = Arc::clone(self);
        spawn("messages", move || {
            own.carrier.take_messages(|from, message, _| {
                own.balancer
                    .on_message(own.carrier.clock.now(), from, &message)
            });
        })?;
        let own = Arc::clone(self);
        spawn("ticks", move || {
            let now = || own.carrier.clock.now();
            let expire = || own.balancer.expire(now());
            own.carrier.tick(|| own.balancer.on_tick(now()), expire);
        })?;
        Ok(())
    }

    fn take_packets(&self) {
        take_datagrams(&self.carrier.packets, |_, bytes| {
            let Some(packet) = (self.carrier.format.from_caller)(bytes) else {
                self.carrier.malformed.fetch_add(1, Ordering::Relaxed);
                return;
            };
            let now = self.carrier.clock.now();
            self.last_packet.store(now.0, Ordering::Relaxed);
            let view_age = || self.fleet.age(now);
            let bytes = Bytes::copy_from_slice(bytes);
            let actions = self.balancer.on_packet(now, view_age, &packet, bytes);
            self.carrier.carry_out(actions);
        });
    }
}
