//! Memory of requests that crash the leafs which run them, shared with the other daemons.

use std::sync::Arc;
use std::time::{Duration, Instant};

use medlarpin_core::canary::{LossKind, QUARANTINE_DURATION, Quarantine};
use medlarpin_core::prelude::{Clock, Fingerprint, LeafId, RequestId, ServiceName};
use medlarpin_core::routing::RouteTarget;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{Notify, mpsc};

use crate::call_evidence::{CallEvidence, LostLeaf};
use crate::caller_request::{CallerRequest, RequestIdentity};
use crate::canary_slots::{CanarySlot, CanarySlots, SlotHolder};
use crate::crash_report::CrashReport;
use crate::crash_state::{CrashState, fingerprint_of};
use crate::event::Event;
use crate::leaf::Leaf;
use crate::leaf_runs::LeafRun;
use crate::pending_report::PendingReport;
use crate::proof_key::ProofKey;
use crate::request_clearance::RequestClearance;
use crate::unverified_report::UnverifiedReport;

/// Reports of one request: enough for a second request to show that the first one was at fault.
const REPORTS_PER_REQUEST: usize = 2;
/// Latest reports that are remembered, so that each is passed on once.
const KNOWN_REPORTS_MAX: usize = 1_024;
/// Reports that wait to be verified, and that wait to be sent to other daemons. Further ones are verified
/// with those that could not be judged, and reach other daemons only with the next exchange.
const QUEUE_MAX: usize = 64;

/// Time after which a report is dropped if nothing has shown that its leaf has ended, unless the leaf is silent.
/// The store no longer lists a leaf after three missed heartbeats, if this daemon reaches the store.
const RESOLUTION_TIME_MAX: Duration = Duration::from_secs(30);

/// Time after the start of a leaf within which daemons learn its entry. They follow the store, or another daemon that
/// does, with pauses of a second altogether.
const RELISTING_TIME: Duration = Duration::from_secs(2);

/// Reports in an exchange, which has to fit into the bytes that control may take.
const EXCHANGED_REPORTS_MAX: usize = 16;

/// How a daemon came to know a crash report; the variants' names appear in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ReportSource {
    /// This daemon lost the leaf.
    Own,
    /// Another daemon told it as news.
    Report,
    /// Another daemon listed it in an exchange.
    Exchange,
}

/// What the addition of a report has changed.
enum Added {
    /// The report was known.
    Nothing,
    /// The report is new.
    Report,
    /// Together with the others of its account, the report is why equal requests are refused.
    Decisive(Vec<CrashReport>),
}

/// The crash reports and quarantines that this daemon knows.
#[derive(Debug)]
pub(crate) struct CrashMemory {
    state: Mutex<CrashState>,
    canaries: CanarySlots,
    /// Wakes up the verification when a leaf is no longer listed of which a report waits for a decision.
    recheck: Notify,
    /// Reports of this daemon to verify.
    to_verify: mpsc::Sender<UnverifiedReport>,
    /// Reports for the daemons that collect those of their fingerprints.
    to_owners: mpsc::Sender<CrashReport>,
    /// Reports that started a quarantine, for all daemons.
    to_all: mpsc::Sender<CrashReport>,
}

/// The queues of a [`CrashMemory`].
#[derive(Debug)]
pub(crate) struct CrashReportQueues {
    pub(crate) unverified: mpsc::Receiver<UnverifiedReport>,
    pub(crate) for_owners: mpsc::Receiver<CrashReport>,
    pub(crate) for_all: mpsc::Receiver<CrashReport>,
}

impl CrashMemory {
    /// Creates an empty memory and its queues.
    pub(crate) fn new() -> (Self, CrashReportQueues) {
        let (to_verify, unverified) = mpsc::channel(QUEUE_MAX);
        let (to_owners, for_owners) = mpsc::channel(QUEUE_MAX);
        let (to_all, for_all) = mpsc::channel(QUEUE_MAX);
        let memory = Self {
            state: Mutex::default(),
            canaries: CanarySlots::default(),
            recheck: Notify::new(),
            to_verify,
            to_owners,
            to_all,
        };
        let queues = CrashReportQueues {
            unverified,
            for_owners,
            for_all,
        };
        (memory, queues)
    }

