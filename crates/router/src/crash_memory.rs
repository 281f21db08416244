//! Memory of requests that crash the leafs which run them, shared with the other daemons.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use medlarpin_core::canary::{Clearance, FingerprintTable, LossKind, Quarantine, Strike};
use medlarpin_core::ids::stable_hash;
use medlarpin_core::prelude::{Clock, Fingerprint, LeafId, RequestId, ServiceName};
use medlarpin_core::routing::RouteTarget;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{Notify, mpsc};

use crate::call_evidence::{CallEvidence, LostLeaf};
use crate::caller_request::{CallerRequest, RequestIdentity};
use crate::canary_slots::{CanarySlot, CanarySlots, SlotHolder};
use crate::event::Event;
use crate::leaf::Leaf;
use crate::leaf_runs::LeafRun;

/// Reports of one request: enough for a second request to show that the first one was at fault.
const REPORTS_PER_REQUEST: usize = 2;
/// Latest reports that are remembered, so that each is passed on once.
const KNOWN_REPORTS_MAX: usize = 1_024;
/// Reports that wait to be verified, and that wait to be sent to other daemons. Further ones are verified
/// with those that could not be judged, and reach other daemons only with the next exchange.
const QUEUE_MAX: usize = 64;

/// Time after which a request no longer waits for the verification of a report. It takes half a second,
/// and a second if another one is in progress.
const VERIFICATION_TIME_MAX: Duration = Duration::from_secs(2);

/// Reports that wait for a sign of whether their leafs have ended. Of further ones the oldest is dropped.
const UNRESOLVED_MAX: usize = 256;
/// Time after which a report is dropped if nothing has shown that its leaf has ended. The store no longer
/// lists a leaf after three missed heartbeats, if this daemon reaches the store.
const RESOLUTION_TIME_MAX: Duration = Duration::from_secs(30);

/// Reports in an exchange, which has to fit into the bytes that control may take.
const EXCHANGED_REPORTS_MAX: usize = 16;

/// A request that a leaf was running when its connection broke, while no leaf of the service
/// answered it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CrashReport {
    /// Identifies the request and the service of the leaf.
    pub(crate) fingerprint: Fingerprint,
    /// Identifies the request alone; `None` from a daemon of an older release.
    pub(crate) request: Option<Fingerprint>,
    /// Run of the leaf.
    pub(crate) leaf: LeafId,
    /// Hash of the request's identifier.
    pub(crate) request_hash: u64,
    /// Latest time at which the leaf is known to have lived before the request could end it.
    pub(crate) intact_at: Instant,
    /// Time at which the loss was noticed.
    pub(crate) lost_at: Instant,
}

impl CrashReport {
    /// Returns the fingerprint under which the report counts: that of the request, whatever the service, as a
    /// route may move to another one.
    fn account(&self) -> Fingerprint {
        self.request.unwrap_or(self.fingerprint)
    }

    /// Returns a hash that tells the report from others.
    fn key(&self) -> u64 {
        stable_hash(&[
            &self.fingerprint.0.to_le_bytes(),
            self.leaf.as_str().as_bytes(),
            &self.request_hash.to_le_bytes(),
        ])
    }
}

/// A report of this daemon that does not count yet: the connection may have broken because a link
/// failed or the leaf lost an answer, and not because the leaf ended.
#[derive(Debug)]
pub(crate) struct UnverifiedReport {
    pub(crate) report: CrashReport,
    pub(crate) leaf: Arc<Leaf>,
    pub(crate) kind: LossKind,
    /// True once the loss was judged without a result.
    pub(crate) is_unresolved: bool,
    /// True if the daemons that collect such reports are to be told.
    is_passed_on: bool,
}

/// Identifies a request and the services that answer it, to record that they have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ProofKey {
    content_hash: u64,
    fingerprint: Fingerprint,
}

