//! Command-line tool for operators.
//!
//! The tool reads documents and read-only endpoints of daemons and never modifies either. Each
//! command is a function that returns a [`Report`], which the binary prints as text or JSON.

mod check;
mod cli;
mod client;
mod diff;
mod digest;
mod explain;
mod load;
mod promote;
mod report;
mod routes;
mod status;

pub use check::check;
pub use cli::{command, run};
pub use diff::diff;
pub use digest::digest;
pub use explain::{explain, explain_flow};
pub use load::{CommandError, load_document};
pub use promote::promote;
pub use report::{Outcome, OutputFormat, Report};
pub use routes::{check_routes, explain_routes};
pub use status::{status, status_report};
