//! Claims that wait to be piggybacked on exchanges.

use crate::ids::VmName;
use crate::membership::MemberUpdate;

/// Claims with the number of times that each was sent, at most one for each VM.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    /// Fewest transmissions first.
    entries: Vec<(u32, MemberUpdate)>,
}

impl UpdateQueue {
    /// Adds a claim; it replaces an older one about the same VM.
    pub(super) fn push(&mut self, update: MemberUpdate) {
        self.remove(&update.vm);
        self.entries.insert(0, (0, update));
    }

    /// Drops the claim about a VM.
    pub(super) fn remove(&mut self, vm: &VmName) {
        self.entries.retain(|(_, update)| update.vm != *vm);
    }

    /// Takes up to `max` of the least sent claims and counts a transmission of each.
    pub(super) fn take(&mut self, max: usize, transmissions: u32) -> Vec<MemberUpdate> {
        let count = max.min(self.entries.len());
        let mut taken = Vec::with_capacity(count);
        for (sent, update) in &mut self.entries[..count] {
            *sent += 1;
            taken.push(update.clone());
        }
        self.entries.retain(|(sent, _)| *sent < transmissions);
        self.entries.sort_by_key(|(sent, _)| *sent);
        taken
    }
}
