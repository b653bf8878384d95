//! Where a new flow is placed.

use plantainquay_schema::Load;

/// Margin by which a sibling must be less loaded, in percent.
///
/// It halves the flows that are passed on, and keeps two agents from passing to each other on
/// reports that are a moment old.
const MARGIN_PERCENT: u64 = 2;

/// Where a new flow goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The agent that has it opens it.
    Local,
    /// The sibling gets it.
    Sibling,
}

/// Compares an agent's load with what one sibling reported.
///
/// An agent that takes no new flow passes each one on; `sibling` is none when it hasn't reported
/// lately.
#[must_use]
pub fn place(own: Load, sibling: Option<Load>) -> Placement {
    let Some(sibling) = sibling.filter(|load| load.accepting) else {
        return Placement::Local;
    };
    if !own.accepting || is_clearly_less_loaded(sibling, own) {
        Placement::Sibling
    } else {
        Placement::Local
    }
}

/// Whether `sibling`, with the flow, would still be less loaded than `own` without it.
fn is_clearly_less_loaded(sibling: Load, own: Load) -> bool {
    let with_flow = u64::from(sibling.open_flows) + 1;
    let sibling_weighted = with_flow * u64::from(own.capacity) * (100 + MARGIN_PERCENT);
    let own_weighted = u64::from(own.open_flows) * u64::from(sibling.capacity) * 100;
    sibling_weighted < own_weighted
}
