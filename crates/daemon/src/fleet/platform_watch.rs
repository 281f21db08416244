//! Watching the platform for new settings and VM lists.

use std::rc::Rc;

use config_service::PlatformClient;
use medlarpin_core::prelude::*;

use crate::fleet::updates::{accept_published, accept_vm_list};
use crate::logging::{CONFIG, GOSSIP};
use crate::shared::Shared;
use crate::workers::Worker;

/// Number of daemons per failure domain that watch the platform. The others learn by gossip, so the
/// number of calls to the platform does not grow with the fleet.
const WATCHERS_PER_DOMAIN: usize = 3;

/// Interval between a watcher's reads of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after a failed or stale watch before the next one.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Watches settings and VM list while this daemon is a watcher, forever.
pub async fn watch_platform(worker: Rc<Worker>, client: Rc<PlatformClient>) {
    let settings = watch_settings(Rc::clone(&worker), Rc::clone(&client));
    let list = read_vm_list(worker, client);
    futures::future::join(settings, list).await;
}

async fn watch_settings(worker: Rc<Worker>, client: Rc<PlatformClient>) {
    let shared = &worker.shared;
    let wait = Duration::from_millis(shared.settings.watch_wait_ms);
    loop {
        if !is_watcher(shared) {
            tokio::time::sleep(VM_LIST_INTERVAL).await;
            continue;
        }
        let held = shared.fleet.lock().tree.revision();
        match client.fetch_settings(Some(held), wait).await {
            Ok(Some(tree)) if tree.revision > held => {
                accept_published(shared, tree.revision, tree.texts);
            }
            // A stale replica answers at once with a revision that this daemon already has.
            Ok(Some(_stale)) => tokio::time::sleep(RETRY_INTERVAL).await,
            Ok(None) => {}
            Err(error) => {
                log::debug!(target: CONFIG, "Reading settings from the platform failed: {error}.");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn read_vm_list(worker: Rc<Worker>, client: Rc<PlatformClient>) {
    let shared = &worker.shared;
    loop {
        tokio::time::sleep(VM_LIST_INTERVAL).await;
        let calls = i64::try_from(client.request_count()).unwrap_or(i64::MAX);
        shared.metrics.platform_calls.set(calls);
        if !is_watcher(shared) {
            continue;
        }
        let started_at = shared.clock.now();
        match client.fetch_vm_list().await {
            Ok(list) => {
                accept_vm_list(shared, &list);
                rejoin_without_peers(shared, &list, started_at);
            }
            Err(error) => {
                log::debug!(
                    target: GOSSIP, "Reading the VM list from the platform failed: {error}."
                );
            }
        }
    }
}

/// Returns true if this daemon is a watcher of its failure domain, or sees no usable VM there.
fn is_watcher(shared: &Shared) -> bool {
    let fleet = shared.fleet.lock();
    let domain = &shared.settings.failure_domain;
    let watchers = fleet
        .membership
        .settings_watchers(domain, WATCHERS_PER_DOMAIN);
    watchers.is_empty() || watchers.contains(shared.local_vm())
}

/// Ends a pause after a read of the platform if the list names no peer to rejoin through.
fn rejoin_without_peers(shared: &Shared, list: &VmList, started_at: Instant) {
    let is_only_vm = list.vms().iter().all(|vm| vm.name == *shared.local_vm());
    let now = shared.clock.now();
    if is_only_vm
        && shared
            .pause_detector
            .lock()
            .record_exchange(started_at, now)
    {
        log::info!(
            target: GOSSIP, "This daemon has rejoined after a pause; no other VM is listed."
        );
    }
}
