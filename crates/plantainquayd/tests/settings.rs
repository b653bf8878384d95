//! Validation of the daemon's settings.

use std::path::{Path, PathBuf};

use plantainquayd::load_settings;
use rstest::rstest;

#[rstest]
fn settings_have_their_recorded_outcome(#[files("tests/settings/*.yaml")] path: PathBuf) {
    let stem = path
        .file_stem()
        .expect("the file has a name")
        .to_string_lossy()
        .into_owned();
    let result = load_settings(&path);
    assert_eq!(result.is_ok(), stem.starts_with("good"), "{result:?}");
    let directory_prefix = format!(
        "{}/",
        path.parent()
            .expect("the file has a parent directory")
            .display()
    );
    let text = match result {
        Ok(settings) => format!("{settings:#?}"),
        Err(error) => error.to_string().replace(&directory_prefix, ""),
    };
    assert!(
        stem.starts_with("good") || !text.contains('\n'),
        "not a single line: {text}"
    );
    insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
        insta::assert_snapshot!(stem, text);
    });
}

#[test]
fn wrong_settings_end_the_daemon_with_code_2() {
    let invalid_settings =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/settings/bad_role.yaml");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_plantainquayd"))
        .arg("--settings")
        .arg(invalid_settings)
        .output()
        .expect("the daemon starts");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(
        stderr.contains("role: must be `balancer` or `agent`"),
        "{stderr}"
    );
}
