//! Passes crash reports on among the daemons, so that all of them soon know a request that crashes
//! leafs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use medlarpin_core::canary::{
    LossKind, LossVerdict, LostLeafSign, NeighbourSign, QUARANTINE_DURATION,
};
use medlarpin_core::prelude::{FailureDomain, Fingerprint, LeafId};
use medlarpin_core::routing::{RESEND_DELAY, ReportDelivery};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};
use wire::peer_capnp::{crash_report, route_peer};

use crate::crash_report::CrashReport;
use crate::event::Event;
use crate::flooding::{self, COLLECT_TIME, REPORTS_MAX};
use crate::loss_check::{ask_lost_leaf, ask_neighbours, judge};
use crate::peers::{self, PeerError, len_u32, millis_u32};
use crate::shared::Shared;
use crate::unverified_report::UnverifiedReport;

/// Maximum number of leafs that are asked together whether they have ended.
const LEAFS_MAX: usize = 16;
/// Interval at which leafs are asked again of which it is not known whether they have ended.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Verifies reports of this daemon until the process ends: a lost leaf counts only if it has ended.
pub(crate) async fn verify(shared: Arc<Shared>, mut reports: mpsc::Receiver<UnverifiedReport>) {
    let mut rechecks = interval(RECHECK_INTERVAL);
    rechecks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let mut batch = ReportBatch::default();
        tokio::select! {
            biased;
            () = shared.crash_memory.recheck_due() => batch.add_unresolved(&shared),
            _ = rechecks.tick() => batch.add_unresolved(&shared),
            first = reports.recv() => match first {
                Some(first) => batch.add(first),
                None => return,
            },
        }
        // The failure of a link breaks many connections, and one check shows it for all of them.
        while batch.leafs.len() < LEAFS_MAX
            && let Ok(report) = reports.try_recv()
        {
            batch.add(report);
        }
        if !batch.leafs.is_empty() {
            verify_batch(&shared, batch).await;
        }
    }
}

/// Reports that are verified together.
#[derive(Debug, Default)]
struct ReportBatch {
    /// The lost leafs by their runs, each with its reports; sorted, without duplicates.
    leafs: Vec<(LeafId, Vec<UnverifiedReport>)>,
}

impl ReportBatch {
    fn add_unresolved(&mut self, shared: &Shared) {
        for report in shared.crash_memory.take_unresolved(LEAFS_MAX) {
            self.add(report);
        }
    }

    fn add(&mut self, report: UnverifiedReport) {
        let run = &report.report.leaf;
        match self.leafs.binary_search_by(|(known, _)| known.cmp(run)) {
            Ok(index) => self.leafs[index].1.push(report),
            Err(index) => self.leafs.insert(index, (run.clone(), vec![report])),
        }
    }
}

async fn verify_batch(shared: &Shared, batch: ReportBatch) {
    let runs: Vec<LeafId> = batch.leafs.iter().map(|(run, _)| run.clone()).collect();
    let asked = batch
        .leafs
        .iter()
        .map(|(_, reports)| ask_lost_leaf(shared, &reports[0].leaf));
    let signs: Vec<LostLeafSign> = join_all(asked).await;
    let domains = domains_to_check(&batch, &signs);
    let asked = domains
        .iter()
        .map(|(domain, kind)| ask_neighbours(shared, domain, *kind, &runs));
    let neighbours: Vec<NeighbourSign> = join_all(asked).await;
    for ((_, reports), sign) in batch.leafs.into_iter().zip(signs) {
        for report in reports {
            let lost_in = &report.leaf.entry.failure_domain;
            let domain = domains.binary_search_by(|(domain, _)| domain.cmp(lost_in));
            let neighbours = domain.map_or(NeighbourSign::Nobody, |index| neighbours[index]);
            // Leafs of an evacuated domain are not asked, and may have been stopped.
            if shared.leafs.is_evacuated(&report.leaf) {
                shared.metrics.lost_leafs_dismissed.inc();
                shared.crash_memory.dismiss(&report);
                continue;
            }
            match judge(shared, &report, sign, neighbours) {
                LossVerdict::Ended => {
                    shared.metrics.lost_leafs_counted.inc();
                    shared.crash_memory.confirm(report, shared.now());
                }
                LossVerdict::Lives => {
                    let memory = &shared.crash_memory;
                    if memory.dismiss_answering(report, shared.now()) {
                        shared.metrics.lost_leafs_dismissed.inc();
                    }
                }
                LossVerdict::Silent => {
                    shared.crash_memory.suspend_silent(report, shared.now());
                }
                LossVerdict::Unknown => shared.crash_memory.suspend(report, shared.now()),
            }
        }
    }
}

