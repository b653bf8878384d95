//! Revisions of the store.

use std::fmt;

/// Revision of the store at which an entry changed; displayed as `era.number`.
///
/// A store that is restored from an older copy assigns revision numbers again and starts a new
/// era, so that revisions are ordered by their era first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// Era of the store; rises with each restore. Zero for a store that doesn't report one.
    pub era: u64,
    /// Number of the revision, which increases with each change within an era.
    pub number: u64,
}

impl StoreRevision {
    /// Creates a revision.
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the lowest revision above this one, if there is one.
    #[must_use]
    pub fn next(self) -> Option<Self> {
        let next_number = self.number.checked_add(1);
        let in_era = next_number.map(|number| Self::new(self.era, number));
        in_era.or_else(|| Some(Self::new(self.era.checked_add(1)?, 0)))
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
