//! Liveness of the VMs in the VM list, by probes and gossip in the style of SWIM.
//!
//! Only listed VMs are members. See section 4.10 of the design page.

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

/// Time between two probes of one daemon.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Parameters of probing and gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time for which a member is suspect before it is dead.
    pub suspect_timeout: Duration,
    /// Time between two extra probes of members that this daemon failed to reach.
    pub retry_interval: Duration,
    /// Most claims in one heartbeat.
    pub max_updates_per_heartbeat: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            suspect_timeout: Duration::from_secs(4),
            retry_interval: PROBE_INTERVAL,
            max_updates_per_heartbeat: 8,
        }
    }
}

/// This daemon's view of the fleet.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    /// This daemon's claim about itself.
    me: MemberUpdate,
    /// True if a newer incarnation with this VM's name has been heard of.
    superseded: bool,
    list: VmList,
    /// The listed VMs but for the own one, sorted by name.
    members: Vec<Member>,
    order: ProbeOrder,
    queue: UpdateQueue,
}

impl Membership {
    /// Creates the view of a daemon that has no VM list yet.
    #[must_use]
    pub fn new(me: VmName, incarnation: Incarnation, settings: MembershipSettings) -> Self {
        let me = MemberUpdate {
            vm: me,
            incarnation,
            refutation: 0,
            state: MemberState::Alive,
        };
        let mut queue = UpdateQueue::default();
        queue.push(me.clone());
        Self {
            settings,
            me,
            superseded: false,
            list: VmList::default(),
            members: Vec::new(),
            order: ProbeOrder::default(),
            queue,
        }
    }

