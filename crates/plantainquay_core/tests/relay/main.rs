//! Decisions of balancers and agents on single packets and messages.

mod claims;
mod lookup;
mod opening;
mod pacing;
mod restarts;
mod restored_store;
mod routes;
mod search;
mod site;
mod support;
mod view;
