//! Failure detection for the VMs in the VM list, by probes and gossip as in SWIM.
//!
//! Only VMs in the list are members. See section 4.10 of the design page.

mod heartbeat;
mod member;
mod probe_order;
mod update_queue;

use std::cmp::Reverse;
use std::time::{Duration, Instant};

pub use heartbeat::{Heartbeat, HeartbeatContent};
pub use member::{Member, MemberState, MemberUpdate};

use crate::catalog::{VmList, VmState};
use crate::ids::{FailureDomain, Incarnation, Revision, VmName, stable_hash};
use probe_order::ProbeOrder;
use update_queue::UpdateQueue;

/// Time between two probes that one daemon sends.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of probing and gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time after which a suspect member without a refutation is declared dead.
    pub suspect_timeout: Duration,
    /// Time between two extra probes of a member to which an RPC failed.
    pub extra_probe_interval: Duration,
    /// Maximum number of claims in one heartbeat.
    pub max_updates_per_heartbeat: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            suspect_timeout: Duration::from_secs(4),
            extra_probe_interval: PROBE_INTERVAL,
            max_updates_per_heartbeat: 8,
        }
    }
}

/// This daemon's view of the fleet.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    /// This daemon's claim about itself.
    local: MemberUpdate,
    /// True if a claim about a newer incarnation of this VM has been received.
    superseded: bool,
    list: VmList,
    /// The listed VMs except this daemon's own, sorted by name.
    members: Vec<Member>,
    order: ProbeOrder,
    queue: UpdateQueue,
}

impl Membership {
    /// Creates the view of a daemon that has no VM list yet.
    #[must_use]
    pub fn new(local_vm: VmName, incarnation: Incarnation, settings: MembershipSettings) -> Self {
        let local = MemberUpdate {
            vm: local_vm,
            incarnation,
            refutation: 0,
            state: MemberState::Alive,
        };
        let mut queue = UpdateQueue::default();
        queue.push(local.clone());
        Self {
            settings,
            local,
            superseded: false,
            list: VmList::default(),
            members: Vec::new(),
            order: ProbeOrder::default(),
            queue,
        }
    }

    /// Adopts a VM list; a list older than the current one changes nothing.
    pub fn set_list(&mut self, list: &VmList) {
        if list.revision() < self.list.revision() {
            return;
        }
        let mut known = std::mem::take(&mut self.members);
        let mut added = Vec::new();
        for vm in list.vms().iter().filter(|vm| vm.name != self.local.vm) {
            let found = known.binary_search_by(|member| member.vm().cmp(&vm.name));
            let mut member = if let Ok(index) = found {
                known.remove(index)
            } else {
                added.push(vm.name.clone());
                Member::new(vm.name.clone())
            };
            member.leaving_by_list = vm.state == VmState::Leaving;
            self.members.push(member);
        }
        for removed in known {
            self.queue.remove(removed.vm());
        }
        self.list = list.clone();
        self.order.update(|vm| list.get(vm).is_some(), added);
    }

    /// Returns the current VM list.
    #[must_use]
    pub fn list(&self) -> &VmList {
        &self.list
    }

    /// Returns this daemon's claim about itself.
    #[must_use]
    pub fn local_claim(&self) -> &MemberUpdate {
        &self.local
    }

    /// Returns the listed VMs except this daemon's own, sorted by name.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Finds a member by name.
    #[must_use]
    pub fn member(&self, vm: &VmName) -> Option<&Member> {
        self.position(vm).map(|index| &self.members[index])
    }

    /// Returns true if another process with this VM's name has started after this one.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the member to probe next. The caller calls this once per [`PROBE_INTERVAL`].
    ///
    /// Dead members are probed too, so that the fleet converges after a network partition.
    pub fn next_probe(&mut self, random: u64) -> Option<VmName> {
        let members = self.members.iter().map(|member| member.vm().clone());
        self.order.next(members, random)
    }

    /// Returns a member to which an RPC failed and that is due for an extra probe, if there is one.
    ///
    /// Without extra probes, one failed RPC could make a member unusable for a whole round of
    /// probes, which takes minutes in a large fleet.
    pub fn next_extra_probe(&mut self, now: Instant) -> Option<VmName> {
        let interval = self.settings.extra_probe_interval;
        let members = self.members.iter_mut();
        let due = members
            .filter(|m| m.state() != MemberState::Dead)
            .filter(|member| {
                let failed_at = member.failed_at;
                failed_at.is_some_and(|at| now.saturating_duration_since(at) >= interval)
            });
        let member = due.min_by_key(|member| member.failed_at)?;
        member.failed_at = Some(now);
        Some(member.vm().clone())
    }

    /// Creates the heartbeat for an exchange with a peer.
    pub fn heartbeat(&mut self, peer: &VmName, content: HeartbeatContent) -> Heartbeat {
        let mut updates = Vec::new();
        // Tell the peer that it is suspected or declared dead, because only then can it refute
        // this.
        let about_peer = self.member(peer).map(Member::claim);
        updates.extend(about_peer.filter(|claim| is_failure(claim.state)).cloned());
        let limit = self.settings.max_updates_per_heartbeat;
        let max = limit.saturating_sub(updates.len());
        let queued = self.take_updates(max);
        updates.extend(queued.into_iter().filter(|update| update.vm != *peer));
        Heartbeat {
            sender: self.local.clone(),
            vm_list_revision: content.vm_list_revision,
            settings_revision: content.settings_revision,
            settings_digest: content.settings_digest,
            updates,
            quarantines: content.quarantines,
        }
    }

    /// Takes up to `max` claims to piggyback on a message.
    ///
    /// Each claim is sent `3 * log2(n)` times in total, where `n` is the number of VMs.
    pub fn take_updates(&mut self, max: usize) -> Vec<MemberUpdate> {
        let transmissions = 3 * (self.members.len() + 1).max(2).ilog2();
        self.queue.take(max, transmissions)
    }

