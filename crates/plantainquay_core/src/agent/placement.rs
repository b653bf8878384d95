//! Placement of a new flow.

use plantainquay_schema::Load;

/// Margin by which a sibling must be less loaded, in percent.
///
/// It halves the number of forwarded flows, and prevents two agents from forwarding flows to each
/// other because of slightly stale reports.
const MARGIN_PERCENT: u64 = 2;

/// Agent that opens a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The agent that received the opening packet.
    Local,
    /// The sibling whose load was compared.
    Sibling,
}

/// Compares an agent's load with the load that one sibling reported.
///
/// An agent that doesn't accept new flows prefers any sibling that does. `sibling_load` is `None`
/// if there is no fresh report.
#[must_use]
pub fn place(own_load: Load, sibling_load: Option<Load>) -> Placement {
    let Some(sibling_load) = sibling_load.filter(|load| load.accepting) else {
        return Placement::Local;
    };
    if !own_load.accepting || is_clearly_less_loaded(sibling_load, own_load) {
        Placement::Sibling
    } else {
        Placement::Local
    }
}

/// Returns true if `sibling` with the new flow is less loaded than `own` without it, by the margin.
fn is_clearly_less_loaded(sibling: Load, own: Load) -> bool {
    let with_flow = u64::from(sibling.open_flows) + 1;
    let sibling_weighted = with_flow * u64::from(own.capacity) * (100 + MARGIN_PERCENT);
    let own_weighted = u64::from(own.open_flows) * u64::from(sibling.capacity) * 100;
    sibling_weighted < own_weighted
}
