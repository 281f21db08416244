//! An immutable table of the usable holders of all leaf groups.

use std::net::SocketAddr;
use std::sync::Arc;

use medlarpin_core::prelude::*;

use crate::view::{FleetView, ServiceView};

/// A VM that holds a leaf group, and its RPC address.
pub type Holder = (VmName, SocketAddr);

/// The usable holders of each group of each service.
///
/// Replaced as a whole when the view or the usable VMs change. Precomputed, because a look-up for
/// each query would search the VM list once for each group and rank.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Sorted by service.
    services: Vec<Arc<ServiceRoutes>>,
}

/// The usable holders of one service's groups.
#[derive(Debug)]
pub struct ServiceRoutes {
    /// The snapshot of the service from which the holders were computed.
    pub view: Arc<ServiceView>,
    /// Parallel to the service's groups; best rank first.
    holders: Vec<Vec<Holder>>,
}

impl RouteTable {
    /// Computes the usable holders. The local VM always counts as usable.
    #[must_use]
    pub fn build(
        view: &FleetView,
        usable: &[VmName],
        local_vm: &VmName,
        local_address: SocketAddr,
    ) -> Self {
        let holder = |vm: &VmName| {
            if vm == local_vm {
                return Some((vm.clone(), local_address));
            }
            usable.binary_search(vm).ok()?;
            let entry = view.vm_list().get(vm)?;
            Some((vm.clone(), entry.rpc_address))
        };
        let services = view.services().iter().map(|service| {
            let groups = service.groups.iter();
            Arc::new(ServiceRoutes {
                holders: groups
                    .map(|group| group.holders.iter().filter_map(holder).collect())
                    .collect(),
                view: Arc::clone(service),
            })
        });
        Self {
            services: services.collect(),
        }
    }

    /// Returns the routes of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceRoutes>> {
        let index = self
            .services
            .binary_search_by(|routes| routes.view.service.name().cmp(name))
            .ok()?;
        self.services.get(index)
    }
}

impl ServiceRoutes {
    /// Returns the usable holders of a group, best rank first.
    #[must_use]
    pub fn holders(&self, group: usize) -> &[Holder] {
        self.holders.get(group).map_or(&[], Vec::as_slice)
    }

    /// Returns the usable holders of a leaf's group, best rank first.
    #[must_use]
    pub fn holders_of_leaf(&self, leaf: &LeafId) -> &[Holder] {
        self.view
            .group_of(leaf)
            .map_or(&[], |group| self.holders(group))
    }
}
