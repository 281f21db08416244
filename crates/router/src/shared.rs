use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use client_connections::ClientGroups;
use medlarpin_core::prelude::{Clock, FailureDomain, LeafId, ServiceName};
use medlarpin_core::routing::{
    ConfigCheck, DaemonList, DelegateSelector, HandoverSelector, KnownDaemon, ProcessStart,
    QueryAdmission, RETRY_RATIO_USED, RetryBudget, RetryLimits, Route, RoutingConfig,
    SHED_BACK_OFF, reserve_parts,
};
use parking_lot::Mutex;
use settings::RouterSettings;

use crate::crash_memory::CrashMemory;
use crate::delegation::Delegations;
use crate::event::Event;
use crate::leaf::Leaf;
use crate::leaf_permits::LeafPermits;
use crate::leaf_rate_reports::LeafRateReports;
use crate::leaf_rates::LeafRates;
use crate::leaf_table::LeafTable;
use crate::metrics::Metrics;
use crate::planned_stop::PlannedStop;
use crate::published_items::PublishedItems;
use crate::route_state::RouteState;

/// Connections to a leaf that a daemon may open in any case: one in use and one for a hedge.
const CONNECTIONS_MIN: u32 = 2;
/// Fraction of the drain time for which a leaving leaf is still used if its service has no other
/// leaf.
const DRAIN_GRACE_FRACTION: f64 = 0.6;
/// Time from the choice of a leaf until the request arrives there: opening a connection, and the
/// way there. A leaf that has drained must get no request, so this is left of the drain time.
const SEND_TIME_MAX: Duration = Duration::from_millis(800);
/// Time until a probe that is due shows whether a leaf can be reached. It is longer than
/// [`SHED_BACK_OFF`], so that a leaf that is out of reach does not count as available.
const PROBE_TIME: Duration = Duration::from_millis(220);
/// Maximum age of the last answer of the store with which this daemon knows all published leafs. A
/// follower's is up to 1.4 s older than that of the daemon that it follows.
const CURRENT_ITEMS_AGE_MAX: Duration = Duration::from_secs(3);
/// Share of a service's limits that a daemon uses if no other daemon can reach it and tell it how
/// many there are.
pub(crate) const UNLISTED_SHARE: f64 = 1.0 / 32.0;

/// State that is shared by all requests and background tasks.
///
/// A lock of this struct is held for a single call, never across an await and never together with
/// another one. The exceptions are `routes`, which is locked while a route's state is created, and in
/// `leafs` the unlisted leafs, which are locked before all others while the table is rebuilt, and the
/// evacuated domains, which are locked while the leafs' flags are set.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Replaced when the settings file is read again.
    pub(crate) settings: ArcSwap<RouterSettings>,
    failure_domain: FailureDomain,
    pub(crate) clock: Arc<dyn Clock>,
    /// The configuration in force; `None` until the first one arrives.
    pub(crate) config: ArcSwapOption<RoutingConfig>,
    /// Whether the configuration was compared with that of another daemon since the start.
    pub(crate) config_check: Mutex<ConfigCheck>,
    pub(crate) leafs: LeafTable,
    /// The connections of clients, and the memory for all bodies that are held for clients, leafs and other
    /// daemons.
    pub(crate) clients: ClientGroups,
    /// True once the complete list of leafs has been read.
    pub(crate) leafs_loaded: AtomicBool,
    /// The planned stop, once the daemon has been asked to stop.
    pub(crate) planned_stop: PlannedStop,
    /// Number of queries of other daemons that this one gathers at present.
    delegated: AtomicUsize,
    /// Sorted by name, without duplicates.
    routes: Mutex<Vec<Arc<RouteState>>>,
    /// Sorted by service, without duplicates.
    retry_budgets: Mutex<Vec<(ServiceName, RetryBudget)>>,
    /// The store's items, which daemons that follow this one read instead of the store.
    pub(crate) published_items: PublishedItems,
    /// The other daemons; `None` if this one has no address for them to connect to.
    pub(crate) daemons: Option<Mutex<DaemonList>>,
    /// Selects the daemon that gathers a query; `None` if this one has no address for others.
    pub(crate) delegate_selector: Option<Mutex<DelegateSelector>>,
    /// Selects the daemons that serve requests whose leafs this VM does not reach; `None` if this one
    /// has no address for others.
    pub(crate) handover_selector: Option<Mutex<HandoverSelector>>,
    /// Decides which queries over many shards are refused while the leafs are overloaded.
    pub(crate) query_admission: Mutex<QueryAdmission>,
    /// Requests that have crashed leafs.
    pub(crate) crash_memory: CrashMemory,
    /// Sends queries to the daemons that gather them.
    pub(crate) delegations: Delegations,
    /// Passes on what leafs state about their request rates.
    pub(crate) leaf_rate_reports: LeafRateReports,
    /// Asks other daemons for permits of requests to leafs with a low rate.
    pub(crate) leaf_permits: LeafPermits,
    pub(crate) metrics: Metrics,
}

