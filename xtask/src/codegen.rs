//! Generates Rust code from the `.proto` files with `protox`, so that `protoc` is not required.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};

const PROTO_FILES: [&str; 10] = [
    "plantainquay/document.proto",
    "plantainquay/settings.proto",
    "plantainquay/tunnel.proto",
    "plantainquay/peer.proto",
    "plantainquay/status.proto",
    "plantainquay/platform.proto",
    "plantainquay/stand_in.proto",
    "plantainquay/relay.proto",
    "plantainquay/fleet.proto",
    "plantainquay/relay_settings.proto",
];

/// Messages of the platform's store, generated into the adapter crate.
const ADAPTER_PROTO: &str = "store.proto";
/// Generated file of the adapter crate.
const ADAPTER_FILE: &str = "plantainquay.adapter.rs";

/// Packages whose messages are also read from YAML or written as JSON.
const SERDE_PACKAGES: [&str; 6] = [
    ".plantainquay.document",
    ".plantainquay.settings",
    ".plantainquay.status",
    ".plantainquay.platform",
    ".plantainquay.stand_in",
    ".plantainquay.relay_settings",
];

/// Fields that may be whole numbers or fractions, and empty.
const NUMBER_FIELDS: [&str; 3] = [
    ".plantainquay.relay_settings.RelaySettings.threads",
    ".plantainquay.relay_settings.RelaySettings.stop_grace_s",
    ".plantainquay.relay_settings.RelaySettings.flow_ttl_s",
];

/// Writes the generated code into the source trees of the schema and adapter crates.
pub(crate) fn write() -> Result<()> {
    let generated = generate_to_target()?;
    for entry in fs::read_dir(&generated)? {
        let path = entry?.path();
        fs::copy(&path, committed_path(&path)?)?;
    }
    Ok(())
}

/// Fails when the committed code differs from newly generated code.
pub(crate) fn check() -> Result<()> {
    let generated = generate_to_target()?;
    for entry in fs::read_dir(&generated)? {
        let path = entry?.path();
        let committed = committed_path(&path)?;
        // A missing file counts as different.
        if fs::read(&committed).unwrap_or_default() != fs::read(&path)? {
            bail!(
                "{} is out of date: run `cargo xtask codegen`",
                committed.display()
            );
        }
    }
    println!("generated code is up to date");
    Ok(())
}

fn generate(out_dir: &Path) -> Result<()> {
    fs::create_dir_all(out_dir)?;
    generate_schema(out_dir)?;
    generate_adapter(out_dir)
}

/// The adapter's messages are read as JSON only and may contain unknown fields.
fn generate_adapter(out_dir: &Path) -> Result<()> {
    let proto_dir = workspace_root().join("platform/proto");
    let descriptors = protox::compile([ADAPTER_PROTO], [proto_dir])?;
    tonic_prost_build::configure()
        .out_dir(out_dir)
        .build_transport(false)
        .type_attribute(".", "#[derive(serde::Deserialize)]")
        .type_attribute(".", "#[serde(default)]")
        .compile_fds(descriptors)?;
    Ok(())
}

fn generate_schema(out_dir: &Path) -> Result<()> {
    let proto_dir = workspace_root().join("crates/plantainquay_schema/proto");
    let descriptors = protox::compile(PROTO_FILES, [proto_dir])?;
    let mut builder = tonic_prost_build::configure()
        .out_dir(out_dir)
        .build_transport(false)
        .bytes(".plantainquay.relay");
    for package in SERDE_PACKAGES {
        builder = builder
            .type_attribute(package, "#[derive(serde::Deserialize, serde::Serialize)]")
            .type_attribute(package, "#[serde(default, deny_unknown_fields)]");
    }
    for field in NUMBER_FIELDS {
        let attribute = "#[serde(deserialize_with = \"crate::yaml::number\")]";
        builder = builder.field_attribute(field, attribute);
    }
    builder.compile_fds(descriptors)?;
    Ok(())
}

fn generate_to_target() -> Result<PathBuf> {
    let generated = workspace_root().join("target/codegen");
    generate(&generated)?;
    Ok(generated)
}

/// Path at which a newly generated file is committed.
fn committed_path(generated: &Path) -> Result<PathBuf> {
    let name = generated
        .file_name()
        .context("generated file without a name")?;
    let dir = if name == ADAPTER_FILE {
        "platform/src/generated"
    } else {
        "crates/plantainquay_schema/src/generated"
    };
    Ok(workspace_root().join(dir).join(name))
}

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("xtask is inside the workspace")
        .to_path_buf()
}
