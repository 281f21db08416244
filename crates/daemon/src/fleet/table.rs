//! Membership, settings tree and ownership of one daemon.

use std::sync::Arc;

use medlarpin_core::membership::{HeartbeatContent, Membership, MembershipSettings};
use medlarpin_core::ownership::HandoverGate;
use medlarpin_core::prelude::*;
use medlarpin_core::settings_tree::SettingsTree;
use settings::{DaemonSettings, Subtree};

use crate::leafs::Holding;

/// Time after which a second peer is asked for a revision; well within the 6 s for a change.
const SECOND_FETCH_AFTER: Duration = Duration::from_millis(500);

/// What the daemon knows about the fleet.
#[derive(Debug)]
pub struct FleetTable {
    /// Members and their state.
    pub membership: Membership,
    /// Which groups may be opened.
    pub handover: HandoverGate,
    /// The settings tree in force.
    pub tree: Arc<SettingsTree<Arc<Subtree>>>,
    /// Newest revision being fetched from a peer and since when.
    pub fetching: Option<(Revision, Instant)>,
    /// When the tree was accepted.
    pub tree_accepted_at: Option<Instant>,
    /// Trees of the held revision with other texts.
    pub conflicts: u64,
    /// Newest VM list that this daemon has acknowledged: it no longer uses anything that the list
    /// takes away.
    pub acknowledged: Revision,
    /// Whether every other listed VM had acknowledged the list when the shares were last computed.
    pub shares_acknowledged: bool,
    /// Newest VM list for which peers were asked for the histories that held groups lack.
    pub history_requested: Revision,
    /// Leafs held at present, as given to the leaf table.
    pub holdings: Vec<Holding>,
    /// VMs that reported that nothing of theirs depends on an earlier process of this VM, sorted.
    pub clear: Vec<VmName>,
    /// VMs that left the list, and when they left it or last gave a sign.
    pub removed: Vec<(VmName, Instant)>,
}

impl FleetTable {
    /// Creates the table of a daemon that has just started.
    #[must_use]
    pub fn new(settings: &DaemonSettings, incarnation: Incarnation) -> Self {
        let membership_settings = MembershipSettings {
            suspicion: Duration::from_millis(settings.suspect_timeout_ms),
            ..MembershipSettings::default()
        };
        let me = settings.vm.clone();
        Self {
            membership: Membership::new(me.clone(), incarnation, membership_settings),
            handover: HandoverGate::new(me),
            tree: Arc::new(SettingsTree::new()),
            fetching: None,
            tree_accepted_at: None,
            conflicts: 0,
            acknowledged: Revision::default(),
            shares_acknowledged: false,
            history_requested: Revision::default(),
            holdings: Vec::new(),
            clear: Vec::new(),
            removed: Vec::new(),
        }
    }

    /// Returns what a heartbeat tells about this daemon.
    #[must_use]
    pub fn heartbeat_content(&self, quarantines: Vec<(Fingerprint, Duration)>) -> HeartbeatContent {
        HeartbeatContent {
            vm_list_revision: self.acknowledged,
            settings_revision: self.tree.revision(),
            settings_digest: self.tree.digest(),
            quarantines,
        }
    }

    /// Decides whether a revision that a peer announced is to be fetched now.
    ///
    /// Several peers announce each change, and one fetch is enough unless it takes long.
    pub fn start_fetch(&mut self, announced: Revision, now: Instant) -> bool {
        let running = self.fetching.is_some_and(|(revision, since)| {
            revision >= announced && now.saturating_duration_since(since) < SECOND_FETCH_AFTER
        });
        let wanted = announced > self.tree.revision() && !running;
        if wanted {
            self.fetching = Some((announced, now));
        }
        wanted
    }

    /// Returns true if every other listed VM has acknowledged the VM list in use.
    #[must_use]
    pub fn all_acknowledged(&self) -> bool {
        let revision = self.membership.list().revision();
        let mut members = self.membership.members().iter();
        members.all(|member| member.acknowledged() >= revision)
    }

    /// Returns true if every other listed VM is clear of earlier processes of this VM.
    #[must_use]
    pub fn all_clear(&self) -> bool {
        let mut members = self.membership.members().iter();
        members.all(|member| self.clear.binary_search(member.vm()).is_ok())
    }

    /// Records that a VM is clear of earlier processes of this VM.
    pub fn record_clear(&mut self, vm: &VmName) {
        if let Err(index) = self.clear.binary_search(vm) {
            self.clear.insert(index, vm.clone());
        }
    }
}