    /// Decides whether and how a request to some services may run.
    pub(crate) fn clearance(
        &self,
        request: &CallerRequest,
        services: &[ServiceName],
        now: Instant,
    ) -> RequestClearance {
        let mut state = self.state.lock();
        state.silent.expire(now);
        // Nearly always true, so that no request needs to be hashed.
        if state.is_free_of_suspects() {
            return RequestClearance::Clear;
        }
        state.clearance(ProofKey::new(request, services), services, now)
    }

    /// Takes the slot in which a suspicious request is tried.
    pub(crate) fn start_canary(
        &self,
        request: &CallerRequest,
        clock: &Arc<dyn Clock>,
    ) -> Result<CanarySlot, SlotHolder> {
        let content_hash = request.identity().content_hash;
        self.canaries.start(content_hash, clock)
    }

    /// Records that a leaf of a service answered a request, which thus does not crash its leafs.
    pub(crate) fn record_answer(&self, request: &CallerRequest, service: &ServiceName) {
        let mut state = self.state.lock();
        if !state.is_free_of_suspects() {
            let request = request.identity().content_hash;
            let fingerprint = fingerprint_of(request, service);
            state.table.clear_strikes(fingerprint);
            let account = Fingerprint(request);
            state.table.clear_strikes_of(account, fingerprint);
            state.silent.clear_origin(account, fingerprint);
            let is_other =
                |unverified: &UnverifiedReport| unverified.report.fingerprint != fingerprint;
            state.unresolved.retain(is_other);
            self.canaries.free(request);
        }
    }

    /// Records that leafs answered a request, but for those of the services `missing`. A later loss of a
    /// connection during an equal request has another cause, such as the failure of a link.
    pub(crate) fn record_success(&self, proof: ProofKey, missing: &[&ServiceName], now: Instant) {
        let part = |service: &&ServiceName| fingerprint_of(proof.content_hash, service);
        let missing = missing.iter().map(part).collect();
        let mut state = self.state.lock();
        state
            .table
            .succeeded_in_part(proof.fingerprint, missing, now);
    }

    /// Records that leafs have answered a request of a route somewhere else.
    pub(crate) fn record_success_elsewhere(
        &self,
        request: &CallerRequest,
        target: &RouteTarget,
        now: Instant,
    ) {
        for services in target.service_sets() {
            self.record_success(ProofKey::new(request, services), &[], now);
        }
    }

    /// Returns true if all services to which a route may send a request have answered an equal one lately.
    pub(crate) fn is_proven_for_route(
        &self,
        request: &CallerRequest,
        target: &RouteTarget,
        now: Instant,
    ) -> bool {
        target.service_sets().into_iter().all(|services| {
            let proof = ProofKey::new(request, services);
            let is_proven = |service| self.is_proven(proof, service, now);
            self.is_proven_in_part(proof, now) && services.iter().all(is_proven)
        })
    }

    /// Returns true if leafs of any service have answered an equal request lately.
    pub(crate) fn is_proven_in_part(&self, proof: ProofKey, now: Instant) -> bool {
        self.state.lock().table.is_proven(proof.fingerprint, now)
    }

    /// Returns true if a leaf of the service has answered an equal request lately.
    pub(crate) fn is_proven(&self, proof: ProofKey, service: &ServiceName, now: Instant) -> bool {
        self.state.lock().is_proven(proof, service, now)
    }

    /// Records what a request has shown when it is answered or refused.
    pub(crate) fn record_evidence(
        &self,
        request: &CallerRequest,
        evidence: &CallEvidence,
        now: Instant,
    ) {
        let lost = evidence.lost_leafs();
        if lost.is_empty() {
            return;
        }
        let is_unproven = |lost: &&LostLeaf| {
            lost.kind == LossKind::Broken && !self.is_proven(evidence.proof(), &lost.service, now)
        };
        for lost_leaf in lost.iter().filter(is_unproven).take(REPORTS_PER_REQUEST) {
            self.report(request.identity(), evidence, lost_leaf, now);
        }
    }

