//! Output of each command.

use std::path::{Path, PathBuf};

use plantainquay_schema::wire::status::Status;
use plantainquayctl::{CommandError, Outcome, OutputFormat, Report, command, run, status_report};
use rstest::{Context, rstest};

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn run_command(args: &[&str]) -> Result<(Report, OutputFormat), CommandError> {
    let args = std::iter::once("plantainquayctl").chain(args.iter().copied());
    run(&command()
        .try_get_matches_from(args)
        .expect("the arguments are valid"))
}

fn render_result(args: &[&str]) -> String {
    match run_command(args) {
        Ok((report, format)) => format!("{:?}\n{}", report.outcome, report.render(format)),
        Err(error) => format!("error\n{error}"),
    }
}

#[rstest]
fn check_lists_every_fault(#[files("tests/broken/*.yaml")] path: PathBuf) {
    let stem = path
        .file_stem()
        .expect("the file has a name")
        .to_string_lossy()
        .into_owned();
    let path = path.to_str().expect("the path is UTF-8");
    insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
        insta::assert_snapshot!(format!("check_{stem}"), render_result(&["check", path]));
    });
}

#[rstest]
#[case::gusterna("gusterna.yaml")]
#[case::twmpathau("twmpathau.yaml")]
fn check_accepts_examples(#[case] file: &str) {
    let path = format!("{EXAMPLES}/{file}");
    let (report, _) = run_command(&["check", &path]).expect("the example is readable");
    assert_eq!(report.outcome, Outcome::Passed, "{}", report.text);
}

#[rstest]
#[case::digest(&["digest", "trial.yaml"])]
#[case::digest_json(&["digest", "production_3.yaml", "--output", "json"])]
#[case::diff(&["diff", "production_4.yaml", "production_5_other_limit.yaml"])]
#[case::diff_json(&["diff", "production_4.yaml", "production_5_other_limit.yaml", "--output", "json"])]
#[case::diff_of_nothing(&["diff", "production_3.yaml", "production_4.yaml"])]
#[case::promote(&["promote", "trial.yaml", "production_4.yaml", "--in-force", "production_3.yaml"])]
#[case::promote_other_text(&["promote", "trial.yaml", "production_5_other_limit.yaml"])]
#[case::promote_backwards(
    &["promote", "trial.yaml", "production_3.yaml", "--in-force", "production_4.yaml"]
)]
#[case::promote_in_one_environment(&["promote", "trial.yaml", "trial.yaml"])]
fn command_answers(#[context] cx: Context, #[case] args: &[&str]) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/documents");
    let full_args: Vec<String> = args
        .iter()
        .map(|arg| match arg.strip_suffix(".yaml") {
            Some(_) => directory.join(arg).to_string_lossy().into_owned(),
            None => (*arg).to_owned(),
        })
        .collect();
    let full_args: Vec<&str> = full_args.iter().map(String::as_str).collect();
    let name = cx.description.expect("each case has a name");
    insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
        insta::assert_snapshot!(format!("command_{name}"), render_result(&full_args));
    });
}

#[rstest]
#[case::good(&["check", "good.json"])]
#[case::good_with_upstreams(&["check", "good.json", "--upstreams", "upstreams.json"])]
#[case::bad(&["check", "bad.json", "--upstreams", "bad_upstreams.json"])]
#[case::bad_json(&["check", "bad.json", "--output", "json"])]
#[case::no_json(&["check", "README.md"])]
#[case::explained(
    &["explain", "good.json", "100.64.0.7:1036", "198.18.0.1:8443", "--upstreams", "upstreams.json"]
)]
#[case::unrouted(
    &["explain", "good.json", "100.64.0.7:1036", "198.18.0.1:9", "--upstreams", "upstreams.json"]
)]
#[case::faulty(
    &["explain", "bad.json", "100.64.0.7:1036", "198.18.0.1:9", "--upstreams", "upstreams.json"]
)]
fn routes_of_the_platform_are_checked_and_explained(#[context] cx: Context, #[case] args: &[&str]) {
    let directory = format!("{}/tests/routes/", env!("CARGO_MANIFEST_DIR"));
    let full_args: Vec<String> = std::iter::once("routes".to_owned())
        .chain(args.iter().map(|arg| match arg.split_once('.') {
            Some((_, "json" | "md")) => format!("{directory}{arg}"),
            _ => (*arg).to_owned(),
        }))
        .collect();
    let full_args: Vec<&str> = full_args.iter().map(String::as_str).collect();
    let name = cx.description.expect("each case has a name");
    insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
        insta::assert_snapshot!(
            format!("routes_{name}"),
            render_result(&full_args).replace(&directory, "")
        );
    });
}

#[test]
fn errors_differ_from_failed_outcomes() {
    let missing_file = render_result(&["check", "/nonexistent/document.yaml"]);
    assert!(missing_file.starts_with("error\n"), "{missing_file}");
    let invalid_address = render_result(&["status", "localhost"]);
    assert_eq!(invalid_address, "error\n`localhost` is not `ip:port`");
    let unknown_command = command().try_get_matches_from(["plantainquayctl", "drop"]);
    assert_eq!(unknown_command.map_err(|error| error.exit_code()), Err(2));
}

#[test]
fn status_shows_a_table() {
    let address = "127.0.0.1:8001".parse().expect("an address");
    let unresponsive = "127.0.0.1:8002".parse().expect("an address");
    let status = Status {
        role: "agent".to_owned(),
        instance: "agent-curing-1".to_owned(),
        generation: 7,
        open_flows: 42,
        leaving: true,
        ..Status::default()
    };
    let report = status_report(&[(address, Some(status)), (unresponsive, None)]);
    assert_eq!(report.outcome, Outcome::Failed);
    insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
        insta::assert_snapshot!("status_table", report.text);
    });
}