    /// Takes over a new VM list; an older one than the current changes nothing.
    pub fn set_list(&mut self, list: &VmList) {
        if list.revision() < self.list.revision() {
            return;
        }
        let mut known = std::mem::take(&mut self.members);
        let mut added = Vec::new();
        for vm in list.vms().iter().filter(|vm| vm.name != self.me.vm) {
            let found = known.binary_search_by(|member| member.vm().cmp(&vm.name));
            let mut member = if let Ok(index) = found {
                known.remove(index)
            } else {
                added.push(vm.name.clone());
                Member::unheard(vm.name.clone())
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

    /// Returns the VM list in use.
    #[must_use]
    pub fn list(&self) -> &VmList {
        &self.list
    }

    /// Returns this daemon's claim about itself.
    #[must_use]
    pub fn local_claim(&self) -> &MemberUpdate {
        &self.me
    }

    /// Returns the listed VMs but for the own one, sorted by name.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Finds a member by name.
    #[must_use]
    pub fn member(&self, vm: &VmName) -> Option<&Member> {
        self.position(vm).map(|index| &self.members[index])
    }

    /// Returns true if another process has started with this VM's name since this one did.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the member to probe next; called once each [`PROBE_INTERVAL`].
    ///
    /// Dead members are probed too, so that a partitioned fleet reunites.
    pub fn next_probe(&mut self, random: u64) -> Option<VmName> {
        let members = self.members.iter().map(|member| member.vm().clone());
        self.order.next(members, random)
    }

    /// Returns a member that this daemon failed to reach and should probe beside the round.
    ///
    /// Without this, a member that is unusable after one RPC failure could stay so for a whole round
    /// of probes, which takes minutes in a large fleet.
    pub fn next_retry(&mut self, now: Instant) -> Option<VmName> {
        let interval = self.settings.retry_interval;
        let unreached = self.members.iter_mut();
        let due = unreached
            .filter(|m| m.state() != MemberState::Dead)
            .filter(|member| {
                let failed_at = member.failed_at;
                failed_at.is_some_and(|at| now.saturating_duration_since(at) >= interval)
            });
        let member = due.min_by_key(|member| member.failed_at)?;
        member.failed_at = Some(now);
        Some(member.vm().clone())
    }

    /// Builds the heartbeat for an exchange with a peer.
    pub fn heartbeat(&mut self, peer: &VmName, content: HeartbeatContent) -> Heartbeat {
        let mut updates = Vec::new();
        // A peer can only refute a verdict that it hears of.
        let doubted = self.member(peer).map(Member::claim);
        updates.extend(doubted.filter(|claim| is_doubt(claim.state)).cloned());
        let limit = self.settings.max_updates_per_heartbeat;
        let most = limit.saturating_sub(updates.len());
        let queued = self.take_updates(most);
        updates.extend(queued.into_iter().filter(|update| update.vm != *peer));
        Heartbeat {
            sender: self.me.clone(),
            vm_list_revision: content.vm_list_revision,
            settings_revision: content.settings_revision,
            settings_digest: content.settings_digest,
            updates,
            quarantines: content.quarantines,
        }
    }

    /// Takes up to `max` claims to piggyback; each is sent `3 * log2(n)` times in all.
    pub fn take_updates(&mut self, max: usize) -> Vec<MemberUpdate> {
        let transmissions = 3 * (self.members.len() + 1).max(2).ilog2();
        self.queue.take(max, transmissions)
    }

    /// Records a successful exchange with the sender of a heartbeat, whichever side started it.
    ///
    /// Returns false if the heartbeat came from an unlisted VM or an earlier incarnation.
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

    /// Records a failed probe: the member becomes suspect and locally unusable.
    pub fn record_failed_probe(&mut self, vm: &VmName, now: Instant) {
        self.record_rpc_failure(vm, now);
        if let Some(claim) = self.member(vm).map(Member::claim) {
            let suspicion = MemberUpdate {
                state: MemberState::Suspect,
                ..claim.clone()
            };
            self.apply(&[suspicion], now);
        }
    }

    /// Makes a peer unusable for this daemon's routing until a later successful exchange.
    pub fn record_rpc_failure(&mut self, vm: &VmName, now: Instant) {
        if let Some(index) = self.position(vm) {
            self.members[index].failed_at.get_or_insert(now);
        }
    }

    /// Applies claims heard from others.
    pub fn apply(&mut self, updates: &[MemberUpdate], now: Instant) {
        for update in updates {
            if update.vm == self.me.vm {
                self.apply_to_self(update);
            } else if let Some(index) = self.position(&update.vm)
                && self.members[index].adopt(update, now)
            {
                self.queue.push(update.clone());
            }
        }
    }

    /// Declares members dead whose suspicion was not refuted in time; returns these verdicts.
    ///
    /// A paused daemon has missed refutations, so it must not call this before it has rejoined.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberUpdate> {
        let suspicion = self.settings.suspect_timeout;
        let overdue = self.members.iter().filter(|member| {
            let since = member.suspect_since;
            since.is_some_and(|since| now.saturating_duration_since(since) >= suspicion)
        });
        let verdicts: Vec<MemberUpdate> = overdue
            .map(|member| MemberUpdate {
                state: MemberState::Dead,
                ..member.claim.clone()
            })
            .collect();
        self.apply(&verdicts, now);
        verdicts
    }

    /// Announces this daemon's shutdown with the next exchanges.
    pub fn leave(&mut self) {
        self.me.state = MemberState::Leaving;
        self.queue.push(self.me.clone());
    }

    /// Returns true if work may be routed to a VM; an unlisted VM is never usable.
    #[must_use]
    pub fn is_usable(&self, vm: &VmName) -> bool {
        if *vm == self.me.vm {
            let listed = self.list.get(vm);
            return self.me.state == MemberState::Alive
                && listed.is_some_and(|vm| vm.state == VmState::Live);
        }
        self.member(vm).is_some_and(Member::is_usable)
    }

    /// Returns the usable VMs, sorted by name; with the own one, if it is usable.
    #[must_use]
    pub fn usable_vms(&self) -> Vec<VmName> {
        let listed = self.list.vms().iter().map(|vm| &vm.name);
        listed.filter(|vm| self.is_usable(vm)).cloned().collect()
    }

    /// Returns the newest VM list that a member has acknowledged; 0 if it acknowledged none.
    #[must_use]
    pub fn acknowledged(&self, vm: &VmName) -> Revision {
        self.member(vm)
            .map_or_else(Revision::default, Member::acknowledged)
    }

    /// Returns the known incarnation of a VM.
    #[must_use]
    pub fn incarnation(&self, vm: &VmName) -> Option<Incarnation> {
        if *vm == self.me.vm {
            return Some(self.me.incarnation);
        }
        self.member(vm).and_then(Member::incarnation)
    }

    /// Returns the usable VMs of a failure domain that watch the settings, best first.
    ///
    /// Empty if the failure domain has no usable listed VM.
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
        if claim.incarnation > self.me.incarnation {
            self.superseded = true;
        } else if claim.incarnation == self.me.incarnation && claim.supersedes(&self.me) {
            self.me.refutation = claim.refutation.saturating_add(1);
            self.queue.push(self.me.clone());
        }
    }
}

fn is_doubt(state: MemberState) -> bool {
    matches!(state, MemberState::Suspect | MemberState::Dead)
}
