//! Share of one upstream in a limit.

use plantainquay_schema::{Service, UpstreamNumber};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::LimitKey;

/// Returns the share of `own_number` in the service's limit for `key`; `None` if there is no such
/// limit.
///
/// The amount is divided equally among the service's upstreams. Each unit of the remainder goes to
/// one of the upstreams that rank first by a hash seeded with the limit, so that different limits
/// favour different upstreams.
#[must_use]
pub fn share_of(service: &Service, key: &LimitKey, own_number: UpstreamNumber) -> Option<u64> {
    let is_for_key = |limit: &&plantainquay_schema::Limit| {
        limit.member == key.member && limit.class == key.class && limit.resource == key.resource
    };
    let amount = service.limits.iter().find(is_for_key)?.amount;
    if service.upstream(own_number).is_none() {
        return Some(0);
    }
    let count = service.upstreams.len() as u64;
    let (base_share, remainder) = (amount / count, amount % count);
    let own_rank = rank(key, own_number);
    let numbers = service.upstreams.iter().map(|u| u.number);
    let ranked_before = numbers
        .filter(|number| rank(key, *number) < own_rank)
        .count() as u64;
    Some(base_share + u64::from(ranked_before < remainder))
}

fn rank(key: &LimitKey, number: UpstreamNumber) -> (u64, UpstreamNumber) {
    let class = key.class.as_ref().map_or("", |class| class.as_str());
    let seed = xxh3_64_with_seed(class.as_bytes(), key.resource as u64);
    let seed = xxh3_64_with_seed(key.member.as_str().as_bytes(), seed);
    (xxh3_64_with_seed(&number.get().to_le_bytes(), seed), number)
}
