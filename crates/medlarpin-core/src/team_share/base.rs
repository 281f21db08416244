//! The daemon's own part of a limit while VM lists change.

use std::time::{Duration, Instant};

use super::base_share;
use crate::catalog::VmList;
use crate::ids::{TeamName, VmName};

/// Base share in force, which falls at once and rises only when no other daemon uses the units.
#[derive(Debug, Clone)]
pub(super) struct Base {
    team: TeamName,
    me: VmName,
    limit_units: u64,
    list: Option<VmList>,
    /// True once every other listed VM has acknowledged a list with this VM.
    joined: bool,
    /// Base share under the newest list, zero until joined; computed once for each change, because
    /// `advance` runs for each query.
    target: u64,
    /// At most `target`.
    units: u64,
    /// Loans of an earlier process on this VM may last until then.
    started_at: Instant,
    /// Units of lost VMs may be in use until then.
    lost_until: Option<Instant>,
}

impl Base {
    pub(super) fn new(team: TeamName, me: VmName, limit_units: u64, started_at: Instant) -> Self {
        Self {
            team,
            me,
            limit_units,
            list: None,
            joined: false,
            target: 0,
            units: 0,
            started_at,
            lost_until: None,
        }
    }

    pub(super) fn me(&self) -> &VmName {
        &self.me
    }

    pub(super) fn team(&self) -> &TeamName {
        &self.team
    }

    pub(super) fn limit_units(&self) -> u64 {
        self.limit_units
    }

    pub(super) fn set_limit(&mut self, limit_units: u64) {
        // The daemon repeats its limits every 100 ms, and aiming hashes the whole list.
        if limit_units != self.limit_units {
            self.limit_units = limit_units;
            self.aim();
        }
    }

    pub(super) fn units(&self) -> u64 {
        self.units
    }

    /// Returns the names of the other listed VMs.
    pub(super) fn others(&self) -> impl Iterator<Item = &VmName> {
        let vms = self.list.iter().flat_map(VmList::vms);
        vms.map(|vm| &vm.name).filter(|name| **name != self.me)
    }

    /// Takes in the newest list; an older one changes nothing.
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
                self.lost_until = Some(now + delay);
            }
        }
        let is_listed = list.get(&self.me).is_some();
        let joined = is_listed && (self.joined || all_acknowledged);
        let is_new = self.list.as_ref().map(VmList::revision) != Some(list.revision());
        if is_new {
            self.list = Some(list.clone());
        }
        if is_new || joined != self.joined {
            self.joined = joined;
            self.aim();
        }
        self.advance(delay, now);
    }

    /// Moves the base share to its target; a rise waits until it is safe.
    pub(super) fn advance(&mut self, delay: Duration, now: Instant) {
        let may_rise = now >= self.started_at + delay && !self.waits_for_lost(now);
        self.units = if may_rise {
            self.target
        } else {
            self.units.min(self.target)
        };
    }

    pub(super) fn waits_for_lost(&self, now: Instant) -> bool {
        self.lost_until.is_some_and(|until| now < until)
    }

    /// Ends the wait after the start.
    pub(super) fn end_start(&mut self, delay: Duration, now: Instant) {
        if let Some(past) = now.checked_sub(delay) {
            self.started_at = self.started_at.min(past);
        }
    }

    fn aim(&mut self) {
        self.target = match &self.list {
            Some(list) if self.joined => base_share(self.limit_units, &self.team, &self.me, list),
            _ => 0,
        };
    }
}
