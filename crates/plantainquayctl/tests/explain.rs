//! Output and errors of `explain`.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use plantainquay_core::FiveTuple;
use plantainquay_schema::{
    Changes, FormerService, FormerServices, Generation, Incarnation, Route, RouteDocument,
    StoreRevision, UpstreamEntry, WeightedService,
};
use plantainquayctl::{OutputFormat, explain, explain_flow};
use rstest::{Context, rstest};

fn upstream_entry(number: u8, service: &str, draining: bool) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("u{number}").as_str().into(),
        service: service.into(),
        ip: Ipv4Addr::new(10, 1, 0, number),
        data_centre: if number.is_multiple_of(2) {
            "hvar"
        } else {
            "split"
        }
        .into(),
        slots: 2,
        draining,
        incarnation: Incarnation(1),
        warm_up: Duration::ZERO,
        sequence: 1,
        revision: StoreRevision::new(0, 40 + u64::from(number)),
    }
}

fn route(port: u16, services: &[(&str, u32)]) -> Route {
    let services = services.iter();
    Route {
        listener: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port),
        services: services
            .map(|(name, weight)| WeightedService::new(name, *weight))
            .collect(),
        idempotent: port != 8080,
        timeout: Duration::from_millis(600),
        priority: 1,
    }
}

fn changes() -> Changes {
    Changes {
        age: Some(Duration::from_millis(120)),
        revision: StoreRevision::new(0, 57),
        routes: Some(RouteDocument {
            generation: Generation(7),
            routes: vec![
                route(8080, &[("desk", 1)]),
                route(8443, &[("desk", 90), ("maps", 10)]),
                route(9090, &[("nobody", 1)]),
                route(9443, &[("maps", 1)]),
            ],
        }),
        is_full: true,
        upstreams: vec![
            upstream_entry(1, "desk", false),
            upstream_entry(2, "desk", true),
            upstream_entry(3, "desk", false),
            upstream_entry(4, "maps", false),
        ],
        former_services: Some(FormerServices {
            span: Duration::from_mins(1),
            services: vec![FormerService {
                listener: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 9443),
                service: "desk".into(),
                age: Duration::from_secs(4),
            }],
        }),
        ..Changes::default()
    }
}

#[rstest]
#[case::one_service("198.18.0.1:8080")]
#[case::split("198.18.0.1:8443")]
#[case::no_upstream("198.18.0.1:9090")]
#[case::former_service("198.18.0.1:9443")]
#[case::no_route("198.18.0.1:1")]
fn flow_is_explained(#[context] cx: Context, #[case] listener: &str) {
    let tuple = FiveTuple::tcp("100.64.0.7:40001", listener).expect("two addresses");
    let report = explain_flow(changes(), tuple);
    let rendered = format!(
        "{:?}\n{}",
        report.outcome,
        report.render(OutputFormat::Text)
    );
    let name = cx.description.expect("each case is named");
    insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
        insta::assert_snapshot!(format!("explain_{name}"), rendered);
    });
}

#[rstest]
#[case::invalid_address("nowhere", "`nowhere` is not `ip:port`")]
#[case::unreachable_daemon("127.0.0.1:1", "no response from 127.0.0.1:1")]
fn command_errors_are_reported(#[case] daemon: &str, #[case] message: &str) {
    let error = explain(daemon, "100.64.0.7:1", "198.18.0.1:8080").expect_err("the command fails");
    assert_eq!(error.to_string(), message);
}
