use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use client_connections::HttpServer;
use medlarpin_core::prelude::Clock;
use settings::RouterSettings;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::build_info::COMMIT;
use crate::client_checks::disconnect_slow_callers;
use crate::connections::Connections;
use crate::crash_memory::CrashMemory;
use crate::delegation::Delegations;
use crate::discovery::{Discovery, close_idle_connections};
use crate::error::RouterError;
use crate::event::Event;
use crate::leaf_permits::LeafPermits;
use crate::leaf_probe::check_leafs;
use crate::leaf_rate_reports::LeafRateReports;
use crate::metrics::Metrics;
use crate::planned_stop::StopTimes;
use crate::shared::Shared;
use crate::supervised::run_supervised;
use crate::{crash_reports, leaf_rate_reports, operators, peers, readiness};

/// Minimum time for which new connections are accepted after the daemon stops being ready. The
/// platform checks once a second and takes a daemon out of rotation after two failed checks.
const ROTATION_EXIT_TIME: Duration = Duration::from_millis(2_600);
/// Time reserved for the exit of the process itself before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Time reserved for the last answers to be written before the process exits.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Interval at which a shutdown checks whether all connections are closed.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A running daemon that serves published routes.
#[derive(Debug)]
pub struct Router {
    query_address: SocketAddr,
    readiness_address: SocketAddr,
    operator_address: SocketAddr,
    peer_address: Option<SocketAddr>,
    shared: Arc<Shared>,
    connections: Arc<Connections>,
}

impl Router {
    /// Starts the daemon. It must be called within a `LocalSet`, since the RPC connections to other
    /// daemons stay on one thread.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a metric cannot be registered.
    pub async fn start(
        settings: RouterSettings,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, RouterError> {
        let query_listener = listen("callers", settings.query_address).await?;
        let readiness_listener = listen("readiness checks", settings.readiness_address).await?;
        let operator_listener = listen("operators", settings.operator_address).await?;
        let query_address = bound_address(&query_listener, settings.query_address);
        let readiness_address = bound_address(&readiness_listener, settings.readiness_address);
        let operator_address = bound_address(&operator_listener, settings.operator_address);
        let peer_listener = match settings.peer_address {
            Some(address) => Some((listen("other daemons", address).await?, address)),
            None => None,
        };
        let peer_address = peer_listener
            .as_ref()
            .map(|(listener, requested)| bound_address(listener, *requested));
        Event::Started {
            commit: COMMIT,
            vm: settings.vm.as_str(),
            failure_domain: settings.failure_domain.as_str(),
            query_address,
        }
        .log();
        let (delegations, delegation_task) = Delegations::new();
        let (crash_memory, crash_queues) = CrashMemory::new();
        let (leaf_rate_reports, leaf_rate_queue) = LeafRateReports::new();
        let (leaf_permits, leaf_permit_task) = LeafPermits::new();
        let shared = Arc::new(Shared::new(
            settings,
            peer_address,
            Arc::clone(&clock),
            crash_memory,
            delegations,
            leaf_rate_reports,
            leaf_permits,
            Metrics::new()?,
        ));
        spawn_local(delegation_task.run(Arc::clone(&shared)));
        spawn_local(leaf_permit_task.run(Arc::clone(&shared)));
        spawn_local(leaf_rate_reports::pass_on(
            Arc::clone(&shared),
            leaf_rate_queue,
        ));
        spawn_local(crash_reports::verify(
            Arc::clone(&shared),
            crash_queues.unverified,
        ));
        spawn_local(crash_reports::tell_owners(
            Arc::clone(&shared),
            crash_queues.for_owners,
        ));
        spawn_local(crash_reports::pass_on(
            Arc::clone(&shared),
            crash_queues.for_all,
        ));
        let connections = Arc::new(Connections::new());
        tokio::spawn(Arc::clone(&connections).accept(query_listener, Arc::clone(&shared)));
        tokio::spawn(serve(HttpServer {
            listener: readiness_listener,
            router: readiness::endpoint(Arc::clone(&shared)),
            clients: shared.clients.readiness_checks.clone(),
        }));
        tokio::spawn(serve(HttpServer {
            listener: operator_listener,
            router: operators::endpoint(Arc::clone(&shared)),
            clients: shared.clients.operators.clone(),
        }));
        if let Some((listener, _)) = peer_listener {
            spawn_local(peers::accept(listener, Arc::clone(&shared)));
            let exchanging = Arc::clone(&shared);
            spawn_local(run_supervised("exchanges", move || {
                peers::exchange_daemon_lists(Arc::clone(&exchanging))
            }));
        }
        let discovering = Arc::clone(&shared);
        spawn_local(run_supervised("discovery", move || {
            Discovery::new(Arc::clone(&discovering)).run()
        }));
        let limited = Arc::clone(&shared);
        spawn_local(run_supervised("slow callers", move || {
            disconnect_slow_callers(Arc::clone(&limited))
        }));
        let checking = Arc::clone(&shared);
        spawn_local(run_supervised("leaf checks", move || {
            check_leafs(Arc::clone(&checking))
        }));
        tokio::spawn(close_idle_connections(Arc::clone(&shared)));
        Ok(Self {
            query_address,
            readiness_address,
            operator_address,
            peer_address,
            shared,
            connections,
        })
    }

    /// Returns the address at which callers are served.
    #[must_use]
    pub fn query_address(&self) -> SocketAddr {
        self.query_address
    }

    /// Returns the address of the platform's readiness checks.
    #[must_use]
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_address
    }

