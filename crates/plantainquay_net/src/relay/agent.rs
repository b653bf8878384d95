//! An agent's threads.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use plantainquay_core::relay::{RelayAgent, RelayAgentConfig, RelayPolicy};
use plantainquay_schema::{RelayAgentSettings, RelaySettings};

use super::carrier::{SHARDS_PER_THREAD, spawn, take_datagrams};
use super::{Carrier, PacketFormat, RelayStartError};
use crate::Clock;

/// A running agent.
#[derive(Debug)]
pub struct AgentThreads {
    /// The decisions.
    pub agent: RelayAgent,
    /// The sockets.
    pub carrier: Carrier,
}

impl AgentThreads {
    /// Binds the sockets and starts the threads.
    ///
    /// # Errors
    ///
    /// Fails when a socket can't be bound or a thread can't be started.
    pub fn start(
        settings: &RelaySettings,
        agent: &RelayAgentSettings,
        format: PacketFormat,
        clock: Clock,
    ) -> Result<Arc<Self>, RelayStartError> {
        let carrier = Carrier::bind(
            settings,
            agent.outbound,
            Some(agent.upstream),
            format,
            clock,
        )?;
        let config = RelayAgentConfig {
            service: agent.service_id,
            own_address: settings.own,
            shards: SHARDS_PER_THREAD * settings.threads,
            policy: RelayPolicy::default(),
        };
        let threads = Arc::new(Self {
            agent: RelayAgent::new(config),
            carrier,
        });
        threads.spawn_all(settings.threads)?;
        Ok(threads)
    }

    fn spawn_all(self: &Arc<Self>, packet_threads: usize) -> Result<(), RelayStartError> {
        for _ in 0..packet_threads {
            let own = Arc::clone(self);
            spawn("messages", move || own.take_messages())?;
            let own = Arc::clone(self);
            spawn("upstream", move || own.take_upstream_packets())?;
        }
        let own = Arc::clone(self);
        spawn("ticks", move || {
            let now = || own.carrier.clock.now();
            let expire = || own.agent.expire(now());
            own.carrier.tick(|| own.agent.on_tick(now()), expire);
        })?;
        Ok(())
    }

    fn take_messages(&self) {
        self.carrier.take_messages(|from, message, packet| {
            let now = self.carrier.clock.now();
            self.agent.on_message(now, from, message, packet)
        });
    }

    fn take_upstream_packets(&self) {
        take_datagrams(&self.carrier.packets, |_, bytes| {
            let Some(packet) = (self.carrier.format.from_upstream)(bytes) else {
                self.carrier.malformed.fetch_add(1, Ordering::Relaxed);
                return;
            };
            let bytes = if packet.returned {
                let mut bytes = BytesMut::from(bytes);
                (self.carrier.format.clear_returned)(&mut bytes);
                bytes.freeze()
            } else {
                Bytes::copy_from_slice(bytes)
            };
            let now = self.carrier.clock.now();
            let actions = self.agent.on_upstream_packet(now, &packet, bytes);
            self.carrier.carry_out(actions);
        });
    }
}
