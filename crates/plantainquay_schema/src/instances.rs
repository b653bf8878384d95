//! The platform's list of instances.

use std::net::SocketAddr;

use crate::{Name, wire};

/// One running process of the system, as the platform knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The instance's name.
    pub name: Name,
    /// Data centre that it is in.
    pub data_centre: Name,
    /// Its tunnel, and its address for other processes.
    pub tunnel: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The instances of a list; one whose tunnel is no address is passed over.
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
