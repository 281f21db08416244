//! Response bodies of the platform protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use medlarpin_core::prelude::{Revision, Vm, VmList, VmState};
use serde::Deserialize;

use crate::error::PlatformError;

/// Maximum length of the name of a VM, failure domain or region; names become metric labels and log
/// fields.
const MAX_NAME_BYTES: usize = 100;

/// The settings tree at one revision, with texts that are not yet parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedTree {
    /// Revision of the tree.
    pub revision: Revision,
    /// Path and text of each subtree, sorted by path.
    pub texts: Vec<(String, String)>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct TreeBody {
    revision: u64,
    subtrees: BTreeMap<String, String>,
}

impl TreeBody {
    pub(crate) fn into_tree(
        self,
        address: SocketAddr,
        after: Option<Revision>,
    ) -> Result<PublishedTree, PlatformError> {
        let found = Revision(self.revision);
        // If an old tree were accepted, the next watch would return at once as well, and the
        // watcher would poll in a tight loop.
        if let Some(after) = after
            && found <= after
        {
            return Err(PlatformError::Stale {
                address,
                found: found.0,
                after: after.0,
            });
        }
        Ok(PublishedTree {
            revision: found,
            texts: self.subtrees.into_iter().collect(),
        })
    }
}

#[derive(Debug, Deserialize)]
pub(crate) struct VmListBody {
    revision: u64,
    vms: Vec<VmBody>,
}

#[derive(Debug, Deserialize)]
struct VmBody {
    name: String,
    rpc_address: SocketAddr,
    failure_domain: String,
    region: String,
    state: StateBody,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateBody {
    Live,
    Leaving,
}

impl VmListBody {
    /// Converts the list; rejects it as a whole if one entry is invalid.
    ///
    /// The ranks of holders depend on every entry, so a list without the invalid ones would move
    /// leaf groups to other holders.
    pub(crate) fn into_list(self, address: SocketAddr) -> Result<VmList, PlatformError> {
        let vms: Result<Vec<Vm>, PlatformError> = self
            .vms
            .into_iter()
            .map(|vm| {
                vm.invalid_field().map_or_else(
                    || Ok(vm.to_vm()),
                    |field| {
                        Err(PlatformError::InvalidVm {
                            address,
                            vm: vm.name.chars().take(MAX_NAME_BYTES).collect(),
                            field,
                        })
                    },
                )
            })
            .collect();
        Ok(VmList::new(Revision(self.revision), vms?))
    }
}

impl VmBody {
    fn invalid_field(&self) -> Option<&'static str> {
        if !is_name(&self.name) {
            Some("name")
        } else if !is_name(&self.failure_domain) {
            Some("failure_domain")
        } else if !is_name(&self.region) {
            Some("region")
        } else if self.rpc_address.port() == 0 || self.rpc_address.ip().is_unspecified() {
            Some("rpc_address")
        } else {
            None
        }
    }

    fn to_vm(&self) -> Vm {
        Vm {
            name: self.name.as_str().into(),
            rpc_address: self.rpc_address,
            failure_domain: self.failure_domain.as_str().into(),
            region: self.region.as_str().into(),
            state: match self.state {
                StateBody::Live => VmState::Live,
                StateBody::Leaving => VmState::Leaving,
            },
        }
    }
}

fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(|c| c.is_ascii_graphic())
}