/// Returns the failure domains whose other leafs show whether this VM reaches the lost ones, sorted, without
/// duplicates. The kind is that of the losses: if all leafs of a domain only fell silent, those that answered lately
/// need not be asked.
fn domains_to_check(batch: &ReportBatch, signs: &[LostLeafSign]) -> Vec<(FailureDomain, LossKind)> {
    let mut domains: Vec<(FailureDomain, LossKind)> = Vec::new();
    for ((_, reports), sign) in batch.leafs.iter().zip(signs) {
        let is_broken = reports.iter().any(|report| report.kind == LossKind::Broken);
        let kind = match sign {
            LostLeafSign::Refuses => LossKind::Broken,
            LostLeafSign::Silent if is_broken => LossKind::Broken,
            LostLeafSign::Silent => LossKind::Unanswered,
            LostLeafSign::Answers | LostLeafSign::Replaced | LostLeafSign::NotAsked => continue,
        };
        let domain = &reports[0].leaf.entry.failure_domain;
        match domains.binary_search_by(|(known, _)| known.cmp(domain)) {
            Ok(index) if kind == LossKind::Broken => domains[index].1 = kind,
            Ok(_) => {}
            Err(index) => domains.insert(index, (domain.clone(), kind)),
        }
    }
    domains
}

/// Tells the daemons that collect the reports of a request, until the process ends.
pub(crate) async fn tell_owners(shared: Arc<Shared>, mut reports: mpsc::Receiver<CrashReport>) {
    while let Some(first) = reports.recv().await {
        // Many requests lose a leaf at a time.
        sleep(COLLECT_TIME).await;
        let mut batch = vec![first];
        while batch.len() < REPORTS_MAX
            && let Ok(report) = reports.try_recv()
        {
            batch.push(report);
        }
        spawn_local(deliver(Arc::clone(&shared), batch));
    }
}

/// Sends each report to the daemons that collect it, with one message a daemon, and again to others if some
/// do not answer.
async fn deliver(shared: Arc<Shared>, batch: Vec<CrashReport>) {
    let Some(daemons) = &shared.daemons else {
        return;
    };
    let own = daemons.lock().own().address;
    let mut deliveries: Vec<(CrashReport, ReportDelivery)> = batch
        .into_iter()
        .map(|report| {
            // Daemons of an older release collect by request and service.
            let accounts = [report.request, Some(report.fingerprint)];
            let accounts = accounts.into_iter().flatten().collect();
            (report, ReportDelivery::new(accounts, own))
        })
        .collect();
    loop {
        let others = shared.other_daemons(shared.now());
        let mut known: Vec<SocketAddr> = others.iter().map(|daemon| daemon.address).collect();
        known.push(own);
        let receivers: Vec<Vec<SocketAddr>> = deliveries
            .iter_mut()
            .map(|(_, delivery)| delivery.next_round(&known))
            .collect();
        let mut daemons = receivers.concat();
        daemons.sort();
        daemons.dedup();
        if daemons.is_empty() {
            return;
        }
        let sends = daemons.iter().map(|daemon| {
            let reports = deliveries.iter().zip(&receivers);
            let reports: Vec<CrashReport> = reports
                .filter(|(_, receivers)| receivers.contains(daemon))
                .map(|((report, _), _)| report.clone())
                .collect();
            send_logged(*daemon, reports, &shared)
        });
        let arrived = join_all(sends).await;
        for ((_, delivery), receivers) in deliveries.iter_mut().zip(&receivers) {
            for daemon in receivers {
                let index = daemons.binary_search(daemon);
                delivery.sent(*daemon, index.is_ok_and(|index| arrived[index]));
            }
        }
        if arrived.iter().all(|has_arrived| *has_arrived) {
            return;
        }
        sleep(RESEND_DELAY).await;
    }
}

/// Sends reports to a daemon; returns true if it has them.
async fn send_logged(daemon: SocketAddr, reports: Vec<CrashReport>, shared: &Shared) -> bool {
    let sent = send(shared, daemon, &reports).await;
    if let Err(error) = &sent {
        Event::DaemonUnreachable { daemon, error }.log();
    }
    sent.is_ok()
}

