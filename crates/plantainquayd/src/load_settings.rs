//! Loads the settings file.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use plantainquay_schema::{Settings, ValidationErrors};

/// An error while loading the settings file.
#[derive(Debug)]
pub enum LoadError {
    /// The file can't be read.
    Read(PathBuf, io::Error),
    /// The settings in the file are invalid.
    Invalid(PathBuf, ValidationErrors),
}

impl std::fmt::Display for LoadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Read(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Invalid(path, errors) => {
                let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
                write!(f, "{}: {}", path.display(), errors.join("; "))
            }
        }
    }
}

impl std::error::Error for LoadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Read(_, error) => Some(error),
            Self::Invalid(_, errors) => Some(errors),
        }
    }
}

/// Loads and validates the settings in `path`.
///
/// # Errors
///
/// Fails when the file can't be read or is invalid; the message is a single line.
pub fn load_settings(path: &Path) -> Result<Settings, LoadError> {
    let text = fs::read_to_string(path).map_err(|e| LoadError::Read(path.to_path_buf(), e))?;
    Settings::from_yaml(&text).map_err(|errors| LoadError::Invalid(path.to_path_buf(), errors))
}
