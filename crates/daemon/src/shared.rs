//! Tables that all workers share, and their lock order.
//!
//! A mutex is locked only while no mutex later in this order is held, and is never held across an
//! await: 1 fleet, 2 admission, 3 leafs (one at a time), 4 fingerprints, 5 tickets, 6 gone
//! versions, 7 recent answers, 8 recorder.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use client_connections::{AnswerSize, ClientGroups};
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

/// Time for which a leaf that lacked an index version gets no requests for it. Limited, because the
/// leaf may load the version again.
const VERSION_GONE_TTL: Duration = Duration::from_secs(10);

/// Maximum time that readiness waits for the daemon's shares of the teams' limits.
const SHARES_READY_TIMEOUT: Duration = Duration::from_secs(5);

/// The state of one daemon.
#[derive(Debug)]
pub struct Shared {
    /// The daemon's settings.
    pub settings: DaemonSettings,
    /// The clock that every decision uses.
    pub clock: Arc<dyn Clock>,
    /// The connections of clients, and the memory for bytes that are held for others. It has locks of its
    /// own, held for one call and never with another table.
    pub clients: ClientGroups,
    /// The expected size of an answer.
    pub answer_size: AnswerSize,
    /// When the daemon started.
    pub started_at: Instant,
    /// Incarnation number of this process, higher than those of earlier processes on the VM.
    pub incarnation: Incarnation,
    /// Address of the RPC listener.
    pub rpc_address: SocketAddr,
    /// Membership and settings; lock order 1.
    pub fleet: Mutex<FleetTable>,
    /// Teams' limits, and the budgets of extra requests; lock order 2.
    pub admission: Mutex<AdmissionTable>,
    /// Leafs that this daemon holds; lock order 3, one lock for each leaf.
    pub leafs: LeafTable,
    /// Canaries, strikes and quarantines; lock order 4.
    pub fingerprints: Mutex<RecordedFingerprints>,
    /// Tickets that this daemon issued; lock order 5.
    pub tickets: Mutex<TicketTable>,
    /// Index versions that leafs reported missing; lock order 6.
    pub gone_versions: Mutex<LeafReports<IndexVersion>>,
    /// Leafs that are much slower than their group; lock order 6, never with `gone_versions`.
    pub slow_leafs: Mutex<LeafReports<()>>,
    /// The last answers, for the state dump; lock order 7.
    pub recent_answers: Mutex<RecentAnswers>,
    /// Recorder of traces; lock order 8.
    pub recorder: Arc<Recorder>,
    /// Metrics; they need no lock.
    pub metrics: Metrics,
    /// Whether the daemon has joined or is stopping, and the number of requests in flight.
    pub lifecycle: Lifecycle,
    /// Notified when the run of a ticketed query finishes.
    pub ticket_run_finished: Notify,
    /// Notified when a canary finishes.
    pub canary_finished: Notify,
    /// Notified when the membership, settings, VM list or quarantines changed and the change should
    /// be gossiped at once.
    pub state_changed: Notify,
    /// Notified when a VM list was accepted, possibly without its predecessors.
    pub vm_list_accepted: Notify,
    /// True once the daemon was able to admit queries of all teams, or has waited for
    /// [`SHARES_READY_TIMEOUT`].
    shares_obtained: AtomicBool,
    view: ArcSwap<FleetView>,
    /// Usable VMs, sorted; a copy of the membership's list, so that routing needs no lock.
    usable_vms: ArcSwap<Vec<VmName>>,
    /// Usable holders of all leaf groups, computed from the view and the usable VMs.
    routes: ArcSwap<RouteTable>,
    /// Detects pauses of this process. Locked for one call at a time, and never together with
    /// another table.
    pub pause_detector: Mutex<PauseDetector>,
}

/// State of the HTTP handlers: the shared tables and the worker pool.
#[derive(Debug)]
pub struct AppState {
    /// Tables that all workers share.
    pub shared: Arc<Shared>,
    /// The workers.
    pub workers: WorkerPool,
}

impl Shared {
    /// Creates the state of a daemon that starts now.
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
        let memory_bytes = usize::try_from(settings.memory_mb).unwrap_or(usize::MAX) << 20;
        Self {
            clients: ClientGroups::new(memory_bytes, &clock),
            answer_size: AnswerSize::default(),
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

    /// Returns the name of this daemon's VM.
    #[must_use]
    pub fn local_vm(&self) -> &VmName {
        &self.settings.vm
    }

    /// Returns the time between probes of members.
    #[must_use]
    pub fn probe_interval(&self) -> Duration {
        Duration::from_millis(self.settings.probe_interval_ms)
    }

    /// Returns true if the load balancer may send callers to this daemon.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = self.clock.now();
        self.lifecycle.is_joined()
            && !self.lifecycle.is_stopping()
            && self.check_pause(now).is_ok()
            && self.has_shares(now)
    }

    /// Returns true once the daemon has shares of the teams' limits, or has waited long enough for
    /// them.
    ///
    /// Without shares it would refuse its first callers. The wait is bounded because a daemon
    /// without shares can later borrow units from others.
    fn has_shares(&self, now: Instant) -> bool {
        if self.shares_obtained.load(Ordering::Relaxed) {
            return true;
        }
        let has_shares = now.saturating_duration_since(self.started_at) >= SHARES_READY_TIMEOUT
            || self.admission.lock().would_admit_all(now);
        self.shares_obtained.fetch_or(has_shares, Ordering::Relaxed);
        has_shares
    }

    /// Returns the current settings and VM list.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Replaces the settings and VM list, and recomputes the routes.
    pub fn set_view(&self, view: FleetView) {
        self.view.store(Arc::new(view));
        self.publish_routes();
    }

    /// Returns the usable holders of all leaf groups.
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

    /// Updates the list of usable VMs and the routes; must be called after each membership change.
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

    /// Excludes a peer from routing after a failed call.
    pub fn record_rpc_failure(&self, vm: &VmName, now: Instant) {
        let mut fleet = self.fleet.lock();
        fleet.membership.record_rpc_failure(vm, now);
        self.publish_usable_vms(&fleet);
    }

    /// Checks that this process has not been paused.
    ///
    /// # Errors
    ///
    /// Fails after a pause until the daemon has rejoined the fleet.
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

    /// Updates the metrics for an answer and keeps it for the state dump.
    pub fn record_answer(&self, body: &AnswerBody, elapsed: Duration) {
        let metrics = &self.metrics;
        let team = body.team.as_str();
        let outcome = body.outcome.as_str();
        metrics
            .query_seconds
            .with_label_values(&[team, outcome])
            .observe(elapsed.as_secs_f64());
        let requested = body.covered.len() + body.uncovered.len();
        let asked_counter = metrics.shards_asked.with_label_values(&[team]);
        asked_counter.inc_by(requested as u64);
        let covered_counter = metrics.shards_covered.with_label_values(&[team]);
        covered_counter.inc_by(body.covered.len() as u64);
        for shard in &body.uncovered {
            let labels = [shard.reason.as_str()];
            metrics.shards_uncovered.with_label_values(&labels).inc();
        }
        self.record_recent_answer(body);
    }

    /// Keeps an answer for the state dump, and logs it unless it is complete.
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