impl ProofKey {
    /// Returns the key of a request that goes to all these services.
    pub(crate) fn new(request: &CallerRequest, services: &[ServiceName]) -> Self {
        let content_hash = request.identity().content_hash;
        let content = content_hash.to_le_bytes();
        let names = services.iter().map(|service| service.as_str().as_bytes());
        let parts: Vec<&[u8]> = std::iter::once(&content[..]).chain(names).collect();
        Self {
            content_hash,
            fingerprint: Fingerprint(stable_hash(&parts)),
        }
    }
}

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
    /// The report has started a quarantine, together with the others of its fingerprint.
    Quarantine(Vec<CrashReport>),
}

/// A service of which equal requests have lost leafs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Suspicion {
    pub(crate) service: ServiceName,
    /// Runs of the lost leafs.
    pub(crate) lost: Vec<LeafId>,
    /// True if one of them has certainly ended.
    pub(crate) is_confirmed: bool,
}

/// What is known of a request before it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestClearance {
    /// It may run.
    Clear,
    /// Equal requests lost leafs of these services, so that this one is sent to a single leaf of each.
    Suspect(Vec<Suspicion>),
    /// An equal request has just lost a leaf, and it is not known yet whether that leaf crashed.
    Unverified,
    /// It must not run.
    Quarantined {
        /// Time left of the quarantine.
        left: Duration,
    },
}

/// A report that is being verified.
#[derive(Debug)]
struct PendingReport {
    /// The report's [`CrashReport::key`].
    key: u64,
    fingerprint: Fingerprint,
    /// Run of the lost leaf.
    leaf: LeafId,
    /// Time until which equal requests are refused. Those that come later, or if there is none, are sent to a
    /// single leaf.
    refused_until: Option<Instant>,
}

impl PendingReport {
    fn new(unverified: &UnverifiedReport) -> Self {
        let report = &unverified.report;
        let is_refused = match unverified.kind {
            LossKind::Broken => !unverified.is_unresolved,
            // It shows little.
            LossKind::Unanswered => false,
        };
        Self {
            key: report.key(),
            fingerprint: report.fingerprint,
            leaf: report.leaf.clone(),
            refused_until: is_refused.then(|| report.lost_at + VERIFICATION_TIME_MAX),
        }
    }

    /// Returns true if requests of the fingerprint are refused for now.
    fn refuses(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.fingerprint == fingerprint && self.refused_until.is_some_and(|until| now < until)
    }
}

#[derive(Debug, Default)]
struct State {
    table: FingerprintTable,
    /// The reports that are being verified.
    unverified: Vec<PendingReport>,
    /// Reports of leafs of which it is not known whether they have ended; at most [`UNRESOLVED_MAX`].
    unresolved: Vec<UnverifiedReport>,
    /// The latest reports, each with its key, oldest first.
    known_reports: VecDeque<(u64, CrashReport)>,
}

impl State {
    /// Returns the time left of a quarantine.
    fn quarantine_left(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        match self.table.check(fingerprint, now) {
            Clearance::Quarantined { until } => Some(until.saturating_duration_since(now)),
            Clearance::Proven | Clearance::NeedsCanary | Clearance::CanaryRunning => None,
        }
    }

    /// Returns true if a leaf of the service has answered an equal request lately.
    fn is_proven(&self, proof: ProofKey, service: &ServiceName, now: Instant) -> bool {
        let part = fingerprint_of(proof.content_hash, service);
        self.table.is_part_proven(proof.fingerprint, part, now)
    }

    /// Returns true if no request is suspected of anything.
    fn is_free_of_suspects(&self) -> bool {
        self.table.is_free_of_suspects() && self.unverified.is_empty() && self.unresolved.is_empty()
    }

    /// Returns the runs of leafs that may have ended under a request.
    fn unresolved_leafs(&self, fingerprint: Fingerprint) -> impl Iterator<Item = LeafId> {
        let unresolved = self.unresolved.iter().map(|unverified| &unverified.report);
        let unresolved = unresolved.map(|report| (report.fingerprint, &report.leaf));
        let pending = self.unverified.iter();
        let pending = pending.map(|pending| (pending.fingerprint, &pending.leaf));
        unresolved
            .chain(pending)
            .filter(move |(known, _)| *known == fingerprint)
            .map(|(_, leaf)| leaf.clone())
    }
}

