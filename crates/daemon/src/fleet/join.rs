//! Joining the fleet at startup.

use std::rc::Rc;

use config_service::PlatformClient;
use medlarpin_core::prelude::*;

use crate::fleet::gossip::{choose_peers, exchange, fetch_settings_above};
use crate::fleet::history::fetch_missing;
use crate::fleet::updates::{accept_published, accept_vm_list};
use crate::logging::{CONFIG, GOSSIP};
use crate::workers::Worker;

/// Back-off after the first failed attempt to join; doubled after each further one.
const BACK_OFF_MIN: Duration = Duration::from_millis(200);

/// Maximum back-off. Each attempt makes up to two calls to each platform replica, so 500 daemons
/// that start together during an outage stay below 500 calls a second to one replica.
const BACK_OFF_MAX: Duration = Duration::from_secs(3);

/// Number of peers whose settings are fetched before the daemon accepts work.
const FETCH_FAN_OUT: usize = 3;

/// Number of peers contacted after joining, so that they soon confirm that the daemon may use its
/// shares of the team limits. In a larger fleet, the start delay of the ledgers expires before all
/// peers have confirmed.
const CONFIRM_FAN_OUT: usize = 64;

/// Fetches the newest VM list and settings from the platform and some peers, then marks the daemon
/// as joined.
pub async fn join(worker: Rc<Worker>, client: Rc<PlatformClient>) {
    let mut delay = BACK_OFF_MIN;
    loop {
        if try_join(&worker, &client).await {
            worker.shared.lifecycle.set_joined();
            log::info!(target: GOSSIP, "This daemon has joined the fleet.");
            break;
        }
        // Jitter spreads the calls of daemons that started at the same time.
        tokio::time::sleep(delay.mul_f64(rand::random_range(0.75..1.25))).await;
        delay = (delay * 2).min(BACK_OFF_MAX);
    }
    contact_peers(&worker).await;
    fetch_missing(&worker).await;
}

async fn try_join(worker: &Rc<Worker>, client: &PlatformClient) -> bool {
    let shared = &worker.shared;
    match client.fetch_vm_list().await {
        Ok(list) => accept_vm_list(shared, &list),
        Err(error) => {
            log::debug!(
                target: GOSSIP, "Reading the VM list from the platform failed: {error}."
            );
        }
    }
    match client.fetch_settings(None, Duration::ZERO).await {
        Ok(Some(tree)) => accept_published(shared, tree.revision, tree.texts),
        Ok(None) => {}
        Err(error) => {
            log::debug!(
                target: CONFIG, "Reading settings from the platform failed: {error}."
            );
        }
    }
    let peers = choose_peers(shared, FETCH_FAN_OUT);
    for vm in &peers {
        if exchange(Rc::clone(worker), vm.clone()).await {
            let view = shared.view();
            // Even a peer with the same revision may hold a last valid text that the platform no
            // longer publishes, so the whole tree is fetched.
            if let Some(entry) = view.vm_list().get(vm) {
                fetch_settings_above(worker, entry.rpc_address, Revision::default()).await;
            }
        }
    }
    shared.view().has_settings()
}

/// Exchanges heartbeats with peers, so that they learn of this process and confirm its shares.
async fn contact_peers(worker: &Rc<Worker>) {
    let peers = choose_peers(&worker.shared, CONFIRM_FAN_OUT);
    let exchanges = peers.into_iter().map(|vm| exchange(Rc::clone(worker), vm));
    futures::future::join_all(exchanges).await;
}
