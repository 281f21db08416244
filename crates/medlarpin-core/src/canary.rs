//! Protection against queries that crash every leaf that runs them.
//!
//! A query that has not run successfully of late is sent to one leaf first, as a canary. Each
//! loss of a connection during a canary is a strike against the query's fingerprint. Two strikes on
//! distinct leafs and for distinct requests quarantine the fingerprint, if one leaf lived on after the other was
//! lost.
//!
//! A leaf that falls silent may hang as well as have ended. Such a loss is no strike, but two that are independent
//! withhold equal requests for as long as the leafs stay silent.

mod loss_verdict;
mod proven;
mod quarantines;
mod silent_losses;
mod strikes;
mod table;

pub use loss_verdict::{LossKind, LossVerdict, LostLeafSign, NeighbourSign};
pub use quarantines::Quarantine;
pub use silent_losses::{SILENCE_RENEWAL, SILENCE_TTL, SilentLoss, SilentLossTable};
pub use strikes::Strike;
pub use table::{Clearance, FingerprintTable};

use crate::ids::{Fingerprint, stable_hash};

/// Time after a successful run for which a fingerprint needs no canary.
pub const PROVEN_TTL: std::time::Duration = std::time::Duration::from_mins(1);
/// Length of a quarantine, and time for which a strike counts.
pub const QUARANTINE_DURATION: std::time::Duration = std::time::Duration::from_mins(10);

/// Chooses the leaf group that runs the canary of a fingerprint, by rendezvous hashing.
///
/// All entry daemons that see the same groups choose the same one, so a single holder runs all
/// canaries of the fingerprint. Returns the index of the group, or `None` if `groups` is empty.
#[must_use]
pub fn canary_group(fingerprint: Fingerprint, groups: &[impl AsRef<str>]) -> Option<usize> {
    let key = fingerprint.0.to_be_bytes();
    let score = |group: &str| stable_hash(&[&key, group.as_bytes()]);
    (0..groups.len()).max_by_key(|index| {
        let group = groups[*index].as_ref();
        (score(group), group)
    })
}
