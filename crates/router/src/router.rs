use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use medlarpin_core::prelude::Clock;
use settings::RouterSettings;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::connections::Connections;
use crate::delegation::Delegations;
use crate::discovery::{Discovery, close_idle_connections};
use crate::error::RouterError;
use crate::event::Event;
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::{operators, peers, readiness};

/// Time for which new connections are accepted after readiness ended: two missed checks at one a
/// second take a daemon out of rotation.
const OUT_OF_ROTATION: Duration = Duration::from_millis(2_600);
/// Time that is left before the forced end of the process for its own end.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Interval at which the end of the last connection is looked for.
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
    /// Starts the daemon on the present local set: the exchanges with other daemons stay on one
    /// thread.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
    pub async fn start(
        settings: RouterSettings,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, RouterError> {
        let query = listen("callers", settings.query_address).await?;
        let checks = listen("readiness checks", settings.readiness_address).await?;
        let operators = listen("operators", settings.operator_address).await?;
        let query_address = address_of(&query, settings.query_address);
        let readiness_address = address_of(&checks, settings.readiness_address);
        let operator_address = address_of(&operators, settings.operator_address);
        let peer_listener = match settings.peer_address {
            Some(address) => Some((listen("other daemons", address).await?, address)),
            None => None,
        };
        let peer_address = peer_listener
            .as_ref()
            .map(|(listener, asked)| address_of(listener, *asked));
        Event::Started {
            vm: settings.vm.as_str(),
            failure_domain: settings.failure_domain.as_str(),
            query_address,
        }
        .log();
        let (delegations, delegation_task) = Delegations::new();
        let shared = Arc::new(Shared::new(
            settings,
            peer_address,
            Arc::clone(&clock),
            delegations,
            Metrics::new()?,
        ));
        spawn_local(delegation_task.run(clock));
        let connections = Arc::new(Connections::new());
        tokio::spawn(Arc::clone(&connections).accept(query, Arc::clone(&shared)));
        let ready = readiness::endpoint(Arc::clone(&shared));
        tokio::spawn(async move { axum::serve(checks, ready).await });
        let state = operators::endpoint(Arc::clone(&shared));
        tokio::spawn(async move { axum::serve(operators, state).await });
        if let Some((listener, _)) = peer_listener {
            spawn_local(peers::accept(listener, Arc::clone(&shared)));
            spawn_local(peers::greet_others(Arc::clone(&shared)));
        }
        spawn_local(Discovery::new(Arc::clone(&shared)).run());
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

    /// Returns the address at which the platform asks for readiness.
    #[must_use]
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_address
    }

    /// Returns the address at which other daemons reach this one.
    #[must_use]
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address
    }

    /// Returns the address of the operators' endpoints.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Takes over settings that were read again; addresses stay as they were at the start.
    pub fn reload(&self, settings: RouterSettings) {
        let changed = **self.shared.settings.load() != settings;
        Event::SettingsReloaded { changed }.log();
        self.shared.settings.store(Arc::new(settings));
    }

    /// Records that the settings file could not be used; the present settings stay in force.
    pub fn reload_failed(&self, error: &impl std::fmt::Display) {
        Event::SettingsUnusable {
            error: &error.to_string(),
        }
        .log();
    }

    /// Ends the daemon's work: no connection is cut while its request can still be answered.
    pub async fn shutdown(&self) {
        let shared = &self.shared;
        let started = shared.now();
        shared.is_stopping.store(true, Ordering::Relaxed);
        Event::Stopping {
            connections: self.connections.open(),
        }
        .log();
        self.connections.close();
        let grace = shared.settings.load().shutdown_grace;
        let grace = grace.saturating_sub(EXIT_MARGIN);
        loop {
            let elapsed = shared.now().saturating_duration_since(started);
            let is_drained = elapsed >= OUT_OF_ROTATION && self.connections.open() == 0;
            if is_drained || elapsed >= grace {
                break;
            }
            sleep(DRAIN_POLL).await;
        }
        Event::Stopped {
            connections_cut: self.connections.open(),
        }
        .log();
    }
}

/// Returns the address that a listener got; it differs from the asked one if that has port 0.
fn address_of(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
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
