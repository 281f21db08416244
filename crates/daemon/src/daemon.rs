//! Start-up and graceful shutdown of the daemon.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use client_connections::HttpServer;
use config_service::PlatformClient;
use displaydoc::Display;
use medlarpin_core::prelude::*;
use settings::DaemonSettings;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::logging::{ENTRY, GOSSIP, SHUTDOWN};
use crate::operators::Metrics;
use crate::shared::{AppState, Shared};
use crate::workers::{WorkerError, WorkerPool};
use crate::{entry, fleet, leafs, operators};

/// Why the daemon could not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// cannot listen on {address}: {source}
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// cannot start the workers: {0}
    Workers(#[from] WorkerError),
    /// cannot register the metrics: {0}
    Metrics(#[from] prometheus::Error),
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    state: Arc<AppState>,
    query_address: SocketAddr,
    operator_address: SocketAddr,
    peer_listener: JoinHandle<()>,
    slow_clients: JoinHandle<()>,
    /// Cancelled to shut the HTTP servers down after their requests in flight.
    close_servers: CancellationToken,
    servers: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon in the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound, or the workers or the metrics cannot be set up.
    pub async fn start(
        settings: DaemonSettings,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, StartError> {
        let (rpc, rpc_address) = listen(settings.rpc_address).await?;
        let (query, query_address) = listen(settings.query_address).await?;
        let (operator, operator_address) = listen(settings.operator_address).await?;
        let metrics = Metrics::new()?;
        let workers = settings.workers;
        let shared = Arc::new(Shared::new(
            settings,
            clock,
            new_incarnation(),
            rpc_address,
            metrics,
        ));
        let pool = WorkerPool::start(&shared, workers)?;
        let state = Arc::new(AppState {
            shared: Arc::clone(&shared),
            workers: pool,
        });
        start_background_tasks(&state);
        let close_servers = CancellationToken::new();
        let servers = vec![
            serve(
                HttpServer {
                    listener: query,
                    router: entry::router(Arc::clone(&state)),
                    clients: shared.clients.callers.clone(),
                },
                &close_servers,
            ),
            serve(
                HttpServer {
                    listener: operator,
                    router: operators::router(Arc::clone(&shared)),
                    clients: shared.clients.operators.clone(),
                },
                &close_servers,
            ),
        ];
        let slow_clients = entry::disconnect_slow_clients(shared.clients.clone());
        let slow_clients = tokio::spawn(slow_clients);
        let peer_listener = tokio::spawn(accept_peers(Arc::clone(&state), rpc));
        log::info!(target: ENTRY, "Listening for callers on {query_address}.");
        Ok(Self {
            state,
            query_address,
            operator_address,
            peer_listener,
            slow_clients,
            close_servers,
            servers,
        })
    }

    /// Returns the address of the callers' HTTP endpoints.
    #[must_use]
    pub fn query_address(&self) -> SocketAddr {
        self.query_address
    }

    /// Returns the address of the operators' HTTP endpoints.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the address of the RPC listener for other daemons.
    #[must_use]
    pub fn rpc_address(&self) -> SocketAddr {
        self.state.shared.rpc_address
    }

    /// Returns true if the load balancer may send callers to this daemon.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.shared.is_ready()
    }

    /// Stops the daemon after its requests in flight have finished or the drain limit has passed.
    ///
    /// Readiness turns false and peers are notified at once. The listeners stay open for the grace
    /// period, so that the load balancer notices, and until the last request has finished.
    pub async fn shutdown(self) {
        let shared = &self.state.shared;
        log::info!(target: SHUTDOWN, "Shutting down: readiness is false and peers are notified.");
        shared.lifecycle.set_stopping();
        shared.leave();
        tokio::time::sleep(Duration::from_millis(shared.settings.shutdown_grace_ms)).await;
        self.close_servers.cancel();
        let limit = Duration::from_millis(shared.settings.drain_limit_ms);
        if tokio::time::timeout(limit, drain(shared, self.servers))
            .await
            .is_err()
        {
            let left = shared.lifecycle.in_flight();
            log::warn!(
                target: SHUTDOWN, "{left} requests are still in flight after the drain limit of {} ms.",
                limit.as_millis()
            );
        }
        // The connections may still be writing the last replies.
        tokio::time::sleep(FINAL_FLUSH_DELAY).await;
        self.peer_listener.abort();
        self.slow_clients.abort();
        let state = Arc::clone(&self.state);
        // Joining the worker threads blocks, so it runs on the blocking pool.
        if tokio::task::spawn_blocking(move || state.workers.stop())
            .await
            .is_err()
        {
            log::error!(target: SHUTDOWN, "The task that stops the workers panicked.");
        }
        log::info!(target: SHUTDOWN, "Shutdown is complete.");
    }
}

/// Waits for callers' requests to finish, then for batches from peers.
async fn drain(shared: &Shared, servers: Vec<JoinHandle<()>>) {
    for server in servers {
        if server.await.is_err() {
            log::error!(target: SHUTDOWN, "An HTTP server task panicked.");
        }
    }
    shared.lifecycle.wait_idle().await;
    shared.lifecycle.set_drained();
    // Waits for work that was accepted between the two previous calls.
    shared.lifecycle.wait_idle().await;
}

/// Time allowed for the connections to write the last replies.
const FINAL_FLUSH_DELAY: Duration = Duration::from_millis(50);

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    Ok((listener, address))
}