    /// Records the requests that a leaf had not answered when it fell silent, refused connections or was no
    /// longer listed: one of them may have ended it.
    pub(crate) fn record_unanswered(&self, leaf: &Arc<Leaf>, runs: &[LeafRun], now: Instant) {
        for run in runs {
            if self.is_proven(run.evidence.proof(), &leaf.entry.service, now) {
                continue;
            }
            let lost = LostLeaf {
                service: leaf.entry.service.clone(),
                leaf: Arc::clone(leaf),
                kind: LossKind::Unanswered,
                intact_at: run.intact_at(leaf.load().heard_at()),
            };
            run.evidence.lost(lost.clone());
            self.report(&run.request, &run.evidence, &lost, now);
        }
    }

    fn report(
        &self,
        request: &RequestIdentity,
        evidence: &CallEvidence,
        lost: &LostLeaf,
        now: Instant,
    ) {
        let LostLeaf {
            service,
            leaf,
            kind,
            intact_at,
        } = lost;
        let report = CrashReport {
            fingerprint: fingerprint_of(request.content_hash, service),
            request: Some(Fingerprint(request.content_hash)),
            leaf: leaf.entry.run_id(),
            request_hash: request.id_hash,
            intact_at: *intact_at,
            lost_at: now,
            silent_at: None,
        };
        if self.is_known(&report) {
            return;
        }
        // A single lost leaf of a query that other shards answer is common, as leafs crash. It counts
        // here, but is not worth a message.
        let is_passed_on = !evidence.is_answered() || evidence.lost_count(service) > 1;
        Event::RequestLostLeaf {
            request: request.id_text(),
            fingerprint: report.fingerprint,
            leaf: report.leaf.as_str(),
            is_passed_on,
        }
        .log();
        self.verify(UnverifiedReport {
            report,
            leaf: Arc::clone(leaf),
            kind: *kind,
            is_unresolved: false,
            answered_at: None,
            is_passed_on,
        });
    }

    /// Returns true if the report has been counted, or waits for a decision.
    fn is_known(&self, report: &CrashReport) -> bool {
        let key = report.key();
        let state = self.state.lock();
        let mut unresolved = state.unresolved.iter();
        state.known_reports.iter().any(|(known, _)| *known == key)
            || state.unverified.iter().any(|pending| pending.key == key)
            || unresolved.any(|unverified| unverified.report.key() == key)
    }

    /// Lets a report be verified. Equal requests do not run meanwhile.
    fn verify(&self, unverified: UnverifiedReport) {
        let lost_at = unverified.report.lost_at;
        let pending = PendingReport::new(&unverified);
        self.state.lock().unverified.push(pending);
        if let Err(error) = self.to_verify.try_send(unverified) {
            self.suspend(error.into_inner(), lost_at);
        }
    }

    /// Counts a report, since the leaf has ended.
    pub(crate) fn confirm(&self, verified: UnverifiedReport, now: Instant) {
        self.end_verification(&verified.report);
        match self.add_report(&verified.report, ReportSource::Own, now) {
            Added::Report if verified.is_passed_on => {
                send_report(&self.to_owners, verified.report);
            }
            Added::Report | Added::Nothing => {}
            Added::Decisive(reports) => self.tell_all(reports),
        }
    }

    /// Keeps a report of a leaf of which it is not known whether it has ended. Until it is, equal requests
    /// are sent to a single leaf first.
    pub(crate) fn suspend(&self, unverified: UnverifiedReport, now: Instant) {
        self.end_verification(&unverified.report);
        let age = now.saturating_duration_since(unverified.report.lost_at);
        if age >= RESOLUTION_TIME_MAX {
            return self.dismiss(&unverified);
        }
        self.state.lock().keep_unresolved(unverified);
    }

    /// Keeps a report of a leaf that was found to be silent just now, and tells other daemons. Equal requests are
    /// withheld while an independent loss is known as well.
    pub(crate) fn suspend_silent(&self, mut unverified: UnverifiedReport, now: Instant) {
        self.end_verification(&unverified.report);
        unverified.answered_at = None;
        let age = now.saturating_duration_since(unverified.report.lost_at);
        if age >= QUARANTINE_DURATION {
            return self.dismiss(&unverified);
        }
        let mut report = unverified.report.clone();
        report.silent_at = Some(now);
        let is_passed_on = unverified.is_passed_on;
        self.state.lock().keep_unresolved(unverified);
        match self.add_silent_report(&report, ReportSource::Own, now) {
            Added::Report if is_passed_on => send_report(&self.to_owners, report),
            Added::Report | Added::Nothing => {}
            Added::Decisive(reports) => self.tell_all(reports),
        }
    }

