use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use medlarpin_core::prelude::{Clock, FailureDomain, ServiceName};
use medlarpin_core::routing::{
    DEFAULT_DAEMON_COUNT, DaemonList, DelegateSelector, KnownDaemon, RetryBudget, RetryLimits,
    Route, RoutingConfig, SHED_BACK_OFF,
};
use parking_lot::Mutex;
use settings::RouterSettings;

use crate::delegation::Delegations;
use crate::event::Event;
use crate::leaf::Leaf;
use crate::leaf_table::LeafTable;
use crate::metrics::Metrics;
use crate::published::Published;
use crate::route_state::RouteState;

/// Part of the repeat ratio that is used; the rest is kept for requests that end in another window.
const RATIO_USED: f64 = 0.9;
/// Connections of one daemon to a leaf, as a part of those that the leaf accepts from all.
const CONNECTION_SHARE: u32 = 26;
/// Connections to a leaf that a daemon may always open: one in use and one for a hedge.
const CONNECTIONS_MIN: u32 = 2;

/// State that all requests share.
///
/// Locks are held for single calls only, never across an await and never two at a time, except
/// that `routes` is held while a route's state is created.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Replaced when the settings file is read again.
    pub(crate) settings: ArcSwap<RouterSettings>,
    failure_domain: FailureDomain,
    pub(crate) clock: Arc<dyn Clock>,
    /// The configuration in force; `None` until the first one is known.
    pub(crate) config: ArcSwapOption<RoutingConfig>,
    pub(crate) leafs: LeafTable,
    /// True once the leafs' entries were read.
    pub(crate) leafs_known: AtomicBool,
    /// True once the daemon has been asked to stop.
    pub(crate) is_stopping: AtomicBool,
    /// Sorted by name, without duplicates.
    routes: Mutex<Vec<Arc<RouteState>>>,
    /// Sorted by service, without duplicates.
    budgets: Mutex<Vec<(ServiceName, RetryBudget)>>,
    /// What this daemon can tell daemons that do not read the store.
    pub(crate) published: Published,
    /// The other daemons; `None` if they cannot reach this one.
    pub(crate) daemons: Option<Mutex<DaemonList>>,
    /// Which queries other daemons gather; `None` if they cannot reach this one.
    delegates: Option<Mutex<DelegateSelector>>,
    /// Queries that other daemons gather.
    pub(crate) delegations: Delegations,
    pub(crate) metrics: Metrics,
}

impl Shared {
    pub(crate) fn new(
        settings: RouterSettings,
        peer_address: Option<SocketAddr>,
        clock: Arc<dyn Clock>,
        delegations: Delegations,
        metrics: Metrics,
    ) -> Self {
        let own = peer_address.map(|address| KnownDaemon {
            address,
            cpu_millicores: settings.cpu_millicores(),
        });
        Self {
            failure_domain: settings.failure_domain.clone(),
            settings: ArcSwap::from_pointee(settings),
            clock,
            config: ArcSwapOption::empty(),
            leafs: LeafTable::default(),
            leafs_known: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            routes: Mutex::default(),
            budgets: Mutex::default(),
            published: Published::new(),
            daemons: own.map(|own| Mutex::new(DaemonList::new(own))),
            delegates: own.map(|own| Mutex::new(DelegateSelector::new(own))),
            delegations,
            metrics,
        }
    }

    /// Returns the failure domain of this daemon.
    pub(crate) fn failure_domain(&self) -> &FailureDomain {
        &self.failure_domain
    }

    /// Returns the number of daemons among which limits are divided.
    pub(crate) fn daemons_sharing(&self) -> usize {
        let now = self.now();
        self.daemons
            .as_ref()
            .map_or(DEFAULT_DAEMON_COUNT, |daemons| {
                daemons.lock().daemon_count(now)
            })
    }

    /// Returns the version in force; 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        let config = self.config.load();
        config.as_ref().map_or(0, |config| config.version.0)
    }

    /// Logs why no leaf of a service can get a request.
    pub(crate) fn log_no_usable_leaf(&self, request: &str, service: &ServiceName, now: Instant) {
        let leafs = self.leafs.for_service(service);
        let count = |is_counted: fn(&Leaf, Instant) -> bool| {
            leafs.iter().filter(|leaf| is_counted(leaf, now)).count()
        };
        Event::NoUsableLeaf {
            request,
            service: service.as_str(),
            published: leafs.len(),
            leaving: count(|leaf, _| leaf.is_leaving()),
            blocked: count(|leaf, now| leaf.load.lock().blocked_until(now).is_some()),
        }
        .log();
    }

    /// Returns true if a leaf of the service can get a request now or in a moment.
    pub(crate) fn has_available_leaf(&self, service: &ServiceName, now: Instant) -> bool {
        let soon = now + SHED_BACK_OFF;
        self.leafs
            .for_service(service)
            .iter()
            .any(|leaf| leaf.is_usable(now) && leaf.load.lock().blocked_until(soon).is_none())
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns true if the daemon can serve new connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.config.load().is_some()
            && self.leafs_known.load(Ordering::Relaxed)
            && !self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns what is known about a route.
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

    /// Counts a request for a service.
    pub(crate) fn record_request(&self, service: &ServiceName, now: Instant) {
        let limits = self.repeat_limits();
        self.with_budget(service, now, |budget| budget.record_request(&limits, now));
    }

    /// Takes one repeated leaf request for a service if the limits allow it.
    pub(crate) fn try_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let limits = self.repeat_limits();
        self.with_budget(service, now, |budget| budget.try_retry(&limits, now))
    }

    /// Returns the daemon that gathers a query; `None` if this one does.
    pub(crate) fn delegate_for(
        &self,
        shards: usize,
        target_latency: Duration,
        now: Instant,
    ) -> Option<SocketAddr> {
        let delegates = self.delegates.as_ref()?;
        // Most daemons gather all their queries, so the list of daemons is copied only for others.
        if !delegates.lock().is_too_large(shards, target_latency) {
            return None;
        }
        let others: Vec<KnownDaemon> = self.daemons.as_ref()?.lock().others().collect();
        let delegates = delegates.lock();
        delegates.choose(others.into_iter(), rand::random(), now)
    }

    /// Records that a daemon failed to gather a query, or is late.
    pub(crate) fn avoid_delegate(&self, daemon: SocketAddr, now: Instant) {
        if let Some(delegates) = &self.delegates {
            delegates.lock().avoid(daemon, now);
        }
    }

    /// Returns the number of connections that this daemon may open to a leaf of the service.
    pub(crate) fn connections_max(&self, service: &ServiceName) -> u32 {
        let config = self.config.load();
        let published = config
            .as_ref()
            .and_then(|config| config.service(service).map(|known| known.connections_max));
        published.map_or(CONNECTIONS_MIN, |all| {
            (all / CONNECTION_SHARE).max(CONNECTIONS_MIN)
        })
    }

    fn repeat_limits(&self) -> RetryLimits {
        let settings = self.settings.load();
        RetryLimits {
            ratio: settings.repeat_ratio * RATIO_USED,
            reserve: settings.repeat_slack / self.daemons_sharing() as f64,
            window: settings.repeat_window,
        }
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        now: Instant,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock();
        let index = budgets
            .binary_search_by(|(name, _)| name.cmp(service))
            .unwrap_or_else(|index| {
                budgets.insert(index, (service.clone(), RetryBudget::new(now)));
                index
            });
        act(&mut budgets[index].1)
    }
}
