//! Joining the fleet after the start.

use std::rc::Rc;

use medlarpin_core::prelude::*;
use platform::PlatformClient;

use crate::fleet::gossip::{choose_peers, exchange, fetch_settings_above};
use crate::fleet::history::fetch_missing;
use crate::fleet::refresh::{accept_published, accept_vm_list};
use crate::logging::{CONFIG, GOSSIP};
use crate::workers::Worker;

/// Time between two tries to join.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Peers whose settings are compared before the daemon accepts work.
const PEERS_ASKED: usize = 3;

/// Peers greeted at the start, so that they confirm that the daemon may use its shares. In a larger
/// fleet the ledgers' own wait ends first.
const PEERS_GREETED: usize = 64;

/// Takes the highest settings of the peers and the platform, then marks the daemon as joined.
pub async fn join(worker: Rc<Worker>, client: Rc<PlatformClient>) {
    loop {
        if try_join(&worker, &client).await {
            worker.shared.lifecycle.set_joined();
            log::info!(target: GOSSIP, "This daemon has joined the fleet.");
            break;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    greet(&worker).await;
    fetch_missing(&worker).await;
}

async fn try_join(worker: &Rc<Worker>, client: &PlatformClient) -> bool {
    let shared = &worker.shared;
    match client.vm_list().await {
        Ok(list) => accept_vm_list(shared, &list),
        Err(error) => log::debug!(target: GOSSIP, "The platform gave no VM list: {error}."),
    }
    match client.settings(None, Duration::ZERO).await {
        Ok(Some(tree)) => accept_published(shared, tree.revision, tree.texts),
        Ok(None) => {}
        Err(error) => log::debug!(target: CONFIG, "The platform gave no settings: {error}."),
    }
    let peers = choose_peers(shared, PEERS_ASKED);
    for vm in &peers {
        if exchange(Rc::clone(worker), vm.clone()).await {
            let view = shared.view();
            // Also a peer with the same revision may hold last valid texts that the platform no
            // longer publishes.
            if let Some(entry) = view.vm_list().get(vm) {
                fetch_settings_above(worker, entry.rpc_address, Revision::default()).await;
            }
        }
    }
    shared.view().has_settings()
}

async fn greet(worker: &Rc<Worker>) {
    let peers = choose_peers(&worker.shared, PEERS_GREETED);
    let exchanges = peers.into_iter().map(|vm| exchange(Rc::clone(worker), vm));
    futures::future::join_all(exchanges).await;
}
