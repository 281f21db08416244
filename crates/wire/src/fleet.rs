//! Messages about members, settings and the VM list.

use std::net::SocketAddr;

use medlarpin_core::membership::{Heartbeat, MemberState, MemberUpdate};
use medlarpin_core::prelude::*;
use medlarpin_core::settings_tree::{SettingsText, TransferEntry, TransferTree};

use crate::error::{WireError, check_length};
use crate::peer_capnp::{self, heartbeat, member_update, settings_tree, vm_list};
use crate::query::{list_length, saturating_millis};

/// Maximum number of member updates, and of quarantines, in one heartbeat.
const MAX_GOSSIP_ENTRIES: u32 = 4096;

/// Maximum number of VMs in one list.
const MAX_VMS: u32 = 1 << 16;

/// Maximum number of texts in one settings tree.
const MAX_TEXTS: u32 = 1 << 20;

/// A heartbeat with the details that concern only its sender and its receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatMessage {
    /// Contents of the heartbeat.
    pub heartbeat: Heartbeat,
    /// Address of the sender's RPC listener.
    pub sender_address: SocketAddr,
    /// True if the sender depends on no earlier process of the receiver's VM: it holds no lease of
    /// a team's units from that VM and waits for no units of removed VMs.
    pub clear_of_receiver: bool,
}

/// Parses a heartbeat.
///
/// # Errors
///
/// Fails if the message is malformed or too long.
pub fn read_heartbeat(reader: heartbeat::Reader<'_>) -> Result<HeartbeatMessage, WireError> {
    let update_list = reader.get_updates()?;
    check_length("updates", update_list.len(), MAX_GOSSIP_ENTRIES)?;
    let mut updates = Vec::with_capacity(update_list.len() as usize);
    for update in update_list {
        updates.push(read_update(update)?);
    }
    let quarantine_list = reader.get_quarantines()?;
    check_length("quarantines", quarantine_list.len(), MAX_GOSSIP_ENTRIES)?;
    let quarantines = quarantine_list
        .iter()
        .map(|entry| {
            let left = Duration::from_millis(entry.get_time_left_ms());
            (Fingerprint(entry.get_fingerprint()), left)
        })
        .collect();
    Ok(HeartbeatMessage {
        heartbeat: Heartbeat {
            sender: read_update(reader.get_sender()?)?,
            vm_list_revision: Revision(reader.get_vm_list_revision()),
            settings_revision: Revision(reader.get_settings_revision()),
            settings_digest: reader.get_settings_digest(),
            updates,
            quarantines,
        },
        sender_address: reader.get_sender_address()?.to_str()?.parse()?,
        clear_of_receiver: reader.get_clear_of_receiver(),
    })
}

/// Writes a heartbeat.
pub fn write_heartbeat(message: &HeartbeatMessage, mut builder: heartbeat::Builder<'_>) {
    let heartbeat = &message.heartbeat;
    write_update(&heartbeat.sender, builder.reborrow().init_sender());
    builder.set_vm_list_revision(heartbeat.vm_list_revision.0);
    builder.set_settings_revision(heartbeat.settings_revision.0);
    builder.set_settings_digest(heartbeat.settings_digest);
    builder.set_sender_address(message.sender_address.to_string());
    builder.set_clear_of_receiver(message.clear_of_receiver);
    let mut updates = builder
        .reborrow()
        .init_updates(list_length(&heartbeat.updates));
    for (index, update) in (0..).zip(&heartbeat.updates) {
        write_update(update, updates.reborrow().get(index));
    }
    let mut quarantines = builder.init_quarantines(list_length(&heartbeat.quarantines));
    for (index, (fingerprint, left)) in (0..).zip(&heartbeat.quarantines) {
        let mut entry = quarantines.reborrow().get(index);
        entry.set_fingerprint(fingerprint.0);
        entry.set_time_left_ms(saturating_millis(*left));
    }
}

/// Parses a settings tree; `None` if the peer has no revision above the requested one.
///
/// # Errors
///
/// Fails if the message is malformed or too long.
pub fn read_settings_tree(
    reader: settings_tree::Reader<'_>,
) -> Result<Option<TransferTree>, WireError> {
    if reader.get_revision() == 0 {
        return Ok(None);
    }
    let text_list = reader.get_texts()?;
    check_length("texts", text_list.len(), MAX_TEXTS)?;
    let mut entries = Vec::with_capacity(text_list.len() as usize);
    for entry in text_list {
        entries.push(TransferEntry {
            path: entry.get_path()?.to_string()?,
            in_force: read_text(entry.get_revision(), entry.get_text()?)?,
            rejected: read_text(entry.get_rejected_revision(), entry.get_rejected_text()?)?,
            known_hash: Some(entry.get_known_hash()).filter(|hash| *hash != 0),
        });
    }
    Ok(Some(TransferTree {
        revision: Revision(reader.get_revision()),
        entries,
    }))
}

