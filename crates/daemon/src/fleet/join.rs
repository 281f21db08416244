//! Joining the fleet after the start.

use std::rc::Rc;

use config_service::PlatformClient;
use medlarpin_core::prelude::*;

use crate::fleet::gossip::{choose_peers, exchange, fetch_settings_above};
use crate::fleet::history::fetch_missing;
use crate::fleet::refresh::{accept_published, accept_vm_list};
use crate::logging::{CONFIG, GOSSIP};
use crate::workers::Worker;

/// Time after the first failed try to join; doubled after each further one.
const RETRY_MIN: Duration = Duration::from_millis(200);

/// Longest time between two tries. Each makes up to two calls to each platform replica, and 500
/// daemons that start during an outage together stay below 500 calls a second to one replica.
const RETRY_MAX: Duration = Duration::from_secs(3);

/// Peers whose settings are compared before the daemon accepts work.
const PEERS_ASKED: usize = 3;

/// Peers greeted at the start, so that they confirm that the daemon may use its shares. In a larger
/// fleet the ledgers' own wait ends first.
const PEERS_GREETED: usize = 64;

/// Takes the highest settings of the peers and the platform, then marks the daemon as joined.
pub async fn join(worker: Rc<Worker>, client: Rc<PlatformClient>) {
    let mut delay = RETRY_MIN;
    loop {
        if try_join(&worker, &client).await {
            worker.shared.lifecycle.set_joined();
            log::info!(target: GOSSIP, "This daemon has joined the fleet.");
            break;
        }
        // The random part keeps daemons that started together from calling together.
        tokio::time::sleep(delay.mul_f64(rand::random_range(0.75..1.25))).await;
        delay = (delay * 2).min(RETRY_MAX);
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
