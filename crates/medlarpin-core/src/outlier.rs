//! Outlier detection: leafs that are much slower than the others of their group.
//!
//! The hedge budget is 5% of the requests, and a single slow leaf in a group of 16 exhausts it.
//! Therefore, entry daemons plan queries on replicas that are not slow, which need no hedges.

use std::time::Duration;

/// A leaf is slow if its 95th percentile exceeds the lower median of its group by this factor and
/// by [`SLOW_GAP`].
pub const SLOW_RATIO: u32 = 3;

/// Minimum difference between a slow leaf and its group's lower median. A smaller one has little
/// effect on a query's latency.
pub const SLOW_GAP: Duration = Duration::from_millis(10);

/// Minimum number of leafs with a known latency in the group; in smaller groups no leaf is slow.
pub const MIN_GROUP_SIZE: usize = 3;

/// Time for which an entry daemon avoids a slow leaf after the latest report of the daemon that
/// holds it.
pub const EJECTION_TIME: Duration = Duration::from_secs(2);

/// One query in this many is planned as if no leaf were slow, so that a recovered leaf is detected.
pub const QUERIES_PER_PROBE: u32 = 16;

/// Returns true if a leaf is an outlier in its group.
///
/// `own` is the 95th percentile of the leaf, and `group` contains those of all leafs of the group.
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
