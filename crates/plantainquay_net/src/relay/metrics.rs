//! Metrics of the relay.

use std::sync::atomic::Ordering;

use metrics::{counter, gauge};

use super::{AgentThreads, BalancerThreads, FleetState, RelaySockets};

impl FleetState {
    /// Updates the metrics from the state.
    pub fn refresh_metrics(&self) {
        let now = self.now();
        let (generation, revision, upstreams, age, history_span) = self.with_fleet(|fleet| {
            let upstreams = fleet.current_upstreams(now).count();
            let generation = fleet.routes().generation.0;
            let history_span = fleet.service_history().span(now);
            let age = fleet.age(now);
            (generation, fleet.revision(), upstreams, age, history_span)
        });
        gauge!("relay_route_history_seconds").set(history_span.as_secs_f64());
        // Absent until the state is first confirmed: any value would make it look fresh.
        if let Some(age) = age {
            gauge!("relay_view_age_seconds").set(age.as_secs_f64());
        }
        if let Some(elapsed) = self.start_to_ready() {
            gauge!("relay_start_to_ready_seconds").set(elapsed.as_secs_f64());
        }
        gauge!("relay_routes_generation").set(to_f64(generation));
        gauge!("relay_upstreams_revision").set(to_f64(revision.number));
        gauge!("relay_store_era").set(to_f64(revision.era));
        gauge!("relay_upstreams").set(to_f64(upstreams as u64));
        gauge!("relay_cut_off").set(if self.is_cut_off() { 1.0 } else { 0.0 });
        gauge!("relay_build_info", "version" => env!("CARGO_PKG_VERSION")).set(1.0);
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

impl BalancerThreads {
    /// Updates the metrics from the counters.
    pub fn refresh_metrics(&self) {
        let counters = self.balancer.counters();
        let totals = [
            ("relay_openings_total", counters.openings),
            ("relay_retried_openings_total", counters.retried_openings),
            (
                "relay_remembered_packets_total",
                counters.cached_flow_packets,
            ),
            ("relay_owner_packets_total", counters.owner_packets),
            (
                "relay_further_services_asked_total",
                counters.further_services_asked,
            ),
            (
                "relay_undetermined_packets_total",
                counters.undetermined_packets,
            ),
            ("relay_reset_flows_total", counters.reset_flows),
            ("relay_unrouted_packets_total", counters.unrouted_packets),
            ("relay_no_view_packets_total", counters.no_view_packets),
        ];
        record_totals(&totals, &self.sockets);
    }
}

impl AgentThreads {
    /// Updates the metrics from the counters.
    pub fn refresh_metrics(&self) {
        let counters = self.agent.counters();
        let totals = [
            ("relay_offered_openings_total", counters.offered_openings),
            (
                "relay_passed_on_openings_total",
                counters.forwarded_openings,
            ),
            ("relay_refused_openings_total", counters.refused_openings),
            ("relay_returned_openings_total", counters.returned_openings),
            ("relay_returned_packets_total", counters.returned_packets),
            ("relay_lookups_total", counters.lookups),
            ("relay_found_flows_total", counters.found_flows),
            ("relay_lost_flows_total", counters.lost_flows),
            ("relay_reset_flows_total", counters.reset_flows),
            ("relay_wrong_service_total", counters.wrong_service_messages),
        ];
        record_totals(&totals, &self.sockets);
        let meter = self.agent.meter();
        gauge!("relay_requests_in_progress").set(f64::from(meter.requests_in_progress()));
        gauge!("relay_open_flows").set(f64::from(meter.open_flows()));
    }
}

fn record_totals(totals: &[(&'static str, u64)], sockets: &RelaySockets) {
    for (name, total) in totals {
        counter!(*name).absolute(*total);
    }
    counter!("relay_malformed_datagrams_total").absolute(sockets.malformed.load(Ordering::Relaxed));
}
