//! Validation of the relay's settings.

use plantainquay_schema::RelaySettings;
use rstest::{Context, rstest};

const BALANCER: &str = "role: balancer
instance: front-1
data_centre: split
packets: '10.1.0.10:8172'
health: '10.1.0.10:8167'
peer_port: 7720
metrics_port: 9464
store: '10.200.1.7:8169'
";

const AGENT: &str = "agent:
  service: desk
  upstream: '127.0.0.1:8407'
  outbound: '127.0.0.1:8173'
";

#[rstest]
#[case::balancer("role: balancer", "", "")]
#[case::agent("role: balancer", "role: agent", AGENT)]
#[case::agent_without_upstream("role: balancer", "role: agent", "")]
#[case::unknown_role("role: balancer", "role: reader", "")]
#[case::unknown_field("", "", "colour: red\n")]
#[case::unknown_level("", "", "log_level: loud\n")]
#[case::quiet(
    "",
    "",
    "log_level: 'off'\nadvertised_ip: 10.1.9.10\nthreads: 4\nstop_grace_s: 12\n"
)]
#[case::bad_advertised_ip("", "", "advertised_ip: '10.1.0.10:7720'\n")]
#[case::other_flow_lifetime("", "", "flow_ttl_s: 300\nfirst_start: true\n")]
#[case::flow_lifetime_too_long("", "", "flow_ttl_s: 86401\n")]
// Guards against figures that the platform may fill in and that kept every process from starting.
#[case::fractions("", "", "threads: 0.25\nstop_grace_s: 6.5\nflow_ttl_s: 59.999\n")]
#[case::figures_that_are_absent("", "", "threads: \nstop_grace_s: \nflow_ttl_s: \nfirst_start: \n")]
#[case::smallest_figures("", "", "threads: 0\nstop_grace_s: 0\nflow_ttl_s: 1e-9\n")]
#[case::largest_figures("", "", "threads: 64\nstop_grace_s: 4294967295\nflow_ttl_s: 86400.0\n")]
#[case::negative_figures("", "", "threads: -1\nstop_grace_s: -0.5\nflow_ttl_s: -1e300\n")]
#[case::figures_that_are_no_numbers(
    "",
    "",
    "threads: .nan\nstop_grace_s: .inf\nflow_ttl_s: -.inf\n"
)]
#[case::truth_value_for_a_figure("", "", "stop_grace_s: true\n")]
#[case::text_for_a_figure("", "", "flow_ttl_s: soon\n")]
#[case::fraction_for_a_port("metrics_port: 9464", "metrics_port: 9464.5", "")]
#[case::nothing(BALANCER, "", "")]
#[case::bad_addresses(
    "role: balancer",
    "role: agent",
    "agent:\n  service: ''\n  upstream: '8407'\n"
)]
#[case::bad_ports("metrics_port: 9464", "metrics_port: 65536", "")]
fn settings_are_checked(
    #[context] cx: Context,
    #[case] from: &str,
    #[case] to: &str,
    #[case] extra: &str,
) {
    let to = if to.is_empty() && from != BALANCER {
        from
    } else {
        to
    };
    let text = format!("{}{extra}", BALANCER.replacen(from, to, 1));
    let outcome = match RelaySettings::from_yaml(&text) {
        Ok(settings) => format!("{settings:#?}"),
        Err(faults) => faults.to_string(),
    };
    let name = cx.description.expect("each case has a name");
    insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
        insta::assert_snapshot!(format!("relay_{name}"), outcome);
    });
}
