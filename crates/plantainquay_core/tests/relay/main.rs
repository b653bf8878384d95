//! Decisions of balancers and agents on single packets and messages.

mod lookup;
mod opening;
mod pacing;
mod routes;
mod search;
mod support;
mod view;
