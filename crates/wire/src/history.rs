//! Messages about the former holders of leaf groups.

use capnp::struct_list;
use medlarpin_core::ownership::{FormerHolder, GroupId, HolderHistory};
use medlarpin_core::prelude::*;

use crate::error::{WireError, check_length};
use crate::peer_capnp::{former_holder, holder_history, leaf_group};
use crate::query::list_length;

/// Maximum number of groups in one message.
const MAX_GROUPS: u32 = 1 << 16;

/// Maximum number of holders in one history; at most every VM that was ever listed.
const MAX_HOLDERS: u32 = 1 << 16;

/// The holder history of one leaf group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupHistory {
    /// Identifier of the group.
    pub group: GroupId,
    /// Current and former holders of the group.
    pub history: HolderHistory,
}

/// Parses the groups whose histories a peer requests.
///
/// # Errors
///
/// Fails if the message is malformed or too long.
pub fn read_groups(
    list: struct_list::Reader<'_, leaf_group::Owned>,
) -> Result<Vec<GroupId>, WireError> {
    check_length("groups", list.len(), MAX_GROUPS)?;
    list.iter().map(read_group).collect()
}

/// Writes the groups whose histories are requested from a peer.
pub fn write_groups(groups: &[GroupId], mut list: struct_list::Builder<'_, leaf_group::Owned>) {
    for (index, group) in (0..).zip(groups) {
        write_group(group, list.reborrow().get(index));
    }
}

/// Parses the histories that a peer returned.
///
/// # Errors
///
/// Fails if the message is malformed or too long.
pub fn read_histories(
    list: struct_list::Reader<'_, holder_history::Owned>,
) -> Result<Vec<GroupHistory>, WireError> {
    check_length("histories", list.len(), MAX_GROUPS)?;
    list.iter().map(read_history).collect()
}

/// Writes the histories that a peer requested.
pub fn write_histories(
    histories: &[GroupHistory],
    mut list: struct_list::Builder<'_, holder_history::Owned>,
) {
    for (index, entry) in (0..).zip(histories) {
        let mut builder = list.reborrow().get(index);
        write_group(&entry.group, builder.reborrow().init_group());
        builder.set_revision(entry.history.revision.0);
        let mut holders = builder.init_holders(list_length(&entry.history.holders));
        for (index, holder) in (0..).zip(&entry.history.holders) {
            let mut builder = holders.reborrow().get(index);
            builder.set_vm(holder.vm.as_str());
            builder.set_last_ranked(holder.last_ranked.0);
        }
    }
}

fn read_history(reader: holder_history::Reader<'_>) -> Result<GroupHistory, WireError> {
    let list = reader.get_holders()?;
    check_length("holders", list.len(), MAX_HOLDERS)?;
    let holders: Result<_, _> = list.iter().map(read_holder).collect();
    Ok(GroupHistory {
        group: read_group(reader.get_group()?)?,
        history: HolderHistory {
            revision: Revision(reader.get_revision()),
            holders: holders?,
        },
    })
}

fn read_holder(reader: former_holder::Reader<'_>) -> Result<FormerHolder, WireError> {
    Ok(FormerHolder {
        vm: VmName::new(reader.get_vm()?.to_str()?),
        last_ranked: Revision(reader.get_last_ranked()),
    })
}

fn read_group(reader: leaf_group::Reader<'_>) -> Result<GroupId, WireError> {
    Ok(GroupId {
        service: ServiceName::new(reader.get_service()?.to_str()?),
        failure_domain: FailureDomain::new(reader.get_failure_domain()?.to_str()?),
        index: reader.get_index(),
    })
}

fn write_group(group: &GroupId, mut builder: leaf_group::Builder<'_>) {
    builder.set_service(group.service.as_str());
    builder.set_failure_domain(group.failure_domain.as_str());
    builder.set_index(group.index);
}
