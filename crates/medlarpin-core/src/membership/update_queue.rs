//! Claims to be piggybacked on heartbeats.

use crate::ids::VmName;
use crate::membership::MemberUpdate;

/// Claims with the number of transmissions of each, at most one claim per VM.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    /// Sorted by the number of transmissions, fewest first.
    entries: Vec<(u32, MemberUpdate)>,
}

impl UpdateQueue {
    /// Adds a claim, which replaces an earlier one about the same VM.
    pub(super) fn push(&mut self, update: MemberUpdate) {
        self.remove(&update.vm);
        self.entries.insert(0, (0, update));
    }

    /// Removes the claim about a VM.
    pub(super) fn remove(&mut self, vm: &VmName) {
        self.entries.retain(|(_, update)| update.vm != *vm);
    }

    /// Returns up to `max` claims with the fewest transmissions and counts one transmission of
    /// each.
    ///
    /// A claim is removed after `max_transmissions`.
    pub(super) fn take(&mut self, max: usize, max_transmissions: u32) -> Vec<MemberUpdate> {
        let count = max.min(self.entries.len());
        let mut taken = Vec::with_capacity(count);
        for (sent, update) in &mut self.entries[..count] {
            *sent += 1;
            taken.push(update.clone());
        }
        self.entries.retain(|(sent, _)| *sent < max_transmissions);
        self.entries.sort_by_key(|(sent, _)| *sent);
        taken
    }
}
