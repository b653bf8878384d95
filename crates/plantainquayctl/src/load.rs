//! Reads documents.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use plantainquay_schema::{Document, FiveTuple, ValidationErrors};
use thiserror::Error;

/// A command that can't be carried out; exit code 2.
#[derive(Debug, Error)]
pub enum UsageError {
    /// A file can't be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// A document that the command needs has faults.
    #[error("{0}: {1}")]
    Faults(String, ValidationErrors),
    /// An address is not `ip:port`.
    #[error("`{0}` is not `ip:port`")]
    Address(String),
    /// A daemon that the command needs gives no answer.
    #[error("{0} gives no answer")]
    NoAnswer(SocketAddr),
}

/// Reads and checks a document that a command needs to be free of faults.
///
/// # Errors
///
/// Fails when the file can't be read or has faults.
pub fn load_document(path: &Path) -> Result<Document, UsageError> {
    let text = read(path)?;
    Document::from_yaml(&text)
        .map_err(|faults| UsageError::Faults(path.display().to_string(), faults))
}

/// Reads an address of the command line.
pub(crate) fn address(text: &str) -> Result<SocketAddr, UsageError> {
    text.parse()
        .map_err(|_e| UsageError::Address(text.to_owned()))
}

/// Reads the addresses of a flow.
pub(crate) fn flow(caller: &str, listener: &str) -> Result<FiveTuple, UsageError> {
    Ok(FiveTuple {
        source: address(caller)?,
        destination: address(listener)?,
    })
}

pub(crate) fn read(path: &Path) -> Result<String, UsageError> {
    fs::read_to_string(path).map_err(|error| UsageError::Read(path.display().to_string(), error))
}