/// Passes reports that started a quarantine on to all daemons, until the process ends.
pub(crate) async fn pass_on(shared: Arc<Shared>, reports: mpsc::Receiver<CrashReport>) {
    let sender = Arc::clone(&shared);
    flooding::pass_on(shared, reports, |daemon, batch| {
        let shared = Arc::clone(&sender);
        async move { send(&shared, daemon, &batch).await }
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

/// Adds the reports of another daemon about leafs that are silent, except those that this daemon has heard since.
pub(crate) fn receive_silent(
    shared: &Shared,
    params: route_peer::report_silent_leafs_params::Reader<'_>,
) -> Result<(), capnp::Error> {
    let now = shared.now();
    let list = params.get_reports()?;
    for (entry, mut report) in list.iter().zip(read_reports(list, now)?) {
        let age = Duration::from_millis(entry.get_silent_age_ms().into());
        let silent_at = now.checked_sub(age).unwrap_or(now).max(report.lost_at);
        if !has_heard_since(shared, &report.leaf, silent_at) {
            report.silent_at = Some(silent_at);
            shared.crash_memory.receive(&report, now);
        }
    }
    Ok(())
}

/// Returns true if the run of a leaf has answered this daemon since then.
fn has_heard_since(shared: &Shared, run: &LeafId, at: Instant) -> bool {
    let leafs = shared.leafs.filter(|leaf| {
        run.as_str().starts_with(leaf.entry.id.as_str()) && leaf.entry.run_id() == *run
    });
    leafs.iter().any(|leaf| leaf.load().has_heard_since(at))
}

/// Decodes the reports of a message.
pub(crate) fn read_reports(
    list: capnp::struct_list::Reader<'_, crash_report::Owned>,
    now: Instant,
) -> Result<Vec<CrashReport>, capnp::Error> {
    let reports = list.iter().take(REPORTS_MAX).map(|report| {
        let age = Duration::from_millis(report.get_age_ms().into()).min(QUARANTINE_DURATION);
        let lost_at = now.checked_sub(age).unwrap_or(now);
        let intact_at = match report.get_intact_age_ms() {
            // A daemon of an older release takes all losses for independent ones.
            0 => now,
            age_ms => now
                .checked_sub(Duration::from_millis(age_ms.into()))
                .map_or(lost_at, |at| at.min(lost_at)),
        };
        Ok(CrashReport {
            fingerprint: Fingerprint(report.get_fingerprint()),
            request: match report.get_request() {
                0 => None,
                request => Some(Fingerprint(request)),
            },
            leaf: LeafId::new(report.get_leaf()?.to_str()?),
            request_hash: report.get_request_hash(),
            intact_at,
            lost_at,
            silent_at: None,
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
        entry.set_request(report.request.map_or(0, |request| request.0));
        entry.set_leaf(report.leaf.as_str());
        entry.set_request_hash(report.request_hash);
        entry.set_age_ms(millis_u32(now.saturating_duration_since(report.lost_at)));
        let intact_age = millis_u32(now.saturating_duration_since(report.intact_at));
        entry.set_intact_age_ms(intact_age.max(1));
        let silent_age = report.silent_at.map(|at| now.saturating_duration_since(at));
        entry.set_silent_age_ms(silent_age.map_or(0, millis_u32));
    }
}

/// Sends reports of leafs that have ended and of silent ones, which a daemon of an older release must not take for
/// the former.
async fn send(
    shared: &Shared,
    daemon: SocketAddr,
    reports: &[CrashReport],
) -> Result<(), PeerError> {
    let (silent, ended): (Vec<_>, Vec<_>) = reports
        .iter()
        .cloned()
        .partition(|report| report.silent_at.is_some());
    peers::call(shared, daemon, async |client| {
        if !ended.is_empty() {
            let mut request = client.report_crashes_request();
            let list = request.get().init_reports(len_u32(&ended));
            write_reports(&ended, shared.now(), list);
            request.send().promise.await?;
        }
        if !silent.is_empty() {
            let mut request = client.report_silent_leafs_request();
            let list = request.get().init_reports(len_u32(&silent));
            write_reports(&silent, shared.now(), list);
            request.send().promise.await?;
        }
        Ok(())
    })
    .await
}
