//! A daemon's view of the fleet: membership, settings tree and group ownership.

use std::sync::Arc;

use medlarpin_core::membership::{HeartbeatContent, Membership, MembershipSettings};
use medlarpin_core::ownership::HandoverGate;
use medlarpin_core::prelude::*;
use medlarpin_core::settings_tree::SettingsTree;
use settings::{DaemonSettings, Subtree};

use crate::leafs::Holding;

/// Time after which an unfinished fetch no longer keeps the daemon from asking a second peer.
///
/// Well below the 6 s within which a settings change must be in force everywhere.
const FETCH_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The daemon's knowledge of the fleet.
#[derive(Debug)]
pub struct FleetTable {
    /// Members and their states.
    pub membership: Membership,
    /// Decides to which groups this daemon may open connections.
    pub handover: HandoverGate,
    /// The settings tree in force.
    pub tree: Arc<SettingsTree<Arc<Subtree>>>,
    /// Newest settings revision being fetched from a peer, and the start of the fetch.
    pub fetching: Option<(Revision, Instant)>,
    /// Time when the settings tree was accepted.
    pub tree_accepted_at: Option<Instant>,
    /// Number of settings trees received with the current revision but a different digest.
    pub conflicts: u64,
    /// Newest VM list that this daemon has acknowledged, which means that it no longer uses
    /// anything that the list assigns to other VMs.
    pub acknowledged: Revision,
    /// Whether all other listed VMs had acknowledged the list when the shares were last computed.
    pub shares_acknowledged: bool,
    /// Newest VM list for which the missing histories of held groups were requested from peers.
    pub history_requested: Revision,
    /// Current holdings, as last passed to the leaf table.
    pub holdings: Vec<Holding>,
    /// VMs that reported that no state of theirs depends on an earlier process of this VM, sorted.
    pub independent_vms: Vec<VmName>,
    /// VMs that left the list, with the time of their removal or their last heartbeat since.
    pub removed_vms: Vec<(VmName, Instant)>,
}

impl FleetTable {
    /// Creates the table of a daemon that has just started.
    #[must_use]
    pub fn new(settings: &DaemonSettings, incarnation: Incarnation) -> Self {
        let membership_settings = MembershipSettings {
            suspect_timeout: Duration::from_millis(settings.suspect_timeout_ms),
            ..MembershipSettings::default()
        };
        let local_vm = settings.vm.clone();
        Self {
            membership: Membership::new(local_vm.clone(), incarnation, membership_settings),
            handover: HandoverGate::new(local_vm),
            tree: Arc::new(SettingsTree::new()),
            fetching: None,
            tree_accepted_at: None,
            conflicts: 0,
            acknowledged: Revision::default(),
            shares_acknowledged: false,
            history_requested: Revision::default(),
            holdings: Vec::new(),
            independent_vms: Vec::new(),
            removed_vms: Vec::new(),
        }
    }

    /// Returns the part of a heartbeat that describes this daemon.
    #[must_use]
    pub fn heartbeat_content(&self, quarantines: Vec<(Fingerprint, Duration)>) -> HeartbeatContent {
        HeartbeatContent {
            vm_list_revision: self.acknowledged,
            settings_revision: self.tree.revision(),
            settings_digest: self.tree.digest(),
            quarantines,
        }
    }

    /// Returns true and records the start of a fetch if an announced settings revision should be
    /// fetched now.
    ///
    /// Several peers announce each change; a second fetch is started only if the first takes too
    /// long.
    pub fn start_fetch(&mut self, announced: Revision, now: Instant) -> bool {
        let is_running = self.fetching.is_some_and(|(revision, since)| {
            revision >= announced && now.saturating_duration_since(since) < FETCH_RETRY_AFTER
        });
        let should_fetch = announced > self.tree.revision() && !is_running;
        if should_fetch {
            self.fetching = Some((announced, now));
        }
        should_fetch
    }

    /// Returns true if all other listed VMs have acknowledged the current VM list.
    #[must_use]
    pub fn all_acknowledged(&self) -> bool {
        let revision = self.membership.list().revision();
        let mut members = self.membership.members().iter();
        members.all(|member| member.acknowledged() >= revision)
    }

    /// Returns true if no other listed VM has state that depends on an earlier process of this VM.
    #[must_use]
    pub fn all_independent(&self) -> bool {
        let mut members = self.membership.members().iter();
        members.all(|member| self.independent_vms.binary_search(member.vm()).is_ok())
    }

    /// Records that a VM has no state that depends on an earlier process of this VM.
    pub fn record_independent(&mut self, vm: &VmName) {
        if let Err(index) = self.independent_vms.binary_search(vm) {
            self.independent_vms.insert(index, vm.clone());
        }
    }
}