/// The crash reports and quarantines that this daemon knows.
#[derive(Debug)]
pub(crate) struct CrashMemory {
    state: Mutex<State>,
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
        let state = self.state.lock();
        // Nearly always true, so that no request needs to be hashed.
        if state.is_free_of_suspects() {
            return RequestClearance::Clear;
        }
        let proof = ProofKey::new(request, services);
        let request = request.identity().content_hash;
        let account = Fingerprint(request);
        if let Some(left) = state.quarantine_left(account, now) {
            return RequestClearance::Quarantined { left };
        }
        let mut is_unverified = false;
        let mut suspicions = Vec::new();
        for service in services {
            let fingerprint = fingerprint_of(request, service);
            if let Some(left) = state.quarantine_left(fingerprint, now) {
                return RequestClearance::Quarantined { left };
            }
            let mut unverified = state.unverified.iter();
            is_unverified |= unverified.any(|pending| pending.refuses(fingerprint, now));
            // Those under the request's account, and those that daemons of an older release reported.
            let strikes = state.table.strikes(account, now);
            let strikes = strikes.chain(state.table.strikes(fingerprint, now));
            let of_service = strikes.filter(|strike| strike.origin == fingerprint);
            let mut lost: Vec<LeafId> = of_service.map(|strike| strike.leaf.clone()).collect();
            let is_confirmed = !lost.is_empty();
            lost.extend(state.unresolved_leafs(fingerprint));
            if !lost.is_empty() {
                suspicions.push(Suspicion {
                    service: service.clone(),
                    lost,
                    is_confirmed,
                });
            }
        }
        if suspicions.is_empty()
            && let Some(service) = services.first()
        {
            // A route that moves takes the suspicion with it.
            let lost = state.table.leafs_with_strikes(account, now);
            if !lost.is_empty() && !state.is_proven(proof, service, now) {
                suspicions.push(Suspicion {
                    service: service.clone(),
                    lost,
                    is_confirmed: true,
                });
            }
        }
        if is_unverified {
            RequestClearance::Unverified
        } else if suspicions.is_empty() {
            RequestClearance::Clear
        } else {
            RequestClearance::Suspect(suspicions)
        }
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
            Added::Quarantine(reports) => self.tell_all(reports),
        }
    }

    /// Keeps a report of a leaf of which it is not known whether it has ended. Until it is, equal requests
    /// are sent to a single leaf first.
    pub(crate) fn suspend(&self, mut unverified: UnverifiedReport, now: Instant) {
        self.end_verification(&unverified.report);
        let age = now.saturating_duration_since(unverified.report.lost_at);
        if age >= RESOLUTION_TIME_MAX {
            return self.dismiss(&unverified);
        }
        let unresolved = &mut self.state.lock().unresolved;
        if unresolved.len() >= UNRESOLVED_MAX {
            unresolved.remove(0);
        }
        unverified.is_unresolved = true;
        unresolved.push(unverified);
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

    /// Adds a report of another daemon, and tells all daemons if it starts a quarantine.
    pub(crate) fn receive(&self, report: &CrashReport, now: Instant) {
        if let Added::Quarantine(reports) = self.add_report(report, ReportSource::Report, now) {
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
        let strike = Strike {
            leaf: report.leaf.clone(),
            request: RequestId(report.request_hash.into()),
            origin: report.fingerprint,
            intact_at: report.intact_at,
            lost_at: report.lost_at,
        };
        let quarantine = state.table.add_strike(report.account(), strike, now);
        let Some(quarantine) = quarantine else {
            return Added::Report;
        };
        let known = state.known_reports.iter().map(|(_, known)| known);
        let reports = known.filter(|known| known.account() == report.account());
        let reports = reports.cloned().collect();
        drop(state);
        log_quarantine(&quarantine, now);
        Added::Quarantine(reports)
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

/// Returns the fingerprint of a request to a service; `request` is the request's hash.
fn fingerprint_of(request: u64, service: &ServiceName) -> Fingerprint {
    Fingerprint(stable_hash(&[
        &request.to_le_bytes(),
        service.as_str().as_bytes(),
    ]))
}
