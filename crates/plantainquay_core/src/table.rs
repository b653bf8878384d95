//! Assignment of a service's flow buckets to its upstreams.

use plantainquay_schema::{FlowId, Service, ServiceId, Upstream, UpstreamNumber, UpstreamState};
use smallvec::SmallVec;

use crate::rendezvous::bucket_score;

/// Buckets per upstream; more buckets distribute flows more evenly.
const BUCKETS_PER_UPSTREAM: usize = 128;
const MIN_BUCKETS: usize = 256;
const MAX_BUCKETS: usize = 1 << 17;

/// Upstreams of a service in a bucket's order of preference.
pub type Ranking = SmallVec<[UpstreamNumber; 8]>;

/// Owners of a service's buckets, a pure function of the service's ID and upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BucketTable {
    seed: u64,
    owners: Box<[Option<UpstreamNumber>]>,
}

impl BucketTable {
    /// Computes the owner of every bucket.
    #[must_use]
    pub fn build(service: &Service) -> Self {
        let seed = hash_seed(service.id);
        let buckets = 0..bucket_count(service.upstreams.len());
        let owners = buckets.map(|b| bucket_owner(seed, to_u32(b), &service.upstreams));
        Self {
            seed,
            owners: owners.collect(),
        }
    }

    /// Computes the table of `new` from this table, which must be the table of `old`.
    ///
    /// Equal to [`Self::build`], but scores all upstreams only for buckets that a changed upstream
    /// owned.
    #[must_use]
    pub fn rebuild(&self, old: &Service, new: &Service) -> Self {
        let same_size = self.owners.len() == bucket_count(new.upstreams.len());
        if old.id != new.id || !same_size {
            return Self::build(new);
        }
        let changed_old = changed_upstreams(old, new);
        let changed_new = changed_upstreams(new, old);
        let owners = self.owners.iter().enumerate().map(|(bucket, owner)| {
            let bucket = to_u32(bucket);
            let kept = owner.filter(|owner| !changed_old.iter().any(|u| u.number == *owner));
            let Some(upstream) = kept.and_then(|owner| new.upstream(owner)) else {
                return bucket_owner(self.seed, bucket, &new.upstreams);
            };
            bucket_owner_among(
                self.seed,
                bucket,
                changed_new.iter().copied().chain([upstream]),
            )
        });
        Self {
            seed: self.seed,
            owners: owners.collect(),
        }
    }

    /// Returns the owner of the flow's bucket, or `None` if no upstream accepts new flows.
    #[must_use]
    pub fn owner(&self, flow: FlowId) -> Option<UpstreamNumber> {
        self.owners.get(self.bucket(flow)).copied().flatten()
    }

    /// Returns all upstreams, including draining ones, in the order of preference of the flow's
    /// bucket.
    ///
    /// The bucket's owners before recent joins and drains are near the front.
    #[must_use]
    pub fn ranking(&self, service: &Service, flow: FlowId) -> Ranking {
        let bucket = to_u32(self.bucket(flow));
        let mut scored: SmallVec<[(u64, UpstreamNumber); 8]> = SmallVec::new();
        for upstream in &service.upstreams {
            scored.push((upstream_score(self.seed, bucket, upstream), upstream.number));
        }
        scored.sort_unstable();
        scored.into_iter().map(|(_, number)| number).collect()
    }

    /// Returns the number of buckets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns true if the table has no buckets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Returns the owner of each bucket, in bucket order.
    #[must_use]
    pub fn owners(&self) -> &[Option<UpstreamNumber>] {
        &self.owners
    }

    /// Returns the size of the table's heap allocation in bytes.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        size_of_val(&*self.owners)
    }

    fn bucket(&self, flow: FlowId) -> usize {
        // The length is a power of two.
        to_usize(flow.0) & self.owners.len().wrapping_sub(1)
    }
}

/// Returns the fraction of buckets whose owner differs between `old` and `new`.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn moved_share(old: &BucketTable, new: &BucketTable) -> f64 {
    let buckets = old.len().max(new.len());
    if buckets == 0 {
        return 0.0;
    }
    let moved = (0..buckets)
        .map(|b| FlowId(b as u64))
        .filter(|flow| old.owner(*flow) != new.owner(*flow));
    moved.count() as f64 / buckets as f64
}

fn bucket_count(upstreams: usize) -> usize {
    let minimum = upstreams.max(1) * BUCKETS_PER_UPSTREAM;
    minimum.next_power_of_two().clamp(MIN_BUCKETS, MAX_BUCKETS)
}

fn hash_seed(service: ServiceId) -> u64 {
    service.0
}

fn bucket_owner(seed: u64, bucket: u32, upstreams: &[Upstream]) -> Option<UpstreamNumber> {
    bucket_owner_among(seed, bucket, upstreams.iter())
}

fn bucket_owner_among<'a>(
    seed: u64,
    bucket: u32,
    upstreams: impl Iterator<Item = &'a Upstream>,
) -> Option<UpstreamNumber> {
    let serving = upstreams.filter(|u| u.state == UpstreamState::Serving);
    let scored = serving.map(|u| (upstream_score(seed, bucket, u), u.number));
    scored.min().map(|(_, number)| number)
}

fn upstream_score(seed: u64, bucket: u32, upstream: &Upstream) -> u64 {
    bucket_score(seed, bucket, upstream.number, upstream.connections)
}

/// Returns the upstreams of `service` whose state or weight differs in `other`.
fn changed_upstreams<'a>(service: &'a Service, other: &Service) -> Vec<&'a Upstream> {
    let has_same_state_and_weight =
        |a: &Upstream, b: &Upstream| a.state == b.state && a.connections == b.connections;
    let changed = service.upstreams.iter().filter(|upstream| {
        let counterpart = other.upstream(upstream.number);
        !counterpart.is_some_and(|counterpart| has_same_state_and_weight(upstream, counterpart))
    });
    changed.collect()
}

fn to_u32(bucket: usize) -> u32 {
    u32::try_from(bucket).unwrap_or(u32::MAX)
}

fn to_usize(hash: u64) -> usize {
    usize::try_from(hash & u64::from(u32::MAX)).unwrap_or(usize::MAX)
}
