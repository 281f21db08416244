//! Callers' connections and their graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
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
const BUFFER_BYTES_MIN: usize = 8_192;

/// Accepts callers' connections, counts the open ones and shuts them down gracefully.
#[derive(Debug)]
pub(crate) struct Connections {
    open: AtomicUsize,
    /// True once connections are to close after their current request.
    closing: watch::Sender<bool>,
}

impl Connections {
    pub(crate) fn new() -> Self {
        Self {
            open: AtomicUsize::new(0),
            closing: watch::Sender::new(false),
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Closes each connection after its current request; idle ones close at once, except that one
    /// without a request so far first waits for its request.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Accepts connections until the task is dropped.
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener, shared: Arc<Shared>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (connections, shared) = (Arc::clone(&self), Arc::clone(&shared));
                    tokio::spawn(async move { connections.count_and_serve(stream, shared).await });
                }
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

    async fn count_and_serve(&self, stream: TcpStream, shared: Arc<Shared>) {
        self.open.fetch_add(1, Ordering::Relaxed);
        self.serve_connection(stream, shared).await;
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    async fn serve_connection(&self, stream: TcpStream, shared: Arc<Shared>) {
        // If this fails, answers are merely sent with a delay.
        let _ = stream.set_nodelay(true);
        let limits = shared.config.load().as_ref().map(|config| config.limits);
        let idle = limits.map_or(IDLE_DEFAULT, |limits| {
            limits.idle_timeout.max(limits.header_timeout)
        });
        let mut closing = self.closing.subscribe();
        // The first request of a new connection may already be on its way and would be lost if the
        // connection were closed. Such a connection closes with the answer to that request.
        let has_served = Arc::new(AtomicBool::new(false));
        let (served, is_closing) = (Arc::clone(&has_served), self.closing.subscribe());
        let service = service_fn(move |request| {
            served.store(true, Ordering::Relaxed);
            let (shared, is_closing) = (Arc::clone(&shared), is_closing.clone());
            async move {
                let mut answer = handle_request(shared, request).await?;
                if *is_closing.borrow() {
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
        if let Some(limits) = limits {
            builder.max_buf_size(limits.header_bytes.max(BUFFER_BYTES_MIN));
        }
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            // A failed connection affects only its caller. Its request has a log line of its own.
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing) => {}
        }
        if has_served.load(Ordering::Relaxed) {
            connection.as_mut().graceful_shutdown();
        }
        let _ = connection.await;
    }
}
