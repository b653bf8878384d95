//! Simulated network fabric that terminates callers' TCP and sprays packets over the balancers.
//!
//! Each TCP connection of a caller ends here. Its bytes are forwarded as IP packets, each to a
//! balancer chosen at random, as a real fabric may do; agents send the replies directly.

mod balancers;
mod flows;

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, Result};
use plantainquay_net::bind_udp;
use plantainquay_schema::wire::stand_in::FabricSettings;
use tokio::net::{TcpListener, UdpSocket};

use balancers::{Balancers, watch_instances};
use flows::Fabric;

/// Number of sending sockets; a balancer's kernel distributes packets over its threads by source
/// port.
const SOURCE_SOCKET_COUNT: usize = 8;
const WORKER_THREADS: usize = 2;

/// Runs the fabric until the process exits.
///
/// # Errors
///
/// Fails when an address is invalid or can't be bound.
pub fn run_fabric(settings: &FabricSettings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    let balancers = Arc::new(Balancers::new(settings.seed));
    let fabric = {
        let _guard = runtime.enter();
        Arc::new(Fabric::bind(settings, Arc::clone(&balancers))?)
    };
    runtime.spawn(Arc::clone(&fabric).receive());
    for listener in &settings.listeners {
        let destination: SocketAddr = listener.destination.parse().context("destination")?;
        let listener = runtime.block_on(TcpListener::bind(&listener.bind))?;
        runtime.spawn(Arc::clone(&fabric).accept(listener, destination));
    }
    let system = ntex::rt::System::build()
        .name("fabric")
        .build(ntex::rt::DefaultRuntime);
    let instances = settings.instances.parse().context("instances")?;
    system.block_on(watch_instances(instances, balancers));
    Ok(())
}

fn bind_source_sockets(settings: &FabricSettings) -> Result<Vec<UdpSocket>> {
    let mut sockets = Vec::with_capacity(SOURCE_SOCKET_COUNT);
    let primary: SocketAddr = settings.udp.parse().context("udp")?;
    for index in 0..SOURCE_SOCKET_COUNT {
        let port = if index == 0 { primary.port() } else { 0 };
        let socket = bind_udp(SocketAddr::new(primary.ip(), port))?;
        socket.set_nonblocking(true)?;
        sockets.push(UdpSocket::from_std(socket)?);
    }
    Ok(sockets)
}
