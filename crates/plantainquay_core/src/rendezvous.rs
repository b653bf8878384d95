//! Weighted rendezvous hashing in integer arithmetic, so that all processes compute the same
//! scores.
//!
//! The upstream with the lowest score for a bucket owns it. With `u` uniform in (0, 1], the score
//! `-log2(u) / weight` gives each upstream a share of the buckets proportional to its weight, and a
//! change of one upstream moves only the buckets that it gains or loses.

use plantainquay_schema::UpstreamNumber;

/// Fractional bits of a fixed-point logarithm.
const LOG_BITS: u32 = 32;
/// Base-2 logarithm of the number of table steps between two powers of two.
const LOG_STEP_BITS: u32 = 8;
const LOG_STEPS: usize = 1 << LOG_STEP_BITS;
/// Left shift of a logarithm before the division by a weight, which preserves precision.
const SCORE_SHIFT: u32 = 20;

static LOG_TABLE: [u64; LOG_STEPS + 1] = log_table();

/// Returns the score of an upstream for a bucket; the upstream with the lowest score owns it.
///
/// `seed` differs per service; `weight` must be at least 1.
pub(crate) fn bucket_score(seed: u64, bucket: u32, number: UpstreamNumber, weight: u32) -> u64 {
    let key = (u64::from(bucket) << 16) | u64::from(number.get());
    weighted_score(splitmix64(seed ^ splitmix64(key)), weight)
}

/// Returns the score of a candidate from the hash of the candidate and the key; the lowest score
/// wins.
pub(crate) fn weighted_score(hash: u64, weight: u32) -> u64 {
    (neg_log2(hash) << SCORE_SHIFT) / u64::from(weight.max(1))
}

/// Computes `-log2(hash / 2^64)` in fixed point.
fn neg_log2(hash: u64) -> u64 {
    let hash = hash | 1;
    let zeros = hash.leading_zeros();
    let mantissa = (hash << zeros) << 1;
    let step = usize::try_from(mantissa >> (64 - LOG_STEP_BITS)).unwrap_or(0);
    let remainder = (mantissa << LOG_STEP_BITS) >> 32;
    let (low, high) = (LOG_TABLE[step], LOG_TABLE[step + 1]);
    let fraction = low + (((high - low) * remainder) >> 32);
    (u64::from(zeros + 1) << LOG_BITS) - fraction
}

/// Hashes `value` with one step of the `SplitMix64` generator.
pub(crate) fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Computes `log2(1 + i / LOG_STEPS)` for each step `i`.
const fn log_table() -> [u64; LOG_STEPS + 1] {
    let mut table = [0; LOG_STEPS + 1];
    let mut i = 0;
    while i < LOG_STEPS {
        table[i] = log2_of_mantissa(((LOG_STEPS + i) as u64) << (63 - LOG_STEP_BITS));
        i += 1;
    }
    table[LOG_STEPS] = 1 << LOG_BITS;
    table
}

/// Computes `log2(mantissa / 2^63)` by repeated squaring; the top bit of `mantissa` must be set.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the product of two 64-bit numbers below 2^127, shifted right by 63, fits 64 bits"
)]
const fn log2_of_mantissa(mantissa: u64) -> u64 {
    let mut value = mantissa;
    let mut log = 0;
    let mut bit = LOG_BITS;
    while bit > 0 {
        bit -= 1;
        let square = (value as u128) * (value as u128);
        if square >> 127 == 1 {
            log |= 1 << bit;
            value = (square >> 64) as u64;
        } else {
            value = (square >> 63) as u64;
        }
    }
    log
}
