//! Reads the settings file.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use plantainquay_schema::{Settings, ValidationErrors};

/// Why settings can't be used.
#[derive(Debug)]
pub enum LoadError {
    /// The file can't be read.
    Read(PathBuf, io::Error),
    /// The file has faults.
    Faults(PathBuf, ValidationErrors),
}

impl std::fmt::Display for LoadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Read(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Faults(path, faults) => {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                write!(f, "{}: {}", path.display(), faults.join("; "))
            }
        }
    }
}

impl std::error::Error for LoadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Read(_, error) => Some(error),
            Self::Faults(_, faults) => Some(faults),
        }
    }
}

/// Reads and checks the settings in `path`.
///
/// # Errors
///
/// Fails when the file can't be read or has faults; the message is one line.
pub fn load_settings(path: &Path) -> Result<Settings, LoadError> {
    let text = fs::read_to_string(path).map_err(|e| LoadError::Read(path.to_path_buf(), e))?;
    Settings::from_yaml(&text).map_err(|faults| LoadError::Faults(path.to_path_buf(), faults))
}
