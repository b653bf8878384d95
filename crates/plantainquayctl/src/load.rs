//! Reads documents.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use plantainquay_schema::{Document, FiveTuple, ValidationErrors};
use thiserror::Error;

/// A command that can't be carried out; exit code 2.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file can't be read.
    #[error("{0}: {1}")]
    UnreadableFile(String, std::io::Error),
    /// A document that the command needs has faults.
    #[error("{0}: {1}")]
    InvalidFile(String, ValidationErrors),
    /// An address is not `ip:port`.
    #[error("`{0}` is not `ip:port`")]
    InvalidAddress(String),
    /// A daemon that the command needs gives no answer.
    #[error("{0} gives no answer")]
    NoResponse(SocketAddr),
}

/// Reads and checks a document that a command needs to be free of faults.
///
/// # Errors
///
/// Fails when the file can't be read or has faults.
pub fn load_document(path: &Path) -> Result<Document, CommandError> {
    let text = read_file(path)?;
    Document::from_yaml(&text)
        .map_err(|errors| CommandError::InvalidFile(path.display().to_string(), errors))
}

/// Reads an address of the command line.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, CommandError> {
    text.parse()
        .map_err(|_e| CommandError::InvalidAddress(text.to_owned()))
}

/// Reads the addresses of a flow.
pub(crate) fn parse_flow(caller: &str, listener: &str) -> Result<FiveTuple, CommandError> {
    Ok(FiveTuple {
        source: parse_address(caller)?,
        destination: parse_address(listener)?,
    })
}

pub(crate) fn read_file(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path)
        .map_err(|error| CommandError::UnreadableFile(path.display().to_string(), error))
}