    /// Drops the report of a leaf that answers; returns false if it is kept for now.
    ///
    /// A leaf that was silent may have started again under its identifier, which its entry shows a while later.
    pub(crate) fn dismiss_answering(&self, mut unverified: UnverifiedReport, now: Instant) -> bool {
        let was_silent = unverified.is_unresolved && unverified.kind == LossKind::Unanswered;
        let answered_at = *unverified.answered_at.get_or_insert(now);
        if !was_silent || now.saturating_duration_since(answered_at) >= RELISTING_TIME {
            self.dismiss(&unverified);
            return true;
        }
        self.end_verification(&unverified.report);
        let mut state = self.state.lock();
        state.remove_silent(&unverified.report);
        state.keep_unresolved(unverified);
        false
    }

    /// Records that the store no longer lists a leaf, which may decide whether it has ended.
    pub(crate) fn leaf_withdrawn(&self, leaf: &Leaf) {
        let run = leaf.entry.run_id();
        let state = self.state.lock();
        let mut unresolved = state.unresolved.iter();
        if unresolved.any(|unverified| unverified.report.leaf == run) {
            self.recheck.notify_one();
        }
    }

    /// Waits until a report can probably be decided.
    pub(crate) async fn recheck_due(&self) {
        self.recheck.notified().await;
    }

    /// Takes the reports of up to `leafs_max` leafs of which it is not known whether they have ended, to
    /// verify them again. Those that were not verified for the longest time come first.
    pub(crate) fn take_unresolved(&self, leafs_max: usize) -> Vec<UnverifiedReport> {
        let mut state = self.state.lock();
        let mut leafs: Vec<LeafId> = Vec::new();
        for unverified in &state.unresolved {
            let leaf = &unverified.report.leaf;
            if leafs.len() < leafs_max && !leafs.contains(leaf) {
                leafs.push(leaf.clone());
            }
        }
        let taken: Vec<UnverifiedReport> = state
            .unresolved
            .extract_if(.., |unverified| leafs.contains(&unverified.report.leaf))
            .collect();
        let pending = taken.iter().map(PendingReport::new);
        state.unverified.extend(pending);
        taken
    }

    /// Drops a report, since the leaf lives or nothing has shown that it has ended.
    pub(crate) fn dismiss(&self, unverified: &UnverifiedReport) {
        self.end_verification(&unverified.report);
        self.state.lock().remove_silent(&unverified.report);
        if let Some(request) = unverified.report.request {
            self.canaries.free(request.0);
        }
        Event::CrashReportDismissed {
            fingerprint: unverified.report.fingerprint,
            leaf: unverified.report.leaf.as_str(),
        }
        .log();
    }

    fn end_verification(&self, report: &CrashReport) {
        let key = report.key();
        self.state
            .lock()
            .unverified
            .retain(|pending| pending.key != key);
    }

    /// Adds a report of another daemon, and tells all daemons if equal requests are refused because of it.
    pub(crate) fn receive(&self, report: &CrashReport, now: Instant) {
        let added = match report.silent_at {
            Some(_) => self.add_silent_report(report, ReportSource::Report, now),
            None => self.add_report(report, ReportSource::Report, now),
        };
        if let Added::Decisive(reports) = added {
            self.tell_all(reports);
        }
    }

    /// Adds reports that another daemon told in an exchange, so that those are learned too that were
    /// passed on before this daemon started or while it was cut off.
    pub(crate) fn merge_reports(&self, reports: &[CrashReport], now: Instant) {
        for report in reports {
            self.add_report(report, ReportSource::Exchange, now);
        }
    }

    /// Returns the latest reports whose requests no leaf has answered since.
    pub(crate) fn latest_reports(&self, now: Instant) -> Vec<CrashReport> {
        let state = self.state.lock();
        let latest = state.known_reports.iter().rev();
        let suspicious = latest.filter(|(_, report)| {
            let table = &state.table;
            let lost = table.leafs_with_strikes(report.account(), now);
            lost.contains(&report.leaf)
        });
        let reports = suspicious.take(EXCHANGED_REPORTS_MAX);
        reports.map(|(_, report)| report.clone()).collect()
    }

