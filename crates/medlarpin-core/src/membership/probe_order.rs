//! Order in which members are probed.

use crate::ids::VmName;

/// Round robin in an order that is shuffled for each round.
///
/// Every member is probed once a round, so the time to the first probe of a member is bounded.
#[derive(Debug, Default)]
pub(super) struct ProbeOrder {
    /// Members still to be probed in this round, next one last.
    left: Vec<VmName>,
}

impl ProbeOrder {
    /// Returns the next member; starts a new round over `members` when the last one is used up.
    pub(super) fn next(
        &mut self,
        members: impl Iterator<Item = VmName>,
        random: u64,
    ) -> Option<VmName> {
        if self.left.is_empty() {
            self.left.extend(members);
            shuffle(&mut self.left, random);
        }
        self.left.pop()
    }

    /// Drops members that are not listed any more and adds new ones to the end of the round.
    pub(super) fn update(&mut self, is_listed: impl Fn(&VmName) -> bool, added: Vec<VmName>) {
        self.left.retain(is_listed);
        if !self.left.is_empty() {
            self.left.splice(0..0, added);
        }
    }
}

/// Shuffles by Fisher and Yates's algorithm with numbers drawn from the seed.
fn shuffle(names: &mut [VmName], mut seed: u64) {
    for last in (1..names.len()).rev() {
        seed = split_mix(seed);
        let bound = last as u64 + 1;
        let picked = usize::try_from(seed % bound).unwrap_or(last);
        names.swap(last, picked);
    }
}

/// Returns the next number of the `SplitMix64` generator.
fn split_mix(state: u64) -> u64 {
    let state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
