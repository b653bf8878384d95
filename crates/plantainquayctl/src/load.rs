//! Reads files and parses arguments.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use plantainquay_schema::{Document, FiveTuple, ValidationErrors};
use thiserror::Error;

/// Error that prevents a command from producing a report; exit code 2.
#[derive(Debug)]
#[derive(Error)]
pub enum CommandError {
    /// A file can't be read.
    #[error("{0}: {1}")]
    UnreadableFile(String, std::io::Error),
    /// A file that the command needs is invalid.
    #[error("{0}: {1}")]
    InvalidFile(String, ValidationErrors),
    /// An address is not `ip:port`.
    #[error("`{0}` is not `ip:port`")]
    InvalidAddress(String),
    /// A daemon doesn't respond.
    #[error("no response from {0}")]
    NoResponse(SocketAddr),
}

/// Reads and validates a document.
///
/// # Errors
///
/// Returns an error if the file can't be read or the document is invalid.
pub fn load_document(path: &Path) -> Result<Document, CommandError> {
    let text = read_file(path)?;
    Document::from_yaml(&text)
        .map_err(|errors| CommandError::InvalidFile(path.display().to_string(), errors))
}

/// Parses an `ip:port` argument.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, CommandError> {
    text.parse()
        .map_err(|_e| CommandError::InvalidAddress(text.to_owned()))
}

/// Parses the addresses of a flow from the caller to the listener.
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
