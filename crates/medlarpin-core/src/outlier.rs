//! Leafs that are much slower than the others of their group.
//!
//! Hedges come from a budget of 5%, which one slow leaf of a group of 16 uses up alone. Queries that
//! are planned on another replica from the start need no hedge, so entries avoid slow leafs.

use std::time::Duration;

/// A leaf is slow if its 95th percentile is above this multiple of its group's lower median.
pub const SLOW_RATIO: u32 = 3;

/// And above it by at least this much; below, a slow leaf hardly shows in a query's latency.
pub const SLOW_GAP: Duration = Duration::from_millis(10);

/// Leafs of a group with a known latency that a comparison needs.
pub const MIN_GROUP_SIZE: usize = 3;

/// Time for which an entry avoids a slow leaf after the last report of its holder.
pub const EJECTION_TIME: Duration = Duration::from_secs(2);

/// One query in this many is planned as if no leaf was slow, so that a recovered leaf is noticed.
pub const QUERIES_PER_PROBE: u32 = 16;

/// Tells whether a leaf is slow against its group; `group` holds the 95th percentiles of its leafs.
#[must_use]
pub fn is_slow(own: Duration, group: &[Duration]) -> bool {
    if group.len() < MIN_GROUP_SIZE {
        return false;
    }
    let mut sorted = group.to_vec();
    sorted.sort_unstable();
    let median = sorted[(sorted.len() - 1) / 2];
    own > median * SLOW_RATIO && own > median + SLOW_GAP
}
