//! Fleets, settings and shard maps of the sizes to be measured.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use ::settings::{SettingsError, Subtree, parse_subtree};
use daemon::view::FleetView;
use medlarpin_core::ownership::Routing;
use medlarpin_core::prelude::*;
use medlarpin_core::settings_tree::SettingsTree;

use crate::capacity::error::CapacityError;

/// Failure domains of the design size.
pub const FAILURE_DOMAINS: usize = 7;
/// Shards of a query of the design size.
pub const SHARDS: usize = 540;
/// Replicas of each shard.
pub const REPLICAS: usize = 3;
/// Leafs of the design size.
pub const LEAFS: usize = 3_900;
/// Daemons of the design size.
pub const VMS: usize = 500;
/// Teams of the design size; an assumption, since section 1.5 of the design page gives no number.
pub const TEAMS: usize = 50;
/// Name of the generated service.
pub const SERVICE: &str = "order-desk";

/// A settings tree with parsed values, as a daemon holds it.
pub type Tree = SettingsTree<Arc<Subtree>>;

/// Returns the name of a VM.
pub fn vm_name(index: usize) -> VmName {
    VmName::new(&format!("vm-{index:08}"))
}

/// Returns a list of live VMs, spread round-robin over the failure domains.
pub fn vm_list(revision: u64, vms: impl IntoIterator<Item = usize>) -> VmList {
    let vm = |index| Vm {
        name: vm_name(index),
        rpc_address: address(index, 8081),
        failure_domain: FailureDomain::new(&domain(index)),
        region: Region::new(if index % FAILURE_DOMAINS < 4 {
            "warmia"
        } else {
            "mazury"
        }),
        state: VmState::Live,
    };
    VmList::new(Revision(revision), vms.into_iter().map(vm).collect())
}

/// Returns the paths and texts of a settings tree with one service.
pub fn texts(leafs: usize, teams: usize) -> Vec<(String, String)> {
    let mut texts = vec![
        (format!("services/{SERVICE}"), service_text(leafs)),
        (format!("indexes/{SERVICE}/7"), index_text(leafs)),
    ];
    texts.extend((0..teams).map(|team| (format!("teams/team-{team:03}"), team_text(200))));
    texts
}

/// Returns the settings text of a team.
pub fn team_text(rate_limit_per_s: u32) -> String {
    format!(
        "{{\"weight\": 2, \"rate_limit_per_s\": {rate_limit_per_s}, \"concurrency_limit\": 50, \
         \"deadline_default_ms\": 300, \"deadline_cap_ms\": 10000, \"coverage_wanted\": \"all\", \
         \"repeat_allowed\": true}}"
    )
}

/// Returns the tree that a daemon holds after the texts were published.
pub fn tree(revision: u64, texts: Vec<(String, String)>) -> Result<Tree, CapacityError> {
    Ok(Tree::new().apply(Revision(revision), texts, parse)?)
}

/// Parses a settings text as the daemon does.
pub fn parse(path: &str, text: &str) -> Result<Arc<Subtree>, SettingsError> {
    parse_subtree(path, text).map(Arc::new)
}

/// Builds a daemon's view of a tree and a VM list.
pub fn view(tree: &Tree, list: VmList) -> FleetView {
    FleetView::build(tree, list, Routing::Owners, &vm_name(0))
}

/// Returns the name of a leaf; leafs are spread round-robin over the failure domains.
pub fn leaf_name(index: usize) -> String {
    format!("leaf-{index:05}")
}

fn service_text(leafs: usize) -> String {
    let mut text = "{\"leafs\": [\n".to_owned();
    for leaf in 0..leafs {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{{\"id\": \"{}\", \"address\": \"{}\", \"failure_domain\": \"{}\", \"slots\": 2, \
             \"connection_limit\": 60, \"new_connection_ms\": 6}},",
            leaf_name(leaf),
            address(leaf, 9000),
            domain(leaf)
        );
    }
    text + "]}"
}

/// Places the replicas of neighbouring shards on neighbouring leafs of three failure domains.
fn index_text(leafs: usize) -> String {
    let leafs_per_domain = leafs / FAILURE_DOMAINS;
    let mut text = "{\"shards\": [\n".to_owned();
    for shard in 0..SHARDS {
        let name = |replica: usize| {
            let position = (shard + replica * leafs_per_domain / REPLICAS) % leafs_per_domain;
            let domain = (shard / leafs_per_domain * REPLICAS + replica) % FAILURE_DOMAINS;
            format!("\"{}\"", leaf_name(position * FAILURE_DOMAINS + domain))
        };
        let names: Vec<String> = (0..REPLICAS).map(name).collect();
        let _ = writeln!(
            text,
            "{{\"shard\": {shard}, \"leafs\": [{}]}},",
            names.join(", ")
        );
    }
    text + "]}"
}

fn domain(index: usize) -> String {
    format!("warmia-{}", index % FAILURE_DOMAINS)
}

/// Returns a distinct address for each index.
pub fn address(index: usize, port: u16) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(index).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::from(([10, 20, high, low], port))
}
