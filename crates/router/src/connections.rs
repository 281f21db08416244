//! Callers' connections and their graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use client_connections::{ClientStream, OpenClient};
use futures::FutureExt;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use medlarpin_core::routing::CallerLimits;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::callers::handle_request;
use crate::event::Event;
use crate::shared::Shared;

/// Added to the idle timeout that callers know, so that no connection closes while a caller that
/// keeps to the timeout still uses it.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Idle timeout while no configuration is in force.
const IDLE_DEFAULT: Duration = Duration::from_secs(30);
/// Delay before the next accept after one failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Minimum buffer size that hyper accepts.
const BUFFER_BYTES_MIN: usize = CallerLimits::HEADER_BYTES_MIN;
/// Maximum size of a head while no configuration is in force; later the published limit applies.
const HEADER_BYTES_DEFAULT: usize = 16 << 10;

/// How connections are treated; a planned stop goes through the phases in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Connections are kept for further requests.
    Open,
    /// Connections close after their current request; new ones are still accepted.
    Closing,
    /// New connections are refused as well.
    Refusing,
}

/// Accepts callers' connections, counts the open ones and shuts them down gracefully.
#[derive(Debug)]
pub(crate) struct Connections {
    open: AtomicUsize,
    phase: watch::Sender<Phase>,
    /// True once the listener is closed.
    is_refusing: AtomicBool,
}

impl Connections {
    pub(crate) fn new() -> Self {
        Self {
            open: AtomicUsize::new(0),
            phase: watch::Sender::new(Phase::Open),
            is_refusing: AtomicBool::new(false),
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Closes each connection after its current request; idle ones close at once, except that one
    /// without a request so far first waits for its request.
    pub(crate) fn close(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Refuses new connections from now on, so that none is accepted only to be cut off by the exit
    /// of the process.
    pub(crate) fn refuse(&self) {
        self.phase.send_replace(Phase::Refusing);
    }

    /// Returns true if new connections are refused and all accepted ones have closed.
    pub(crate) fn is_drained(&self) -> bool {
        self.is_refusing.load(Ordering::Relaxed) && self.open_count() == 0
    }

    /// Accepts connections until they are to be refused; then serves those that already wait and
    /// closes the listener.
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener, shared: Arc<Shared>) {
        let mut phase = self.phase.subscribe();
        tokio::select! {
            () = Arc::clone(&self).accept_all(&listener, Arc::clone(&shared)) => {}
            _ = phase.wait_for(|phase| *phase == Phase::Refusing) => {}
        }
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            Arc::clone(&self).serve(stream, Arc::clone(&shared));
        }
        drop(listener);
        self.is_refusing.store(true, Ordering::Relaxed);
    }

    async fn accept_all(self: Arc<Self>, listener: &TcpListener, shared: Arc<Shared>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => Arc::clone(&self).serve(stream, Arc::clone(&shared)),
                Err(error) => {
                    Event::AcceptFailed {
                        error: &error.to_string(),
                    }
                    .log();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves a connection in a task of its own, and counts it until it is closed. If too many are open, it
    /// closes at once.
    fn serve(self: Arc<Self>, stream: TcpStream, shared: Arc<Shared>) {
        let Some(client) = shared.clients.callers.open() else {
            return;
        };
        let open = OpenGuard::new(Arc::clone(&self));
        tokio::spawn(async move {
            self.serve_connection(stream, shared, &client).await;
            drop((open, client));
        });
    }

    async fn serve_connection(&self, stream: TcpStream, shared: Arc<Shared>, open: &OpenClient) {
        // If this fails, answers are merely sent with a delay.
        let _ = stream.set_nodelay(true);
        let client = open.client().clone();
        let stream = ClientStream::new(stream, client.clone());
        let limits = shared.config.load().as_ref().map(|config| config.limits);
        let idle = limits.map_or(IDLE_DEFAULT, |limits| {
            limits.idle_timeout.max(limits.header_timeout)
        });
        let mut phase = self.phase.subscribe();
        // The first request of a new connection may already be on its way and would be lost if the
        // connection were closed. Such a connection closes with the answer to that request.
        let has_served = Arc::new(AtomicBool::new(false));
        let (served, current_phase) = (Arc::clone(&has_served), self.phase.subscribe());
        let service = service_fn(move |request| {
            served.store(true, Ordering::Relaxed);
            let (shared, current_phase) = (Arc::clone(&shared), current_phase.clone());
            let client = client.clone();
            async move {
                let mut answer = handle_request(shared, client, request).await?;
                if *current_phase.borrow() != Phase::Open {
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            // hyper's time-out for reading a head includes the idle time before it.
            .header_read_timeout(idle + IDLE_MARGIN);
        let header_bytes = limits.map_or(HEADER_BYTES_DEFAULT, |limits| limits.header_bytes);
        builder.max_buf_size(header_bytes.max(BUFFER_BYTES_MIN));
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            // A failed connection affects only its caller. Its request has a log line of its own.
            _ = connection.as_mut() => return,
            () = open.client().disconnected() => return,
            _ = phase.wait_for(|phase| *phase != Phase::Open) => {}
        }
        if has_served.load(Ordering::Relaxed) {
            connection.as_mut().graceful_shutdown();
        }
        tokio::select! {
            _ = connection => {}
            () = open.client().disconnected() => {}
        }
    }
}

/// Counts a connection as open until it is dropped, even if its task panics.
struct OpenGuard(Arc<Connections>);

impl OpenGuard {
    fn new(connections: Arc<Connections>) -> Self {
        connections.open.fetch_add(1, Ordering::Relaxed);
        Self(connections)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
