//! Protection against queries that crash each leaf that runs them.
//!
//! An unproven query runs on one leaf first (the canary). Two connections lost under canaries of one
//! fingerprint, on distinct leafs and for distinct requests, quarantine it.

mod proven;
mod quarantines;
mod strikes;
mod table;

pub use quarantines::Quarantine;
pub use table::{Clearance, FingerprintTable};

use crate::ids::{Fingerprint, stable_hash};

/// Time for which a successful run clears a fingerprint.
pub const PROVEN_TTL: std::time::Duration = std::time::Duration::from_mins(1);
/// Time for which a fingerprint is quarantined, and for which a strike counts.
pub const QUARANTINE_DURATION: std::time::Duration = std::time::Duration::from_mins(10);

/// Picks the leaf group that runs the canary of a fingerprint, by rendezvous hashing.
///
/// All entries pick the same group if they see the same groups, so one holder sees all canaries of
/// the fingerprint. Returns the index of the group, or `None` if there is no group.
#[must_use]
pub fn canary_group(fingerprint: Fingerprint, groups: &[impl AsRef<str>]) -> Option<usize> {
    let key = fingerprint.0.to_be_bytes();
    let score = |group: &str| stable_hash(&[&key, group.as_bytes()]);
    (0..groups.len()).max_by_key(|index| {
        let group = groups[*index].as_ref();
        (score(group), group)
    })
}
