//! Order in which members are probed.

use crate::ids::VmName;

/// Round robin over the members, in an order that is shuffled for each round.
///
/// Every member is probed once per round, which bounds the time until a failure is detected.
#[derive(Debug, Default)]
pub(super) struct ProbeOrder {
    /// Members not probed in this round yet; the last one is next.
    remaining: Vec<VmName>,
}

impl ProbeOrder {
    /// Returns the next member; starts a new round over `members` if the last round is complete.
    pub(super) fn next(
        &mut self,
        members: impl Iterator<Item = VmName>,
        random: u64,
    ) -> Option<VmName> {
        if self.remaining.is_empty() {
            self.remaining.extend(members);
            shuffle(&mut self.remaining, random);
        }
        self.remaining.pop()
    }

    /// Removes the members that are no longer listed and adds new ones at the end of the round.
    pub(super) fn update(&mut self, is_listed: impl Fn(&VmName) -> bool, added: Vec<VmName>) {
        self.remaining.retain(is_listed);
        if !self.remaining.is_empty() {
            self.remaining.splice(0..0, added);
        }
    }
}

/// Shuffles by the Fisher-Yates algorithm, with random numbers derived from the seed.
fn shuffle(names: &mut [VmName], mut seed: u64) {
    for last in (1..names.len()).rev() {
        seed = split_mix(seed);
        let bound = last as u64 + 1;
        let chosen = usize::try_from(seed % bound).unwrap_or(last);
        names.swap(last, chosen);
    }
}

/// Returns the next number of the `SplitMix64` generator.
fn split_mix(state: u64) -> u64 {
    let state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