/// Writes a settings tree.
pub fn write_settings_tree(tree: &TransferTree, mut builder: settings_tree::Builder<'_>) {
    builder.set_revision(tree.revision.0);
    let mut texts = builder.init_texts(list_length(&tree.entries));
    for (index, text) in (0..).zip(&tree.entries) {
        let mut entry = texts.reborrow().get(index);
        entry.set_path(&text.path);
        entry.set_known_hash(text.known_hash.unwrap_or(0));
        if let Some(in_force) = &text.in_force {
            entry.set_revision(in_force.revision.0);
            entry.set_text(&in_force.text);
        }
        if let Some(rejected) = &text.rejected {
            entry.set_rejected_revision(rejected.revision.0);
            entry.set_rejected_text(&rejected.text);
        }
    }
}

/// Parses a VM list; `None` if the peer has no revision above the requested one.
///
/// # Errors
///
/// Fails if the message is malformed or too long.
pub fn read_vm_list(reader: vm_list::Reader<'_>) -> Result<Option<VmList>, WireError> {
    if reader.get_revision() == 0 {
        return Ok(None);
    }
    let list = reader.get_vms()?;
    check_length("vms", list.len(), MAX_VMS)?;
    let mut vms = Vec::with_capacity(list.len() as usize);
    for entry in list {
        vms.push(Vm {
            name: VmName::new(entry.get_name()?.to_str()?),
            rpc_address: entry.get_rpc_address()?.to_str()?.parse()?,
            failure_domain: FailureDomain::new(entry.get_failure_domain()?.to_str()?),
            region: Region::new(entry.get_region()?.to_str()?),
            state: match entry.get_state()? {
                peer_capnp::VmState::Live => VmState::Live,
                peer_capnp::VmState::Leaving => VmState::Leaving,
            },
        });
    }
    Ok(Some(VmList::new(Revision(reader.get_revision()), vms)))
}

/// Writes a VM list.
pub fn write_vm_list(list: &VmList, mut builder: vm_list::Builder<'_>) {
    builder.set_revision(list.revision().0);
    let mut vms = builder.init_vms(list_length(list.vms()));
    for (index, vm) in (0..).zip(list.vms()) {
        let mut entry = vms.reborrow().get(index);
        entry.set_name(vm.name.as_str());
        entry.set_rpc_address(vm.rpc_address.to_string());
        entry.set_failure_domain(vm.failure_domain.as_str());
        entry.set_region(vm.region.as_str());
        entry.set_state(match vm.state {
            VmState::Live => peer_capnp::VmState::Live,
            VmState::Leaving => peer_capnp::VmState::Leaving,
        });
    }
}

fn read_text(
    revision: u64,
    text: capnp::text::Reader<'_>,
) -> Result<Option<SettingsText>, WireError> {
    if revision == 0 {
        return Ok(None);
    }
    Ok(Some(SettingsText {
        revision: Revision(revision),
        text: text.to_string()?,
    }))
}

fn read_update(reader: member_update::Reader<'_>) -> Result<MemberUpdate, WireError> {
    Ok(MemberUpdate {
        vm: VmName::new(reader.get_vm()?.to_str()?),
        incarnation: Incarnation(reader.get_incarnation()),
        refutation: reader.get_refutation(),
        state: match reader.get_state()? {
            peer_capnp::MemberState::Alive => MemberState::Alive,
            peer_capnp::MemberState::Suspect => MemberState::Suspect,
            peer_capnp::MemberState::Dead => MemberState::Dead,
            peer_capnp::MemberState::Leaving => MemberState::Leaving,
        },
    })
}

fn write_update(update: &MemberUpdate, mut builder: member_update::Builder<'_>) {
    builder.set_vm(update.vm.as_str());
    builder.set_incarnation(update.incarnation.0);
    builder.set_refutation(update.refutation);
    builder.set_state(match update.state {
        MemberState::Alive => peer_capnp::MemberState::Alive,
        MemberState::Suspect => peer_capnp::MemberState::Suspect,
        MemberState::Dead => peer_capnp::MemberState::Dead,
        MemberState::Leaving => peer_capnp::MemberState::Leaving,
    });
}
