//! Tables that all workers share, with their lock order.
//!
//! A mutex is taken only while none of a later place is held, and never across an await:
//! 1 fleet, 2 admission, 3 leafs (one at a time), 4 fingerprints, 5 tickets, 6 gone
//! versions, 7 recent answers, 8 recorder.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use medlarpin_core::outlier::EJECTION_TIME;
use medlarpin_core::pause::{PauseDetector, Paused};
use medlarpin_core::prelude::*;
use medlarpin_core::tickets::{TicketLimits, TicketTable};
use parking_lot::Mutex;
use settings::DaemonSettings;
use tokio::sync::Notify;

use crate::entry::{AdmissionTable, AnswerBody, LeafReports, OutcomeName};
use crate::fleet::FleetTable;
use crate::leafs::{LeafSlot, LeafTable};
use crate::lifecycle::Lifecycle;
use crate::logging::ENTRY;
use crate::operators::{Metrics, RecentAnswers};
use crate::recorder::{RecordedFingerprints, Recorder};
use crate::routes::RouteTable;
use crate::view::FleetView;
use crate::workers::WorkerPool;

/// Time for which a leaf that lacks a version is not asked for it; it may load it again.
const VERSION_GONE_TTL: Duration = Duration::from_secs(10);

/// Longest time that readiness waits for the daemon's shares of the teams' limits.
const SHARES_READY_TIMEOUT: Duration = Duration::from_secs(5);

/// State of one daemon.
#[derive(Debug)]
pub struct Shared {
    /// The daemon's settings.
    pub settings: DaemonSettings,
    /// The clock of all decisions.
    pub clock: Arc<dyn Clock>,
    /// When the daemon started.
    pub started_at: Instant,
    /// This daemon's incarnation.
    pub incarnation: Incarnation,
    /// Address of the RPC listener.
    pub rpc_address: SocketAddr,
    /// Lock order 1.
    pub fleet: Mutex<FleetTable>,
    /// Lock order 2.
    pub admission: Mutex<AdmissionTable>,
    /// Lock order 3; each leaf has its own lock.
    pub leafs: LeafTable,
    /// Lock order 4.
    pub fingerprints: Mutex<RecordedFingerprints>,
    /// Lock order 5.
    pub tickets: Mutex<TicketTable>,
    /// Lock order 6.
    pub gone_versions: Mutex<LeafReports<IndexVersion>>,
    /// Leafs that are much slower than their group; lock order 6, never with `gone_versions`.
    pub slow_leafs: Mutex<LeafReports<()>>,
    /// Lock order 7.
    pub recent_answers: Mutex<RecentAnswers>,
    /// Lock order 8.
    pub recorder: Arc<Recorder>,
    /// Metrics; they need no lock.
    pub metrics: Metrics,
    /// Start and stop.
    pub lifecycle: Lifecycle,
    /// Notified when a ticketed run ends.
    pub ticket_run_finished: Notify,
    /// Notified when a canary ends.
    pub canary_finished: Notify,
    /// Notified when this daemon's settings, VM list or quarantines changed and peers should hear.
    pub state_changed: Notify,
    /// Notified when a VM list was accepted, which may have left out lists in between.
    pub vm_list_accepted: Notify,
    /// True once the daemon could admit queries of all teams after its start.
    shares_obtained: AtomicBool,
    view: ArcSwap<FleetView>,
    /// Usable VMs, sorted; a copy of what the membership says, so that routing takes no lock.
    usable_vms: ArcSwap<Vec<VmName>>,
    /// Usable holders of all groups; computed from the view and the usable VMs.
    routes: ArcSwap<RouteTable>,
    /// Pauses of this process; locked for one call at a time and never with another table.
    pub pause_detector: Mutex<PauseDetector>,
}

/// The shared state and the workers.
#[derive(Debug)]
pub struct AppState {
    /// Tables that all workers share.
    pub shared: Arc<Shared>,
    /// The workers.
    pub workers: WorkerPool,
}

impl Shared {
    /// Creates the state of a daemon that has just started.
    #[must_use]
    pub fn new(
        settings: DaemonSettings,
        clock: Arc<dyn Clock>,
        incarnation: Incarnation,
        rpc_address: SocketAddr,
        metrics: Metrics,
    ) -> Self {
        let now = clock.now();
        let recorder = Arc::new(Recorder::default());
        let ticket_limits = TicketLimits {
            lifetime: Duration::from_millis(settings.ticket_lifetime_ms),
            ..TicketLimits::default()
        };
        Self {
            started_at: now,
            incarnation,
            rpc_address,
            fleet: Mutex::new(FleetTable::new(&settings, incarnation)),
            admission: Mutex::new(AdmissionTable::new(settings.vm.clone())),
            leafs: LeafTable::new(Arc::clone(&recorder)),
            fingerprints: Mutex::new(RecordedFingerprints::new(
                Arc::clone(&recorder),
                Arc::clone(&clock),
            )),
            tickets: Mutex::new(TicketTable::new(
                settings.vm.clone(),
                incarnation,
                ticket_limits,
            )),
            gone_versions: Mutex::new(LeafReports::new(VERSION_GONE_TTL)),
            slow_leafs: Mutex::new(LeafReports::new(EJECTION_TIME)),
            recent_answers: Mutex::new(RecentAnswers::default()),
            recorder,
            metrics,
            lifecycle: Lifecycle::default(),
            ticket_run_finished: Notify::new(),
            canary_finished: Notify::new(),
            state_changed: Notify::new(),
            vm_list_accepted: Notify::new(),
            shares_obtained: AtomicBool::new(false),
            usable_vms: ArcSwap::default(),
            routes: ArcSwap::default(),
            pause_detector: Mutex::new(PauseDetector::new(
                now,
                Duration::from_millis(settings.pause_threshold_ms),
            )),
            view: ArcSwap::from_pointee(FleetView::default()),
            settings,
            clock,
        }
    }

