//! Passes crash reports on among the daemons, so that all of them soon know a request that crashes
//! leafs.

use std::net::SocketAddr;
use std::sync::Arc;

use medlarpin_core::prelude::{Fingerprint, LeafId};
use tokio::sync::mpsc;
use wire::peer_capnp::route_peer;

use crate::crash_memory::CrashReport;
use crate::flooding::{self, REPORTS_MAX};
use crate::peers::{self, PeerError, len_u32};
use crate::shared::Shared;

/// Passes reports on until the process ends.
pub(crate) async fn pass_on(shared: Arc<Shared>, reports: mpsc::Receiver<CrashReport>) {
    flooding::pass_on(shared, reports, |daemon, batch| async move {
        send(daemon, &batch).await
    })
    .await;
}

/// Adds the reports of another daemon.
pub(crate) fn receive(
    shared: &Shared,
    params: route_peer::report_crashes_params::Reader<'_>,
) -> Result<(), capnp::Error> {
    let reports = params.get_reports()?;
    for report in reports.iter().take(REPORTS_MAX) {
        let report = CrashReport {
            fingerprint: Fingerprint(report.get_fingerprint()),
            leaf: LeafId::new(report.get_leaf()?.to_str()?),
            request_hash: report.get_request_hash(),
        };
        shared.crash_memory.receive(report, shared.now());
    }
    Ok(())
}

async fn send(daemon: SocketAddr, reports: &[CrashReport]) -> Result<(), PeerError> {
    peers::call(daemon, async |client| {
        let mut request = client.report_crashes_request();
        let mut list = request.get().init_reports(len_u32(reports));
        for (index, report) in (0..).zip(reports) {
            let mut entry = list.reborrow().get(index);
            entry.set_fingerprint(report.fingerprint.0);
            entry.set_leaf(report.leaf.as_str());
            entry.set_request_hash(report.request_hash);
        }
        request.send().promise.await?;
        Ok(())
    })
    .await
}