fn serve(server: HttpServer, close_servers: &CancellationToken) -> JoinHandle<()> {
    let accept_failed = |error: &io::Error| {
        log::warn!(target: ENTRY, "Failed to accept a connection: {error}.");
    };
    tokio::spawn(server.run(close_servers.clone(), accept_failed))
}

async fn accept_peers(state: Arc<AppState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                // A connection beyond the bound closes at once.
                let Some(place) = state.shared.clients.callers.open_peer() else {
                    continue;
                };
                let prepared = stream.set_nodelay(true).and_then(|()| stream.into_std());
                match prepared {
                    Ok(stream) => state.workers.accept(stream, place),
                    Err(error) => {
                        log::debug!(
                            target: GOSSIP, "Failed to set up an accepted peer connection: {error}."
                        );
                    }
                }
            }
            Err(error) => {
                log::warn!(target: GOSSIP, "Failed to accept a peer connection: {error}.");
                // Usually the process is out of file descriptors; retrying at once would busy-loop.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

fn start_background_tasks(state: &AppState) {
    let addresses = state.shared.settings.platform_addresses.clone();
    state.workers.spawn(move |worker| async move {
        let client = Rc::new(PlatformClient::new(addresses));
        let housekeeping = tokio::task::spawn_local(fleet::housekeep(Rc::clone(&worker)));
        tokio::task::spawn_local(fleet::probe_members(Rc::clone(&worker)));
        tokio::task::spawn_local(fleet::maintain_histories(Rc::clone(&worker)));
        tokio::task::spawn_local(fleet::announce_changes(Rc::clone(&worker)));
        tokio::task::spawn_local(fleet::renew_shares(Rc::clone(&worker)));
        tokio::task::spawn_local(leafs::maintain(Rc::clone(&worker)));
        fleet::join(Rc::clone(&worker), Rc::clone(&client)).await;
        tokio::task::spawn_local(fleet::watch_platform(worker, client));
        if housekeeping.await.is_err() {
            log::error!(target: GOSSIP, "The housekeeping task panicked.");
        }
    });
}

/// Returns an incarnation number higher than those of earlier processes on the same VM.
///
/// It comes from the wall clock, which no other decision uses: VMs have no persistent storage, so
/// nothing else orders two starts. If the clock was set back, peers ignore the daemon until a later
/// start gets a higher number than the earlier process had.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
