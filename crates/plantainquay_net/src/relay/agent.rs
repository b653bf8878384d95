//! The threads of a relay agent.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use plantainquay_core::relay::{Actions, RelayAgent, RelayAgentConfig, RelayPolicy};
use plantainquay_schema::{RelayAgentSettings, RelaySettings};

use super::sockets::{SHARDS_PER_THREAD, receive_datagrams, spawn};
use super::{FleetState, PacketFormat, RelaySockets, RelayStartError};
use crate::Clock;

/// A running relay agent.
#[derive(Debug)]
pub struct AgentThreads {
    /// State and decisions of the agent.
    pub agent: RelayAgent,
    /// The sockets.
    pub sockets: RelaySockets,
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
        fleet: Arc<FleetState>,
        clock: Clock,
    ) -> Result<Arc<Self>, RelayStartError> {
        let sockets = RelaySockets::bind(
            settings,
            agent.outbound,
            Some(agent.upstream),
            format,
            clock,
            fleet,
        )?;
        let config = RelayAgentConfig {
            service: agent.service_id,
            own_address: settings.own_address,
            shards: SHARDS_PER_THREAD * settings.threads,
            policy: RelayPolicy::default(),
        };
        let threads = Arc::new(Self {
            agent: RelayAgent::new(config),
            sockets,
        });
        threads.spawn_all(settings.threads)?;
        Ok(threads)
    }

    fn spawn_all(self: &Arc<Self>, packet_threads: usize) -> Result<(), RelayStartError> {
        for _ in 0..packet_threads {
            let this = Arc::clone(self);
            spawn("messages", move || this.receive_messages())?;
            let this = Arc::clone(self);
            spawn("upstream", move || this.receive_upstream_packets())?;
        }
        let this = Arc::clone(self);
        spawn("ticks", move || {
            let now = || this.sockets.clock.now();
            let expire = || this.agent.expire(now());
            this.sockets.tick(|| this.on_tick(), expire);
        })?;
        Ok(())
    }

    /// Continues what waits for time to pass or for a confirmation of the view.
    pub fn on_tick(&self) -> Actions {
        let now = self.sockets.clock.now();
        self.agent.on_tick(now, &|| self.sockets.fleet.age(now))
    }

    fn receive_messages(&self) {
        self.sockets.receive_messages(|from, message, packet| {
            let now = self.sockets.clock.now();
            let view_age = || self.sockets.fleet.age(now);
            self.agent.on_message(now, &view_age, from, message, packet)
        });
    }

    fn receive_upstream_packets(&self) {
        receive_datagrams(&self.sockets.packets, |_, bytes| {
            let Some(packet) = (self.sockets.format.from_upstream)(bytes) else {
                self.sockets.malformed.fetch_add(1, Ordering::Relaxed);
                return;
            };
            let bytes = if packet.returned {
                let mut bytes = BytesMut::from(bytes);
                (self.sockets.format.clear_returned)(&mut bytes);
                bytes.freeze()
            } else {
                Bytes::copy_from_slice(bytes)
            };
            let now = self.sockets.clock.now();
            let view_age = || self.sockets.fleet.age(now);
            let actions = self
                .agent
                .on_upstream_packet(now, &view_age, &packet, bytes);
            self.sockets.execute_actions(actions);
        });
    }
}
