//! An immutable snapshot of the settings and the VM list.

use std::sync::Arc;

use medlarpin_core::ownership::{self, LeafGroup, Routing};
use medlarpin_core::prelude::*;
use medlarpin_core::settings_tree::SettingsTree;
use settings::Subtree;

/// Snapshot of the settings and the VM list from which queries are planned. Replaced as a whole
/// when either changes.
#[derive(Debug, Default)]
pub struct FleetView {
    settings_revision: Revision,
    vm_list: VmList,
    /// Sorted by name.
    teams: Vec<Arc<TeamSettings>>,
    /// Sorted by name.
    services: Vec<Arc<ServiceView>>,
}

impl FleetView {
    /// Builds the view of a settings tree and a VM list, as seen by the daemon on `local_vm`.
    #[must_use]
    pub fn build(
        tree: &SettingsTree<Arc<Subtree>>,
        vm_list: VmList,
        routing: Routing,
        local_vm: &VmName,
    ) -> Self {
        let mut teams = Vec::new();
        let mut services = Vec::new();
        let mut maps = Vec::new();
        for value in tree.entries().iter().filter_map(|entry| entry.in_force()) {
            match value.value.as_ref() {
                Subtree::Team(team) => teams.push(Arc::new(team.clone())),
                Subtree::Service(service) => services.push(service.clone()),
                Subtree::Index(map) => maps.push(Arc::new(map.clone())),
            }
        }
        teams.sort_by(|a: &Arc<TeamSettings>, b| a.name.cmp(&b.name));
        services.sort_by(|a: &Service, b| a.name().cmp(b.name()));
        let services = services
            .into_iter()
            .map(|service| {
                Arc::new(ServiceView::build(
                    service, &maps, &vm_list, routing, local_vm,
                ))
            })
            .collect();
        Self {
            settings_revision: tree.revision(),
            vm_list,
            teams,
            services,
        }
    }

    /// Returns true once the daemon has received a settings tree.
    #[must_use]
    pub fn has_settings(&self) -> bool {
        self.settings_revision > Revision::default()
    }

    /// Returns the VM list.
    #[must_use]
    pub fn vm_list(&self) -> &VmList {
        &self.vm_list
    }

    /// Returns all teams, sorted by name.
    #[must_use]
    pub fn teams(&self) -> &[Arc<TeamSettings>] {
        &self.teams
    }

    /// Returns the team with a name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Arc<TeamSettings>> {
        let index = self
            .teams
            .binary_search_by(|team| team.name.as_str().cmp(name))
            .ok()?;
        self.teams.get(index)
    }

    /// Returns all services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Arc<ServiceView>] {
        &self.services
    }

    /// Returns the service with a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceView>> {
        let index = self
            .services
            .binary_search_by(|view| view.service.name().as_str().cmp(name))
            .ok()?;
        self.services.get(index)
    }
}

/// A service with its shard maps and leaf groups.
#[derive(Debug)]
pub struct ServiceView {
    /// The service.
    pub service: Service,
    /// Shard maps, sorted by version.
    pub maps: Vec<Arc<ShardMap>>,
    /// Leaf groups, sorted by id.
    pub groups: Vec<GroupView>,
    /// Index into `groups` of each leaf, parallel to the service's leafs.
    group_of_leaf: Vec<usize>,
}

impl ServiceView {
    fn build(
        service: Service,
        maps: &[Arc<ShardMap>],
        vm_list: &VmList,
        routing: Routing,
        local_vm: &VmName,
    ) -> Self {
        let mut maps: Vec<Arc<ShardMap>> = maps
            .iter()
            .filter(|map| map.service() == service.name())
            .cloned()
            .collect();
        maps.sort_by_key(|map| map.version());
        let groups: Vec<GroupView> = ownership::group_leafs(&service)
            .into_iter()
            .map(|group| GroupView {
                holders: match routing {
                    Routing::Owners => ownership::rank_holders(&group, vm_list),
                    Routing::Direct => vec![local_vm.clone()],
                },
                key: group.id().to_string(),
                group,
            })
            .collect();
        let mut group_of_leaf = vec![0; service.leafs().len()];
        for (index, view) in groups.iter().enumerate() {
            for leaf in view.group.leafs() {
                let position = service.leafs().binary_search_by(|entry| entry.id.cmp(leaf));
                if let Ok(position) = position {
                    group_of_leaf[position] = index;
                }
            }
        }
        Self {
            service,
            maps,
            groups,
            group_of_leaf,
        }
    }

    /// Returns the index of a leaf's group.
    #[must_use]
    pub fn group_of(&self, leaf: &LeafId) -> Option<usize> {
        let leafs = self.service.leafs();
        let position = leafs.binary_search_by(|entry| entry.id.cmp(leaf)).ok()?;
        self.group_of_leaf.get(position).copied()
    }
}

/// A leaf group and its holders.
#[derive(Debug)]
pub struct GroupView {
    /// The group.
    pub group: LeafGroup,
    /// Holders, best rank first.
    pub holders: Vec<VmName>,
    /// Text form of the group's id.
    pub key: String,
}

impl AsRef<str> for GroupView {
    fn as_ref(&self) -> &str {
        &self.key
    }
}
