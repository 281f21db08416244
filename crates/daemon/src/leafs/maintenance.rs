//! Periodic maintenance of held leafs: opening idle connections and fetching health reports.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use medlarpin_core::leaf_state::{HealthReport, HealthState};
use medlarpin_core::prelude::*;

use crate::leafs::protocol::{HealthBody, HealthName, exchange};
use crate::leafs::slot::LeafSlot;
use crate::workers::Worker;

/// Interval between maintenance rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between health checks of the held leafs. The probes of draining leafs come in addition.
///
/// A serving leaf's report can start a drain, and set or clear the suspicion that the leaf is still
/// starting or overloaded.
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs maintenance rounds forever.
pub async fn maintain(worker: Rc<Worker>) {
    let mut next_health = worker.shared.clock.now();
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let now = worker.shared.clock.now();
        let is_health_due = now >= next_health;
        if is_health_due {
            next_health = now + HEALTH_INTERVAL;
        }
        for slot in worker.shared.leafs.held() {
            // All holders fetch reports, not just the active one: a holder that takes over must not
            // send new work to a draining leaf.
            if is_health_due || slot.probe_due() {
                tokio::task::spawn_local(fetch_health(Arc::clone(&slot)));
            }
            if !worker.shared.is_active_for(&slot) {
                continue;
            }
            let target = slot.target_idle_connections();
            tokio::task::spawn_local(async move { slot.connections.open_idle(target).await });
        }
    }
}

async fn fetch_health(slot: Arc<LeafSlot>) {
    let Ok(mut connection) = slot.connections.acquire().await else {
        return;
    };
    let Some(sender) = connection.sender() else {
        return;
    };
    let authority = slot.connections.authority();
    let reply = exchange(
        sender,
        Method::GET,
        "/health",
        authority,
        Bytes::new(),
        None,
    );
    let Ok(Ok((_status, body))) = tokio::time::timeout(HEALTH_TIMEOUT, reply).await else {
        return;
    };
    connection.recycle();
    let Ok(report) = serde_json::from_slice::<HealthBody>(&body) else {
        return;
    };
    let state = match report.state {
        HealthName::Starting => HealthState::Starting,
        HealthName::Ready => HealthState::Ready,
        HealthName::Draining => HealthState::Draining,
    };
    let versions: Vec<IndexVersion> = report.versions.into_iter().map(IndexVersion).collect();
    slot.clear_gone_versions(&versions);
    slot.record_health(HealthReport {
        state,
        load: report.load,
    });
}
