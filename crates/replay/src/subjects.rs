//! The kinds of subjects, with the events and outcomes of each.

pub(crate) mod budget;
pub(crate) mod fingerprints;
pub(crate) mod leaf;
pub(crate) mod members;
pub(crate) mod pause;
pub(crate) mod query;
pub(crate) mod queue;
pub(crate) mod settings;
pub(crate) mod shares;
pub(crate) mod tickets;

use std::net::{Ipv4Addr, SocketAddr};

use medlarpin_core::prelude::*;

/// Builds a VM list from names. Addresses, failure domains and regions are placeholders, because no
/// outcome of a trace depends on them.
pub(crate) fn vm_list(revision: u64, live: &[String], leaving: &[String]) -> VmList {
    let vm = |name: &String, state| Vm {
        name: VmName::new(name),
        rpc_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        failure_domain: "domain-0".into(),
        region: "region-0".into(),
        state,
    };
    let live = live.iter().map(|name| vm(name, VmState::Live));
    let leaving = leaving.iter().map(|name| vm(name, VmState::Leaving));
    VmList::new(Revision(revision), live.chain(leaving).collect())
}
