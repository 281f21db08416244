//! State that the platform publishes.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

/// State of a VM in the published list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmEntryState {
    /// The VM is in service.
    Live,
    /// The VM is about to leave the fleet.
    Leaving,
}

/// A VM in the published list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: String,
    /// Address of the daemon's RPC listener.
    pub rpc_address: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Region of the VM.
    pub region: String,
    /// State of the VM.
    pub state: VmEntryState,
}

/// Mode of the fake platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformMode {
    /// Serves the current tree and VM list.
    Up,
    /// Refuses new connections and closes open ones without a reply.
    Down,
    /// Serves the tree and VM list as of the switch to this mode, without later changes.
    Stale,
    /// Closes the connections of settings requests without a reply, but serves the VM list.
    SettingsDown,
}

/// The published tree and VM list at one point in time.
#[derive(Debug, Clone, Default)]
pub struct Snapshot(pub(super) Arc<Published>);

#[derive(Debug, Clone, Default)]
pub(super) struct Published {
    pub(super) revision: u64,
    pub(super) subtrees: BTreeMap<String, String>,
    pub(super) vms_revision: u64,
    pub(super) vms: Vec<VmEntry>,
}