    /// Returns the address at which other daemons reach this one; `None` if they cannot.
    #[must_use]
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address
    }

    /// Returns the address of the operators' endpoints.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Puts reloaded settings in force. The settings that are read only at the start, such as the
    /// addresses of this daemon and of the store, the failure domain, the CPU share and the drain
    /// duration, take effect with the next start.
    pub fn reload(&self, settings: RouterSettings) {
        let changed = **self.shared.settings.load() != settings;
        Event::SettingsReloaded { changed }.log();
        self.shared.settings.store(Arc::new(settings));
    }

    /// Logs that the settings file could not be used; the present settings stay in force.
    pub fn reload_failed(&self, error: &impl std::fmt::Display) {
        Event::SettingsUnusable {
            error: &error.to_string(),
        }
        .log();
    }

    /// Drains the daemon: it stops being ready, later refuses new connections, and open requests are
    /// answered before their connections close, those of other daemons too. Returns when nothing is
    /// in progress or the grace time is over.
    pub async fn shutdown(&self) {
        let shared = &self.shared;
        let started = shared.now();
        let grace = shared.settings.load().shutdown_grace;
        let grace = grace.saturating_sub(EXIT_MARGIN);
        shared.planned_stop.begin(StopTimes {
            accepts_until: started + ROTATION_EXIT_TIME,
            answers_until: started + grace.saturating_sub(ANSWER_MARGIN),
        });
        Event::Stopping {
            connections: self.connections.open_count(),
        }
        .log();
        self.connections.close();
        loop {
            let elapsed = shared.now().saturating_duration_since(started);
            if elapsed >= ROTATION_EXIT_TIME {
                self.connections.refuse();
            }
            let is_drained = self.connections.is_drained() && shared.delegated_count() == 0;
            if is_drained || elapsed >= grace {
                break;
            }
            sleep(DRAIN_POLL).await;
        }
        // The last answers to other daemons may still have to be written.
        sleep(DRAIN_POLL).await;
        Event::Stopped {
            connections_cut: self.connections.open_count(),
            delegated_cut: shared.delegated_count(),
        }
        .log();
    }
}

/// Returns the address of a listener; its port differs from the requested one if that is 0.
fn bound_address(listener: &TcpListener, requested: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(requested)
}

/// Serves an address until the process exits.
async fn serve(server: HttpServer) {
    let accept_failed = |error: &io::Error| {
        Event::AcceptFailed {
            error: &error.to_string(),
        }
        .log();
    };
    server.run(CancellationToken::new(), accept_failed).await;
}

async fn listen(clients: &'static str, address: SocketAddr) -> Result<TcpListener, RouterError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| RouterError::Listen {
            clients,
            address,
            source,
        })
}
