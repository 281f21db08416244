//! Start and graceful shutdown of one daemon.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

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
        /// Error of the operating system.
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
    /// Cancelled when the HTTP listeners are to close after the requests in flight.
    closing: CancellationToken,
    servers: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon within the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on or the workers cannot start.
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
            draw_incarnation(),
            rpc_address,
            metrics,
        ));
        let pool = WorkerPool::start(&shared, workers)?;
        let state = Arc::new(AppState {
            shared: Arc::clone(&shared),
            workers: pool,
        });
        start_control(&state);
        let closing = CancellationToken::new();
        let servers = vec![
            serve(query, entry::router(Arc::clone(&state)), &closing),
            serve(operator, operators::router(Arc::clone(&shared)), &closing),
        ];
        let peer_listener = tokio::spawn(accept_peers(Arc::clone(&state), rpc));
        log::info!(target: ENTRY, "Listening to callers on {query_address}.");
        Ok(Self {
            state,
            query_address,
            operator_address,
            peer_listener,
            closing,
            servers,
        })
    }

    /// Returns the address that callers use.
    #[must_use]
    pub fn query_address(&self) -> SocketAddr {
        self.query_address
    }

    /// Returns the address that operators use.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the address that other daemons use.
    #[must_use]
    pub fn rpc_address(&self) -> SocketAddr {
        self.state.shared.rpc_address
    }

    /// Returns true if callers may be sent to this daemon.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.shared.is_ready()
    }

    /// Stops the daemon without cutting off a request in flight.
    ///
    /// Readiness turns false and peers are told at once; the listeners stay open for the grace
    /// time, so that the load balancer sees it, and until the last request has ended.
    pub async fn shutdown(self) {
        let shared = &self.state.shared;
        log::info!(target: SHUTDOWN, "Readiness is false; peers are told.");
        shared.lifecycle.set_stopping();
        shared.leave();
        tokio::time::sleep(Duration::from_millis(shared.settings.shutdown_grace_ms)).await;
        self.closing.cancel();
        let limit = Duration::from_millis(shared.settings.drain_limit_ms);
        if tokio::time::timeout(limit, drain(shared, self.servers))
            .await
            .is_err()
        {
            let left = shared.lifecycle.in_flight();
            log::warn!(target: SHUTDOWN, "{left} requests did not end within the drain limit.");
        }
        // The last replies have been handed to the connections, which still write them.
        tokio::time::sleep(LAST_WRITE_WAIT).await;
        self.peer_listener.abort();
        let state = Arc::clone(&self.state);
        // Joining threads blocks, so it runs off the runtime's own threads.
        if tokio::task::spawn_blocking(move || state.workers.stop())
            .await
            .is_err()
        {
            log::error!(target: SHUTDOWN, "The workers did not stop in order.");
        }
        log::info!(target: SHUTDOWN, "All requests have ended.");
    }
}

/// Waits for the callers' requests, then for the work of peers.
async fn drain(shared: &Shared, servers: Vec<JoinHandle<()>>) {
    for server in servers {
        if server.await.is_err() {
            log::error!(target: SHUTDOWN, "A listener did not end in order.");
        }
    }
    shared.lifecycle.wait_idle().await;
    shared.lifecycle.set_drained();
    // Work that was accepted between the two steps ends as well.
    shared.lifecycle.wait_idle().await;
}

/// Time for the connections to write the last replies.
const LAST_WRITE_WAIT: Duration = Duration::from_millis(50);

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |source| StartError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

fn serve(
    listener: TcpListener,
    router: axum::Router,
    closing: &CancellationToken,
) -> JoinHandle<()> {
    let closing = closing.clone().cancelled_owned();
    tokio::spawn(async move {
        let server = axum::serve(listener, router).with_graceful_shutdown(closing);
        if let Err(error) = server.await {
            log::error!(target: ENTRY, "A listener ended: {error}.");
        }
    })
}

async fn accept_peers(state: Arc<AppState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                let prepared = stream.set_nodelay(true).and_then(|()| stream.into_std());
                match prepared {
                    Ok(stream) => state.workers.accept(stream),
                    Err(error) => {
                        log::debug!(target: GOSSIP, "A connection failed at once: {error}.");
                    }
                }
            }
            Err(error) => {
                log::warn!(target: GOSSIP, "A connection cannot be accepted: {error}.");
                // The usual cause is a lack of file descriptors, which takes a moment to end.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

fn start_control(state: &AppState) {
    let addresses = state.shared.settings.platform_addresses.clone();
    state.workers.spawn(move |worker| async move {
        let client = Rc::new(PlatformClient::new(addresses));
        let tasks = tokio::task::spawn_local(fleet::housekeep(Rc::clone(&worker)));
        tokio::task::spawn_local(fleet::probe_members(Rc::clone(&worker)));
        tokio::task::spawn_local(fleet::maintain_histories(Rc::clone(&worker)));
        tokio::task::spawn_local(fleet::announce_changes(Rc::clone(&worker)));
        tokio::task::spawn_local(fleet::renew_shares(Rc::clone(&worker)));
        tokio::task::spawn_local(leafs::maintain(Rc::clone(&worker)));
        fleet::join(Rc::clone(&worker), Rc::clone(&client)).await;
        tokio::task::spawn_local(fleet::watch_platform(worker, client));
        if tasks.await.is_err() {
            log::error!(target: GOSSIP, "The housekeeping task ended.");
        }
    });
}

/// Draws an incarnation that is above those of earlier starts on the same VM.
///
/// This is the only use of the wall clock: VMs keep nothing, so nothing else orders two starts. A
/// clock that went back makes peers ignore the daemon until it is above the earlier incarnation.
fn draw_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
