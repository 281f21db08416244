//! Passes crash reports on among the daemons, so that all of them soon know a request that crashes
//! leafs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use medlarpin_core::canary::{LossVerdict, LostLeafSign, NeighbourSign, QUARANTINE_DURATION};
use medlarpin_core::prelude::{Clock, FailureDomain, Fingerprint, LeafId};
use medlarpin_core::routing::report_owners;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::peer_capnp::{crash_report, route_peer};

use crate::crash_memory::{CrashReport, UnverifiedReport};
use crate::event::Event;
use crate::flooding::{self, REPORTS_MAX};
use crate::leaf::Leaf;
use crate::loss_check::{ask_lost_leaf, ask_neighbours, judge};
use crate::peers::{self, PeerError, len_u32, millis_u32};
use crate::shared::Shared;

/// Maximum number of reports that are verified together; each of their leafs is sent a health check.
const BATCH_MAX: usize = 16;
/// Interval at which leafs are asked again of which it is not known whether they have ended.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Verifies reports of this daemon until the process ends: a lost leaf counts only if it has ended.
pub(crate) async fn verify(shared: Arc<Shared>, mut reports: mpsc::Receiver<UnverifiedReport>) {
    loop {
        let mut batch = tokio::select! {
            first = reports.recv() => match first {
                Some(first) => vec![first],
                None => return,
            },
            () = sleep(RECHECK_INTERVAL), if shared.crash_memory.has_unresolved() => {
                shared.crash_memory.take_unresolved(BATCH_MAX)
            }
        };
        // The failure of a link breaks many connections, and one check shows it for all of them.
        while batch.len() < BATCH_MAX
            && let Ok(report) = reports.try_recv()
        {
            batch.push(report);
        }
        verify_batch(&shared, batch).await;
    }
}

async fn verify_batch(shared: &Shared, batch: Vec<UnverifiedReport>) {
    let mut leafs: Vec<(LeafId, Arc<Leaf>)> = batch
        .iter()
        .map(|unverified| (unverified.report.leaf.clone(), Arc::clone(&unverified.leaf)))
        .collect();
    leafs.sort_by(|(a, _), (b, _)| a.cmp(b));
    leafs.dedup_by(|(a, _), (b, _)| a == b);
    let lost: Vec<LeafId> = leafs.iter().map(|(run, _)| run.clone()).collect();
    let signs = leafs.iter().map(|(_, leaf)| ask_lost_leaf(shared, leaf));
    let signs: Vec<LostLeafSign> = join_all(signs).await;
    let is_open = |sign: &LostLeafSign| match sign {
        LostLeafSign::Answers | LostLeafSign::Replaced => false,
        LostLeafSign::Refuses | LostLeafSign::Silent => true,
    };
    let mut domains: Vec<&FailureDomain> = leafs
        .iter()
        .zip(&signs)
        .filter(|(_, sign)| is_open(sign))
        .map(|((_, leaf), _)| &leaf.entry.failure_domain)
        .collect();
    domains.sort();
    domains.dedup();
    let neighbours = domains
        .iter()
        .map(|domain| ask_neighbours(shared, domain, &lost));
    let neighbours: Vec<NeighbourSign> = join_all(neighbours).await;
    for unverified in batch {
        let leaf = &unverified.leaf;
        let index = lost.binary_search(&unverified.report.leaf);
        let sign = index.map_or(LostLeafSign::Silent, |index| signs[index]);
        let domain = domains.binary_search(&&leaf.entry.failure_domain);
        // Those of other domains decide nothing.
        let neighbours = domain.map_or(NeighbourSign::Nobody, |index| neighbours[index]);
        let is_first = !unverified.is_unresolved;
        match judge(shared, leaf, unverified.kind, sign, neighbours, is_first) {
            LossVerdict::Ended => {
                shared.metrics.lost_leafs_counted.inc();
                shared.crash_memory.confirm(unverified, shared.now());
            }
            LossVerdict::Lives => {
                shared.metrics.lost_leafs_dismissed.inc();
                shared.crash_memory.dismiss(&unverified);
            }
            LossVerdict::Unknown => shared.crash_memory.suspend(unverified, shared.now()),
        }
    }
}

/// Tells the daemons that collect the reports of a fingerprint, until the process ends.
pub(crate) async fn tell_owners(shared: Arc<Shared>, mut reports: mpsc::Receiver<CrashReport>) {
    while let Some(report) = reports.recv().await {
        let owners: Vec<SocketAddr> = shared.daemons.as_ref().map_or_else(Vec::new, |daemons| {
            let daemons = daemons.lock();
            let own = daemons.own().address;
            let others = daemons.others(shared.now()).map(|daemon| daemon.address);
            let owners = report_owners(report.fingerprint, others.chain([own]));
            owners.into_iter().filter(|owner| *owner != own).collect()
        });
        for daemon in owners {
            let (report, clock) = (report.clone(), Arc::clone(&shared.clock));
            spawn_local(async move {
                if let Err(error) = send(daemon, &[report], &*clock).await {
                    Event::DaemonUnreachable {
                        daemon,
                        error: &error,
                    }
                    .log();
                }
            });
        }
    }
}

/// Passes reports that started a quarantine on to all daemons, until the process ends.
pub(crate) async fn pass_on(shared: Arc<Shared>, reports: mpsc::Receiver<CrashReport>) {
    let clock = Arc::clone(&shared.clock);
    flooding::pass_on(shared, reports, |daemon, batch| {
        let clock = Arc::clone(&clock);
        async move { send(daemon, &batch, &*clock).await }
    })
    .await;
}

/// Adds the reports of another daemon.
pub(crate) fn receive(
    shared: &Shared,
    params: route_peer::report_crashes_params::Reader<'_>,
) -> Result<(), capnp::Error> {
    let now = shared.now();
    for report in read_reports(params.get_reports()?, now)? {
        shared.crash_memory.receive(&report, now);
    }
    Ok(())
}

/// Decodes the reports of a message.
pub(crate) fn read_reports(
    list: capnp::struct_list::Reader<'_, crash_report::Owned>,
    now: Instant,
) -> Result<Vec<CrashReport>, capnp::Error> {
    let reports = list.iter().take(REPORTS_MAX).map(|report| {
        let age = Duration::from_millis(report.get_age_ms().into()).min(QUARANTINE_DURATION);
        Ok(CrashReport {
            fingerprint: Fingerprint(report.get_fingerprint()),
            leaf: LeafId::new(report.get_leaf()?.to_str()?),
            request_hash: report.get_request_hash(),
            lost_at: now.checked_sub(age).unwrap_or(now),
        })
    });
    reports.collect()
}

/// Encodes the reports of a message.
pub(crate) fn write_reports(
    reports: &[CrashReport],
    now: Instant,
    mut list: capnp::struct_list::Builder<'_, crash_report::Owned>,
) {
    for (index, report) in (0..).zip(reports) {
        let mut entry = list.reborrow().get(index);
        entry.set_fingerprint(report.fingerprint.0);
        entry.set_leaf(report.leaf.as_str());
        entry.set_request_hash(report.request_hash);
        entry.set_age_ms(millis_u32(now.saturating_duration_since(report.lost_at)));
    }
}

async fn send(
    daemon: SocketAddr,
    reports: &[CrashReport],
    clock: &dyn Clock,
) -> Result<(), PeerError> {
    peers::call(daemon, async |client| {
        let mut request = client.report_crashes_request();
        let list = request.get().init_reports(len_u32(reports));
        write_reports(reports, clock.now(), list);
        request.send().promise.await?;
        Ok(())
    })
    .await
}
