//! Errors found while validating external input.

use std::fmt;

/// A validation error with the path of the invalid field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Path such as `services[1].upstreams[3].slots`.
    pub path: String,
    /// Reason why the field is invalid.
    pub reason: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return f.write_str(&self.reason);
        }
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// All validation errors of one input, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValidationErrors(Vec<ValidationError>);

impl ValidationErrors {
    /// Runs `check` and returns its value, or every error that it records.
    ///
    /// # Errors
    ///
    /// Returns the errors when there are any.
    pub fn collect<T>(check: impl FnOnce(&mut Self) -> Option<T>) -> Result<T, Self> {
        let mut errors = Self::default();
        let value = check(&mut errors);
        errors.into_result()?;
        value.ok_or_else(Self::default)
    }

    /// Records an error.
    pub fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        self.0.push(ValidationError {
            path: path.into(),
            reason: reason.into(),
        });
    }

    /// Records an error unless `valid` is true.
    pub fn require(&mut self, valid: bool, path: impl Into<String>, reason: impl Into<String>) {
        if !valid {
            self.add(path, reason);
        }
    }

    /// Returns the value of a valid field; records an error and returns `None` otherwise.
    pub fn ok_or_record<T>(
        &mut self,
        path: impl Into<String>,
        result: Result<T, String>,
    ) -> Option<T> {
        result.map_err(|reason| self.add(path, reason)).ok()
    }

    /// Returns true if no error was recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The errors in order.
    pub fn iter(&self) -> impl Iterator<Item = &ValidationError> {
        self.0.iter()
    }

    /// Returns `Ok` if no error was recorded.
    ///
    /// # Errors
    ///
    /// Returns the errors when there are any.
    pub fn into_result(self) -> Result<(), Self> {
        if self.is_empty() { Ok(()) } else { Err(self) }
    }
}

impl From<ValidationError> for ValidationErrors {
    fn from(error: ValidationError) -> Self {
        Self(vec![error])
    }
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for ValidationErrors {}
