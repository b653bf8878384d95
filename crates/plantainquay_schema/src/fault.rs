//! Faults found while checking outside input.

use std::fmt;

/// One fault, with the path of the field that has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path such as `services[1].upstreams[3].slots`.
    pub path: String,
    /// What is wrong with the field.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return f.write_str(&self.reason);
        }
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// Every fault of one input, in the order of its fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// The value that `check` makes of good input, or every fault that it records.
    ///
    /// # Errors
    ///
    /// Returns the faults when there are any.
    pub fn collect<T>(check: impl FnOnce(&mut Self) -> Option<T>) -> Result<T, Self> {
        let mut faults = Self::default();
        let value = check(&mut faults);
        faults.into_result()?;
        value.ok_or_else(Self::default)
    }

    /// Records a fault.
    pub fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        self.0.push(Fault {
            path: path.into(),
            reason: reason.into(),
        });
    }

    /// Records a fault unless `good` holds.
    pub fn require(&mut self, good: bool, path: impl Into<String>, reason: impl Into<String>) {
        if !good {
            self.add(path, reason);
        }
    }

    /// Takes the value of a good field, or records the fault of a bad one.
    pub fn take<T>(&mut self, path: impl Into<String>, result: Result<T, String>) -> Option<T> {
        result.map_err(|reason| self.add(path, reason)).ok()
    }

    /// Whether no fault was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The faults in order.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.0.iter()
    }

    /// `Ok` when no fault was found.
    ///
    /// # Errors
    ///
    /// Returns the faults when there are any.
    pub fn into_result(self) -> Result<(), Self> {
        if self.is_empty() { Ok(()) } else { Err(self) }
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Self {
        Self(vec![fault])
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
