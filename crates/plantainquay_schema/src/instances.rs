//! The platform's list of instances.

use std::net::SocketAddr;

use crate::{Name, wire};

/// A running balancer or agent, as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance.
    pub name: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Tunnel address, at which other processes also reach the instance.
    pub tunnel: SocketAddr,
    /// True if the instance is leaving.
    pub leaving: bool,
}

/// Converts the listed instances, skipping those with an invalid tunnel address.
#[must_use]
pub fn parse_instances(list: &wire::platform::InstanceList) -> Vec<Instance> {
    let instances = list.instances.iter();
    instances
        .filter_map(|instance| Instance::try_from(instance).ok())
        .collect()
}

impl TryFrom<&wire::platform::Instance> for Instance {
    type Error = std::net::AddrParseError;

    fn try_from(instance: &wire::platform::Instance) -> Result<Self, Self::Error> {
        Ok(Self {
            name: instance.instance.as_str().into(),
            data_centre: instance.data_centre.as_str().into(),
            tunnel: instance.tunnel.parse()?,
            leaving: instance.state != "live",
        })
    }
}
