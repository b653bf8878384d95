//! Identifier types.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// Identifies a service in messages: a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u64);

impl ServiceId {
    /// The identifier of the service called `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Display for ServiceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Number of an upstream within its service, constant for the lifetime of the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamNumber(u16);

impl UpstreamNumber {
    /// Highest number; a number must fit the bits reserved for it in a TCP timestamp.
    pub const MAX: u16 = (1 << Self::BITS) - 1;

    /// Number of bits that encode an upstream number.
    pub const BITS: u32 = 12;

    /// Returns the number if it is between 1 and [`Self::MAX`].
    #[must_use]
    pub fn new(number: u32) -> Option<Self> {
        let number = u16::try_from(number).ok()?;
        (1..=Self::MAX).contains(&number).then_some(Self(number))
    }

    /// The number as an integer.
    #[must_use]
    pub fn get(self) -> u16 {
        self.0
    }
}

impl fmt::Display for UpstreamNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Generation of a document; increases monotonically.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Version of a document; a document with a higher version replaces one with a lower version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentVersion {
    /// The document's generation.
    pub generation: Generation,
    /// First eight bytes of the digest, big-endian; distinguishes documents of the same generation.
    pub digest_prefix: u64,
}

/// Identifies a flow by a hash of its five-tuple.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId(pub u64);

impl FlowId {
    /// Index of the flow's shard; the number of shards must be at least 1.
    #[must_use]
    pub fn shard_index(self, shards: usize) -> usize {
        // Uses the upper half, since the lower bits select the hash bucket.
        usize::try_from(self.0 >> 32).unwrap_or(0) % shards
    }
}

impl fmt::Display for FlowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Incarnation of a process; differs after each restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);