    /// Returns this daemon's VM.
    #[must_use]
    pub fn local_vm(&self) -> &VmName {
        &self.settings.vm
    }

    /// Returns the time between probes of members.
    #[must_use]
    pub fn probe_interval(&self) -> Duration {
        Duration::from_millis(self.settings.probe_interval_ms)
    }

    /// Returns true if callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = self.clock.now();
        self.lifecycle.is_joined()
            && !self.lifecycle.is_stopping()
            && self.check_pause(now).is_ok()
            && self.has_shares(now)
    }

    /// A daemon without shares of the teams' limits would refuse its first callers; after a while
    /// it borrows, so the wait is bounded.
    fn has_shares(&self, now: Instant) -> bool {
        if self.shares_obtained.load(Ordering::Relaxed) {
            return true;
        }
        let seen = now.saturating_duration_since(self.started_at) >= SHARES_READY_TIMEOUT
            || self.admission.lock().would_admit_all(now);
        self.shares_obtained.fetch_or(seen, Ordering::Relaxed);
        seen
    }

    /// Returns the settings and VM list in force.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Puts a new view in force.
    pub fn set_view(&self, view: FleetView) {
        self.view.store(Arc::new(view));
        self.publish_routes();
    }

    /// Returns the usable holders of all groups.
    #[must_use]
    pub fn routes(&self) -> Arc<RouteTable> {
        self.routes.load_full()
    }

    fn publish_routes(&self) {
        let table = RouteTable::build(
            &self.view(),
            &self.usable_vms(),
            self.local_vm(),
            self.rpc_address,
        );
        self.routes.store(Arc::new(table));
    }

    /// Returns the usable VMs, sorted.
    #[must_use]
    pub fn usable_vms(&self) -> Arc<Vec<VmName>> {
        self.usable_vms.load_full()
    }

    /// Publishes which VMs are usable; called after each change of the membership.
    pub fn publish_usable_vms(&self, fleet: &FleetTable) {
        let usable = fleet.membership.usable_vms();
        if **self.usable_vms.load() != usable {
            self.usable_vms.store(Arc::new(usable));
            self.publish_routes();
        }
    }

    /// Announces this daemon's shutdown to its peers.
    pub fn leave(&self) {
        let mut fleet = self.fleet.lock();
        fleet.membership.leave();
        self.publish_usable_vms(&fleet);
        self.state_changed.notify_one();
    }

    /// Makes a peer unusable for routing after a failed call.
    pub fn record_rpc_failure(&self, vm: &VmName, now: Instant) {
        let mut fleet = self.fleet.lock();
        fleet.membership.record_rpc_failure(vm, now);
        self.publish_usable_vms(&fleet);
    }

    /// Refuses work after a pause of this process.
    ///
    /// # Errors
    ///
    /// Fails until the daemon has rejoined the fleet.
    pub fn check_pause(&self, now: Instant) -> Result<(), Paused> {
        self.pause_detector.lock().check(now)
    }

    /// Returns true if this daemon is the active holder of a leaf.
    #[must_use]
    pub fn is_active_for(&self, slot: &LeafSlot) -> bool {
        let routes = self.routes();
        let Some(service) = routes.service(&slot.service) else {
            return false;
        };
        let holders = service.holders_of_leaf(&slot.leaf.id);
        holders.first().is_some_and(|(vm, _)| vm == self.local_vm())
    }

    /// Counts an answer and keeps it for the dump.
    pub fn record_answer(&self, body: &AnswerBody, elapsed: Duration) {
        let metrics = &self.metrics;
        let team = body.team.as_str();
        let outcome = body.outcome.as_str();
        metrics
            .query_seconds
            .with_label_values(&[team, outcome])
            .observe(elapsed.as_secs_f64());
        let asked = body.covered.len() + body.uncovered.len();
        let asked_counter = metrics.shards_asked.with_label_values(&[team]);
        asked_counter.inc_by(asked as u64);
        let covered_counter = metrics.shards_covered.with_label_values(&[team]);
        covered_counter.inc_by(body.covered.len() as u64);
        for shard in &body.uncovered {
            let labels = [shard.reason.as_str()];
            metrics.shards_uncovered.with_label_values(&labels).inc();
        }
        self.record_recent_answer(body);
    }

    /// Logs an answer that is not complete, and keeps every answer for the dump.
    pub fn record_recent_answer(&self, body: &AnswerBody) {
        if body.outcome != OutcomeName::Complete {
            let reason = body.reason.as_deref().unwrap_or("uncovered shards");
            log::info!(
                target: ENTRY, "Request {} ended {}: {reason}.",
                body.request_id,
                body.outcome.as_str()
            );
        }
        let now = self.clock.now();
        self.recent_answers.lock().push(body, now);
    }
}