    /// Adds a report of this daemon or of another one.
    fn add_report(&self, report: &CrashReport, source: ReportSource, now: Instant) -> Added {
        let mut state = self.state.lock();
        let key = report.key();
        if state.known_reports.iter().any(|(known, _)| *known == key) {
            return Added::Nothing;
        }
        if state.known_reports.len() >= KNOWN_REPORTS_MAX {
            state.known_reports.pop_front();
        }
        state.known_reports.push_back((key, report.clone()));
        Event::CrashReportLearned {
            fingerprint: report.fingerprint,
            leaf: report.leaf.as_str(),
            source,
            age_ms: now.saturating_duration_since(report.lost_at).as_millis(),
        }
        .log();
        let account = report.account();
        let request = RequestId(report.request_hash.into());
        state.silent.remove(account, &report.leaf, request);
        let quarantine = state.table.add_strike(account, report.strike(), now);
        let Some(quarantine) = quarantine else {
            return Added::Report;
        };
        let reports = state.ended_reports(account);
        drop(state);
        log_quarantine(&quarantine, now);
        Added::Decisive(reports)
    }

    /// Adds a report of a silent leaf of this daemon or of another one, or renews it.
    fn add_silent_report(&self, report: &CrashReport, source: ReportSource, now: Instant) -> Added {
        let Some(loss) = report.silent_loss() else {
            return Added::Nothing;
        };
        let account = report.account();
        let mut state = self.state.lock();
        let was_withheld = state.withheld_left(account, now).is_some();
        // Another daemon may not know yet that the leaf has ended, or that it lives.
        if state.is_counted(report.key()) || !state.silent.record(account, loss, now) {
            return Added::Nothing;
        }
        let withheld_left = state.withheld_left(account, now);
        Event::SilentLeafReported {
            fingerprint: report.fingerprint,
            leaf: report.leaf.as_str(),
            source,
            age_ms: now.saturating_duration_since(report.lost_at).as_millis(),
            withheld_ms: withheld_left.map(|left| left.as_millis()),
        }
        .log();
        if withheld_left.is_none() {
            return Added::Report;
        }
        // The others are told again when they are renewed.
        if was_withheld {
            return Added::Decisive(vec![report.clone()]);
        }
        let mut reports = state.ended_reports(account);
        reports.extend(state.silent_reports(account, now));
        Added::Decisive(reports)
    }

    fn tell_all(&self, reports: Vec<CrashReport>) {
        for report in reports {
            send_report(&self.to_all, report);
        }
    }

    /// Returns the quarantines in force, each with the time left.
    pub(crate) fn quarantines(&self, now: Instant) -> Vec<(Fingerprint, Duration)> {
        let active = self.state.lock().table.active_quarantines(now);
        active
            .iter()
            .map(|known| {
                (
                    known.fingerprint,
                    known.until.saturating_duration_since(now),
                )
            })
            .collect()
    }

    /// Returns the number of losses of silent leafs that count against requests.
    pub(crate) fn silent_losses(&self, now: Instant) -> usize {
        let mut state = self.state.lock();
        state.silent.expire(now);
        state.silent.len()
    }

    /// Adds the quarantines that another daemon knows.
    pub(crate) fn merge_quarantines(&self, known: &[(Fingerprint, Duration)], now: Instant) {
        if known.is_empty() {
            return;
        }
        let quarantines: Vec<Quarantine> = known
            .iter()
            .map(|(fingerprint, left)| Quarantine {
                fingerprint: *fingerprint,
                until: now + *left,
            })
            .collect();
        self.state.lock().table.merge_quarantines(&quarantines, now);
    }
}

fn send_report(queue: &mpsc::Sender<CrashReport>, report: CrashReport) {
    // Full only if many leafs break off at once; the exchanges then tell of the quarantines.
    if let Err(error) = queue.try_send(report) {
        Event::CrashReportDropped {
            error: &error.to_string(),
        }
        .log();
    }
}

fn log_quarantine(quarantine: &Quarantine, now: Instant) {
    Event::Quarantined {
        fingerprint: quarantine.fingerprint,
        for_ms: quarantine.until.saturating_duration_since(now).as_millis(),
    }
    .log();
}
