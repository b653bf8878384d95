//! Generated wire types; run `cargo xtask codegen` to regenerate them.
#![allow(
    clippy::pedantic,
    clippy::clone_on_ref_ptr,
    clippy::allow_attributes_without_reason,
    missing_docs,
    reason = "generated code"
)]

/// The operators' document.
pub mod document {
    include!("generated/plantainquay.document.rs");
}

/// Settings of a daemon.
pub mod settings {
    include!("generated/plantainquay.settings.rs");
}

/// The tunnel's header.
pub mod tunnel {
    include!("generated/plantainquay.tunnel.rs");
}

/// Messages exchanged between processes.
pub mod peer {
    include!("generated/plantainquay.peer.rs");
}

/// Status of a daemon.
pub mod status {
    include!("generated/plantainquay.status.rs");
}

/// The platform's list of instances.
pub mod platform {
    include!("generated/plantainquay.platform.rs");
}

/// Settings and reports of the simulated components.
pub mod stand_in {
    include!("generated/plantainquay.stand_in.rs");
}

/// Datagrams of the relay.
pub mod relay {
    include!("generated/plantainquay.relay.rs");
}

/// Routes and upstreams of the relay.
pub mod fleet {
    include!("generated/plantainquay.fleet.rs");
}

/// Settings of a relay daemon.
pub mod relay_settings {
    include!("generated/plantainquay.relay_settings.rs");
}
