//! What the platform publishes.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

/// State of a VM in the published list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmEntryState {
    /// The VM is in service.
    Live,
    /// The VM is about to leave.
    Leaving,
}

/// One VM of the published list.
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
    /// Whether the VM is about to leave.
    pub state: VmEntryState,
}

/// How the fake behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformMode {
    /// Serves the current tree and list.
    Up,
    /// Refuses connections; open ones are closed without a reply.
    Down,
    /// Serves the tree and list as of the call, whatever is set later.
    Stale,
    /// Closes calls for settings without a reply and serves the VM list.
    SettingsDown,
}

/// The published tree and VM list at one moment.
#[derive(Debug, Clone, Default)]
pub struct Snapshot(pub(super) Arc<Published>);

#[derive(Debug, Clone, Default)]
pub(super) struct Published {
    pub(super) revision: u64,
    pub(super) subtrees: BTreeMap<String, String>,
    pub(super) vms_revision: u64,
    pub(super) vms: Vec<VmEntry>,
}