    /// Records a successful exchange with the sender of a heartbeat, whichever side started it.
    ///
    /// Returns false if the heartbeat is from an unlisted VM or from an earlier incarnation.
    pub fn record_exchange(&mut self, heartbeat: &Heartbeat, now: Instant) -> bool {
        self.apply(std::slice::from_ref(&heartbeat.sender), now);
        self.apply(&heartbeat.updates, now);
        let Some(index) = self.position(&heartbeat.sender.vm) else {
            return false;
        };
        let member = &mut self.members[index];
        if heartbeat.sender.incarnation != member.claim.incarnation {
            return false;
        }
        member.failed_at = None;
        member.acknowledged = member.acknowledged.max(heartbeat.vm_list_revision);
        true
    }

    /// Records a failed probe: the member becomes suspect, and unusable for this daemon.
    pub fn record_failed_probe(&mut self, vm: &VmName, now: Instant) {
        self.record_rpc_failure(vm, now);
        if let Some(claim) = self.member(vm).map(Member::claim) {
            let suspect = MemberUpdate {
                state: MemberState::Suspect,
                ..claim.clone()
            };
            self.apply(&[suspect], now);
        }
    }

    /// Records a failed RPC: the member is unusable for this daemon until a successful exchange.
    pub fn record_rpc_failure(&mut self, vm: &VmName, now: Instant) {
        if let Some(index) = self.position(vm) {
            self.members[index].failed_at.get_or_insert(now);
        }
    }

    /// Applies claims received from other daemons.
    pub fn apply(&mut self, updates: &[MemberUpdate], now: Instant) {
        for update in updates {
            if update.vm == self.local.vm {
                self.apply_to_self(update);
            } else if let Some(index) = self.position(&update.vm)
                && self.members[index].adopt(update, now)
            {
                self.queue.push(update.clone());
            }
        }
    }

    /// Declares the members dead that did not refute a suspicion in time; returns the new claims.
    ///
    /// A daemon that was paused may have missed refutations, so it must not call this before it has
    /// rejoined the fleet.
    pub fn expire_suspicions(&mut self, now: Instant) -> Vec<MemberUpdate> {
        let timeout = self.settings.suspect_timeout;
        let timed_out = self.members.iter().filter(|member| {
            let since = member.suspect_since;
            since.is_some_and(|since| now.saturating_duration_since(since) >= timeout)
        });
        let dead: Vec<MemberUpdate> = timed_out
            .map(|member| MemberUpdate {
                state: MemberState::Dead,
                ..member.claim.clone()
            })
            .collect();
        self.apply(&dead, now);
        dead
    }

    /// Marks this daemon as leaving; the next heartbeats announce it.
    pub fn leave(&mut self) {
        self.local.state = MemberState::Leaving;
        self.queue.push(self.local.clone());
    }

    /// Returns true if work may be routed to a VM. An unlisted VM is never usable.
    #[must_use]
    pub fn is_usable(&self, vm: &VmName) -> bool {
        if *vm == self.local.vm {
            let listed = self.list.get(vm);
            return self.local.state == MemberState::Alive
                && listed.is_some_and(|vm| vm.state == VmState::Live);
        }
        self.member(vm).is_some_and(Member::is_usable)
    }

    /// Returns the usable VMs, sorted by name, including this daemon's own if it is usable.
    #[must_use]
    pub fn usable_vms(&self) -> Vec<VmName> {
        let listed = self.list.vms().iter().map(|vm| &vm.name);
        listed.filter(|vm| self.is_usable(vm)).cloned().collect()
    }

    /// Returns the revision of the newest VM list that a member has acknowledged; 0 if there is
    /// none.
    #[must_use]
    pub fn acknowledged(&self, vm: &VmName) -> Revision {
        self.member(vm)
            .map_or_else(Revision::default, Member::acknowledged)
    }

    /// Returns the incarnation of a VM, or `None` if it is unknown.
    #[must_use]
    pub fn incarnation(&self, vm: &VmName) -> Option<Incarnation> {
        if *vm == self.local.vm {
            return Some(self.local.incarnation);
        }
        self.member(vm).and_then(Member::incarnation)
    }

    /// Returns the usable VMs of a failure domain that watch the settings, by rendezvous hashing.
    ///
    /// The result has at most `count` VMs, highest rank first. It is empty if the failure domain
    /// has no usable VM.
    #[must_use]
    pub fn settings_watchers(&self, failure_domain: &FailureDomain, count: usize) -> Vec<VmName> {
        let domain = failure_domain.as_str().as_bytes();
        let mut ranked: Vec<(Reverse<u64>, &VmName)> = self
            .list
            .vms()
            .iter()
            .filter(|vm| vm.failure_domain == *failure_domain && self.is_usable(&vm.name))
            .map(|vm| {
                let parts = [b"watcher", domain, vm.name.as_str().as_bytes()];
                (Reverse(stable_hash(&parts)), &vm.name)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
    }

    fn position(&self, vm: &VmName) -> Option<usize> {
        self.members
            .binary_search_by(|member| member.vm().cmp(vm))
            .ok()
    }

    fn apply_to_self(&mut self, claim: &MemberUpdate) {
        if claim.incarnation > self.local.incarnation {
            self.superseded = true;
        } else if claim.incarnation == self.local.incarnation && claim.supersedes(&self.local) {
            self.local.refutation = claim.refutation.saturating_add(1);
            self.queue.push(self.local.clone());
        }
    }
}

/// Returns true for the states that a live member has to refute.
fn is_failure(state: MemberState) -> bool {
    matches!(state, MemberState::Suspect | MemberState::Dead)
}