impl Shared {
    #[expect(
        clippy::too_many_arguments,
        reason = "each part is created with its task"
    )]
    pub(crate) fn new(
        settings: RouterSettings,
        peer_address: Option<SocketAddr>,
        clock: Arc<dyn Clock>,
        crash_memory: CrashMemory,
        delegations: Delegations,
        leaf_rate_reports: LeafRateReports,
        leaf_permits: LeafPermits,
        metrics: Metrics,
    ) -> Self {
        let own = peer_address.map(|address| KnownDaemon {
            address,
            cpu_millicores: settings.cpu_millicores(),
            started_at: Some(clock.now()),
        });
        let start = ProcessStart {
            at: clock.now(),
            is_first_start: settings.first_start,
            seeds: settings.seed_addresses.clone(),
        };
        let is_other = |seed: &SocketAddr| Some(*seed) != peer_address;
        let has_peers = peer_address.is_some() && start.seeds.iter().any(is_other);
        let memory_bytes = usize::try_from(settings.memory_mb).unwrap_or(usize::MAX) << 20;
        let leafs = LeafTable::new(drain_grace(&settings));
        Self {
            config_check: Mutex::new(ConfigCheck::new(&start, has_peers)),
            daemons: own.map(|own| Mutex::new(DaemonList::new(own, start))),
            failure_domain: settings.failure_domain.clone(),
            settings: ArcSwap::from_pointee(settings),
            config: ArcSwapOption::empty(),
            leafs,
            clients: ClientGroups::new(memory_bytes, &clock),
            clock,
            leafs_loaded: AtomicBool::new(false),
            planned_stop: PlannedStop::new(),
            delegated: AtomicUsize::new(0),
            routes: Mutex::default(),
            retry_budgets: Mutex::default(),
            published_items: PublishedItems::new(),
            delegate_selector: own.map(|own| Mutex::new(DelegateSelector::new(own))),
            handover_selector: own.map(|_| Mutex::default()),
            query_admission: Mutex::new(QueryAdmission::new()),
            crash_memory,
            delegations,
            leaf_rate_reports,
            leaf_permits,
            metrics,
        }
    }

    /// Returns the failure domain of this daemon.
    pub(crate) fn failure_domain(&self) -> &FailureDomain {
        &self.failure_domain
    }

    /// Returns the number of daemons, including this one, that share the service-wide limits.
    pub(crate) fn daemon_count(&self) -> usize {
        let daemons = self.daemons.as_ref();
        daemons.map_or(1, |daemons| daemons.lock().daemon_count())
    }

    /// Returns true if this daemon is cut off from all others.
    pub(crate) fn is_isolated(&self) -> bool {
        let daemons = self.daemons.as_ref();
        daemons.is_some_and(|daemons| daemons.lock().is_isolated(self.now()))
    }

    /// Returns the retries of a service's reserve that this daemon may use in a window.
    pub(crate) fn retry_reserve(&self, now: Instant) -> f64 {
        let settings = self.settings.load();
        let (reserve, window) = (settings.retry_reserve, settings.retry_window);
        self.daemons
            .as_ref()
            .map_or(reserve * UNLISTED_SHARE, |daemons| {
                daemons.lock().reserve(reserve, window, now)
            })
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        let config = self.config.load();
        config.as_ref().map_or(0, |config| config.version.0)
    }

    /// Logs that no leaf of a service is available, with the number of leafs by cause.
    pub(crate) fn log_no_usable_leaf(&self, request: &str, service: &ServiceName, now: Instant) {
        let leafs = self.leafs.for_service(service);
        let rates = LeafRates::new(self);
        let count = |is_counted: &dyn Fn(&Leaf) -> bool| {
            leafs.iter().filter(|leaf| is_counted(leaf)).count()
        };
        Event::NoUsableLeaf {
            request,
            service: service.as_str(),
            published: leafs.len(),
            leaving: count(&Leaf::is_leaving),
            blocked: count(&|leaf| leaf.load().blocked_until(now).is_some()),
            evacuated: count(&Leaf::is_evacuated),
            rate_limited: count(&|leaf| rates.wait_until(leaf, now).is_some()),
            cold: count(&|leaf| rates.cold_access(leaf, now).is_some()),
        }
        .log();
    }

    /// Returns true if a leaf of the service is available now or after a short back-off.
    pub(crate) fn has_available_leaf(&self, service: &ServiceName, now: Instant) -> bool {
        let soon = now + SHED_BACK_OFF;
        let rates = LeafRates::new(self);
        self.leafs.for_service(service).iter().any(|leaf| {
            let available_at = self.leaf_available_at(leaf, now);
            leaf.is_usable(now)
                && available_at.is_none_or(|at| at <= soon)
                && rates.cold_wait_until(leaf, now).is_none()
        })
    }

    /// Returns true unless this VM is known to reach no leaf of the service.
    pub(crate) fn reaches_leaf_of(&self, service: &ServiceName, now: Instant) -> bool {
        let leafs = self.leafs.for_service(service);
        let mut usable = leafs.iter().filter(|leaf| leaf.is_usable(now));
        usable.any(|leaf| leaf.load().unreachable().is_none())
    }

    /// Returns true if no daemon can use a leaf of the service, since none is published, or all have
    /// left or are evacuated. Other daemons may know better of leafs that have left if this one has not
    /// heard from the store for a while. Evacuations are in force until they are known to have ended.
    pub(crate) fn has_no_leaf(&self, service: &ServiceName, now: Instant) -> bool {
        let current_at = self.published_items.current_at();
        let is_current =
            current_at.is_some_and(|at| now.saturating_duration_since(at) < CURRENT_ITEMS_AGE_MAX);
        let leafs = self.leafs.for_service(service);
        let is_any_evacuated = leafs.iter().any(|leaf| leaf.is_evacuated());
        (is_current || is_any_evacuated) && !leafs.iter().any(|leaf| leaf.is_usable(now))
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Counts a query of another daemon until the guard is dropped.
    pub(crate) fn start_delegated(self: &Arc<Self>) -> DelegatedGuard {
        self.delegated.fetch_add(1, Ordering::Relaxed);
        DelegatedGuard(Arc::clone(self))
    }

    /// Returns the number of queries of other daemons that this one gathers at present.
    pub(crate) fn delegated_count(&self) -> usize {
        self.delegated.load(Ordering::Relaxed)
    }

    /// Returns true unless another daemon may have a newer configuration than a process that has just
    /// started.
    pub(crate) fn is_config_checked(&self) -> bool {
        self.config_check.lock().is_complete(self.now())
    }

    /// Returns true if the daemon can serve requests and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_started() && !self.planned_stop.has_begun()
    }

    /// Returns true once the daemon has a configuration and the leafs.
    pub(crate) fn is_started(&self) -> bool {
        self.config.load().is_some()
            && self.is_config_checked()
            && self.leafs_loaded.load(Ordering::Relaxed)
    }

    /// Returns the state of a route, which is created on first use.
    pub(crate) fn route_state(&self, route: &Route) -> Arc<RouteState> {
        let mut routes = self.routes.lock();
        match routes.binary_search_by(|state| state.name.cmp(&route.name)) {
            Ok(index) => Arc::clone(&routes[index]),
            Err(index) => {
                let state = Arc::new(RouteState::new(route, self.now()));
                routes.insert(index, Arc::clone(&state));
                state
            }
        }
    }

    /// Counts a request for a service towards its retry budget.
    pub(crate) fn record_request(&self, service: &ServiceName, now: Instant) {
        let limits = self.retry_limits(now);
        self.with_retry_budget(service, now, |budget| budget.record_request(&limits, now));
    }

    /// Takes one retry or hedge from a service's budget; returns false if the budget is spent.
    pub(crate) fn try_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let limits = self.retry_limits(now);
        self.with_retry_budget(service, now, |budget| budget.try_retry(&limits, now))
    }

    /// Returns the daemons to which a query may be delegated; none if this one gathers it.
    pub(crate) fn delegates_for(
        &self,
        shards: usize,
        target_latency: Duration,
        now: Instant,
    ) -> Vec<KnownDaemon> {
        let Some(delegate_selector) = &self.delegate_selector else {
            return Vec::new();
        };
        // Most daemons gather all their queries themselves, so the list of daemons is copied only
        // for a query that is too large.
        if !delegate_selector
            .lock()
            .is_too_large(shards, target_latency)
        {
            return Vec::new();
        }
        let others = self.other_daemons(now);
        delegate_selector.lock().eligible(&others, now)
    }

    /// Returns the other daemons that share the leafs with this one.
    pub(crate) fn other_daemons(&self, now: Instant) -> Vec<KnownDaemon> {
        let daemons = self.daemons.as_ref();
        daemons.map_or_else(Vec::new, |daemons| daemons.lock().others(now).collect())
    }

    /// Records that a run of a leaf has said, to this or another daemon, that it is leaving.
    pub(crate) fn record_departure(&self, run: &LeafId) {
        if self.leafs.record_departure(run, self.now()) {
            Event::LeafStatedDeparture { leaf: run.as_str() }.log();
        }
    }

    /// Excludes a daemon from delegation for a while after it was late or failed to gather a query.
    pub(crate) fn back_off_delegate(&self, daemon: SocketAddr, now: Instant) {
        if let Some(delegate_selector) = &self.delegate_selector {
            delegate_selector.lock().back_off(daemon, now);
        }
    }

    /// Returns the maximum number of connections from this daemon to one leaf of the service.
    pub(crate) fn connections_max(&self, service: &ServiceName) -> u32 {
        let config = self.config.load();
        let published_max = config
            .as_ref()
            .and_then(|config| config.service(service).map(|known| known.connections_max));
        let Some(total) = published_max else {
            return CONNECTIONS_MIN;
        };
        let daemons = self.daemons.as_ref();
        let share = daemons.map_or(UNLISTED_SHARE, |daemons| {
            daemons.lock().connection_share(self.now())
        });
        share_of(total, share).max(CONNECTIONS_MIN)
    }

    /// Returns the time from which this daemon may send the next request to a leaf, if that is not
    /// now: the end of a back-off, the next probe of a leaf that is out of reach, or the end of the wait
    /// that a stated request rate or the limit of a cold leaf requires.
    pub(crate) fn leaf_available_at(&self, leaf: &Leaf, now: Instant) -> Option<Instant> {
        let load = leaf.load();
        let blocked_until = load.blocked_until(now);
        let probed_at = load
            .unreachable()
            .map(|_| blocked_until.unwrap_or(now) + PROBE_TIME);
        drop(load);
        let blocked_until = blocked_until.max(probed_at);
        blocked_until.max(LeafRates::new(self).wait_until(leaf, now))
    }

    fn retry_limits(&self, now: Instant) -> RetryLimits {
        let settings = self.settings.load();
        let reserve = self.retry_reserve(now);
        RetryLimits {
            ratio: settings.retry_ratio * RETRY_RATIO_USED,
            reserve,
            reserve_parts: reserve_parts(reserve),
            window: settings.retry_window,
        }
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        now: Instant,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.lock();
        let index = retry_budgets
            .binary_search_by(|(name, _)| name.cmp(service))
            .unwrap_or_else(|index| {
                retry_budgets.insert(index, (service.clone(), RetryBudget::new(now)));
                index
            });
        act(&mut retry_budgets[index].1)
    }
}

/// Returns the time for which a leaving leaf is still used if its service has no other leaf.
pub(crate) fn drain_grace(settings: &RouterSettings) -> Duration {
    let drain = settings.drain_duration;
    drain
        .mul_f64(DRAIN_GRACE_FRACTION)
        .min(drain.saturating_sub(SEND_TIME_MAX))
}

/// Returns a share of a number of connections, rounded down.
fn share_of(total: u32, share: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the share is from 0 to 1, so the product is within the range of `total`"
    )]
    let part = (f64::from(total) * share.clamp(0.0, 1.0)) as u32;
    part
}

/// Counts a query of another daemon while it is gathered.
#[derive(Debug)]
pub(crate) struct DelegatedGuard(Arc<Shared>);

impl Drop for DelegatedGuard {
    fn drop(&mut self) {
        self.0.delegated.fetch_sub(1, Ordering::Relaxed);
    }
}
