//! The daemon's base share of a limit: its part by the VM list, before loans and leases.

use std::time::{Duration, Instant};

use super::base_share;
use crate::catalog::VmList;
use crate::ids::{TeamName, VmName};

/// Base share in force. It follows a falling target at once, and a rising one only after no other
/// daemon can still use the units.
#[derive(Debug, Clone)]
pub(super) struct BaseShare {
    team: TeamName,
    local_vm: VmName,
    limit_units: u64,
    list: Option<VmList>,
    /// True once every other listed VM has acknowledged a list that includes this VM; false again
    /// if a list does not include it.
    joined: bool,
    /// Base share by the newest list; zero until `joined`. Cached, because `advance` runs for each
    /// query.
    target: u64,
    /// Base share in force, at most `target`.
    units: u64,
    /// Start of this process. For the raise delay after it, loans of an earlier process on this VM
    /// may be in use.
    started_at: Instant,
    /// Time until which the units of removed VMs may be in use.
    removed_until: Option<Instant>,
}

impl BaseShare {
    pub(super) fn new(
        team: TeamName,
        local_vm: VmName,
        limit_units: u64,
        started_at: Instant,
    ) -> Self {
        Self {
            team,
            local_vm,
            limit_units,
            list: None,
            joined: false,
            target: 0,
            units: 0,
            started_at,
            removed_until: None,
        }
    }

    pub(super) fn local_vm(&self) -> &VmName {
        &self.local_vm
    }

    pub(super) fn team(&self) -> &TeamName {
        &self.team
    }

    pub(super) fn limit_units(&self) -> u64 {
        self.limit_units
    }

    pub(super) fn set_limit(&mut self, limit_units: u64) {
        // The daemon sets its limits every 100 ms, and the target depends on a hash of every listed
        // VM.
        if limit_units != self.limit_units {
            self.limit_units = limit_units;
            self.update_target();
        }
    }

    pub(super) fn units(&self) -> u64 {
        self.units
    }

    /// Returns the names of the other listed VMs.
    pub(super) fn others(&self) -> impl Iterator<Item = &VmName> {
        let vms = self.list.iter().flat_map(VmList::vms);
        vms.map(|vm| &vm.name)
            .filter(|name| **name != self.local_vm)
    }

    /// Adopts a VM list; a list older than the current one changes nothing.
    pub(super) fn set_list(
        &mut self,
        list: &VmList,
        all_acknowledged: bool,
        delay: Duration,
        now: Instant,
    ) {
        if let Some(known) = &self.list {
            if list.revision() < known.revision() {
                return;
            }
            let is_newer = list.revision() > known.revision();
            if is_newer && known.vms().iter().any(|vm| list.get(&vm.name).is_none()) {
                self.removed_until = Some(now + delay);
            }
        }
        let is_listed = list.get(&self.local_vm).is_some();
        let joined = is_listed && (self.joined || all_acknowledged);
        let is_new = self.list.as_ref().map(VmList::revision) != Some(list.revision());
        if is_new {
            self.list = Some(list.clone());
        }
        if is_new || joined != self.joined {
            self.joined = joined;
            self.update_target();
        }
        self.advance(delay, now);
    }

    /// Sets the base share to its target; a rise is delayed until it is safe.
    pub(super) fn advance(&mut self, delay: Duration, now: Instant) {
        let may_rise = now >= self.started_at + delay && !self.waits_for_removed(now);
        self.units = if may_rise {
            self.target
        } else {
            self.units.min(self.target)
        };
    }

    pub(super) fn waits_for_removed(&self, now: Instant) -> bool {
        self.removed_until.is_some_and(|until| now < until)
    }

    /// Skips the rest of the wait after the start.
    pub(super) fn skip_start_delay(&mut self, delay: Duration, now: Instant) {
        if let Some(earlier) = now.checked_sub(delay) {
            self.started_at = self.started_at.min(earlier);
        }
    }

    fn update_target(&mut self) {
        self.target = match &self.list {
            Some(list) if self.joined => {
                base_share(self.limit_units, &self.team, &self.local_vm, list)
            }
            _ => 0,
        };
    }
}
