//! Generates the schema crate's code with `protox`, so that nobody needs `protoc`.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};

const PROTO_FILES: [&str; 7] = [
    "plantainquay/document.proto",
    "plantainquay/settings.proto",
    "plantainquay/tunnel.proto",
    "plantainquay/peer.proto",
    "plantainquay/status.proto",
    "plantainquay/platform.proto",
    "plantainquay/stand_in.proto",
];

/// Messages that are also read from YAML or written as JSON.
const SERDE_PACKAGES: [&str; 5] = [
    ".plantainquay.document",
    ".plantainquay.settings",
    ".plantainquay.status",
    ".plantainquay.platform",
    ".plantainquay.stand_in",
];

/// Writes the generated code into the schema crate.
pub(crate) fn write() -> Result<()> {
    generate(&committed_dir())
}

/// Fails when the committed code differs from what the schema gives now.
pub(crate) fn check() -> Result<()> {
    let fresh = workspace_root().join("target/codegen-check");
    generate(&fresh)?;
    for entry in fs::read_dir(&fresh)? {
        let path = entry?.path();
        let name = path.file_name().context("generated file without a name")?;
        let committed = fs::read(committed_dir().join(name)).unwrap_or_default();
        if committed != fs::read(&path)? {
            bail!(
                "{} is not current: run `cargo xtask codegen`",
                name.display()
            );
        }
    }
    println!("generated code is current");
    Ok(())
}

fn generate(out_dir: &Path) -> Result<()> {
    fs::create_dir_all(out_dir)?;
    let proto_dir = workspace_root().join("crates/plantainquay_schema/proto");
    let descriptors = protox::compile(PROTO_FILES, [proto_dir])?;
    let mut builder = tonic_prost_build::configure()
        .out_dir(out_dir)
        .build_transport(false);
    for package in SERDE_PACKAGES {
        builder = builder
            .type_attribute(package, "#[derive(serde::Deserialize, serde::Serialize)]")
            .type_attribute(package, "#[serde(default, deny_unknown_fields)]");
    }
    builder.compile_fds(descriptors)?;
    Ok(())
}

fn committed_dir() -> PathBuf {
    workspace_root().join("crates/plantainquay_schema/src/generated")
}

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("xtask lies in the workspace")
        .to_path_buf()
}
