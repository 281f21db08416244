use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::ids::{Fingerprint, stable_hash};

/// Number of daemons that collect the crash reports of a fingerprint; with two, one may fail.
pub const REPORT_OWNERS: usize = 2;

/// Returns the daemons that collect the crash reports of a fingerprint, by rendezvous hashing.
///
/// A request that crashes leafs may come to any daemon. Its reports meet at the owners, so that not each
/// of them has to be told to all daemons.
#[must_use]
pub fn report_owners(
    fingerprint: Fingerprint,
    daemons: impl Iterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    let key = fingerprint.0.to_le_bytes();
    let score = |daemon: &SocketAddr| stable_hash(&[&key, daemon.to_string().as_bytes()]);
    let mut ranked: Vec<(u64, SocketAddr)> =
        daemons.map(|daemon| (score(&daemon), daemon)).collect();
    ranked.sort_unstable_by_key(|ranked| Reverse(*ranked));
    ranked.truncate(REPORT_OWNERS);
    ranked.into_iter().map(|(_, daemon)| daemon).collect()
}
