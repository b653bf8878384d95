//! Schemas of messages, settings and the operators' document.
//!
//! Everything that crosses a process boundary is defined in `proto/` and generated into
//! [`wire`]. Wire types are validated and converted to domain types with `TryFrom`; the rest of the
//! system uses domain types only.
//!
//! ```
//! use plantainquay_schema::Document;
//!
//! let errors = Document::from_yaml("environment: trial\ngeneration: 0\n").unwrap_err();
//! assert!(errors.to_string().contains("generation: must be at least 1"));
//! ```

mod agent_message;
mod document;
mod five_tuple;
mod fleet;
mod ids;
mod in_force;
mod instances;
mod name;
mod relay;
mod relay_settings;
mod settings;
mod store_revision;
mod tunnel;
mod validation_error;
pub mod wire;
mod yaml;

pub use agent_message::{AgentMessage, AgentMessageBody};
pub use document::{
    Digest, Document, Limit, Listener, ListenerMode, Member, Resource, Service, Upstream,
    UpstreamState, WorkClass,
};
pub use five_tuple::FiveTuple;
pub use fleet::{
    Changes, Departure, FormerService, FormerServices, Route, RouteChanges, RouteDocument,
    UpstreamEntry, WeightedService,
};
pub use ids::{DocumentVersion, FlowId, Generation, Incarnation, ServiceId, UpstreamNumber};
pub use in_force::InForce;
pub use instances::{Instance, parse_instances};
pub use name::Name;
pub use relay::{
    AgentLoad, Claim, EstablishedPacket, Evidence, LostFlow, OpeningPacket, RelayBody, RelayError,
    RelayMessage, VisitedAgents,
};
pub use relay_settings::{RelayAgentSettings, RelayRole, RelaySettings};
pub use settings::{AgentSettings, Key, KeyId, Platform, Role, Settings};
pub use store_revision::StoreRevision;
pub use tunnel::{Load, TriedUpstreams, TunnelError, TunnelHeader};
pub use validation_error::{ValidationError, ValidationErrors};
