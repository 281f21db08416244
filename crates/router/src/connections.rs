//! Callers' connections and their graceful end.

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

use crate::callers::handle;
use crate::event::Event;
use crate::shared::Shared;

/// Added to the callers' idle limit, so that they do not see a connection close at its very end.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Idle limit before a configuration names one.
const IDLE_DEFAULT: Duration = Duration::from_secs(30);
/// Pause after a failure to accept, such as a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer that the HTTP library allows.
const BUFFER_BYTES_MIN: usize = 8_192;

/// Accepts callers' connections and follows them to their end.
#[derive(Debug)]
pub(crate) struct Connections {
    open: AtomicUsize,
    /// True once connections end after their present request.
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
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Ends each connection after its present request, idle ones at once.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Accepts connections until the task is dropped.
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener, shared: Arc<Shared>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (connections, shared) = (Arc::clone(&self), Arc::clone(&shared));
                    tokio::spawn(async move { connections.serve(stream, shared).await });
                }
                Err(error) => {
                    Event::AcceptFailed {
                        error: &error.to_string(),
                    }
                    .log();
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(&self, stream: TcpStream, shared: Arc<Shared>) {
        self.open.fetch_add(1, Ordering::Relaxed);
        self.serve_counted(stream, shared).await;
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    async fn serve_counted(&self, stream: TcpStream, shared: Arc<Shared>) {
        // Without it answers are only sent later, not lost.
        let _ = stream.set_nodelay(true);
        let limits = shared.config.load().as_ref().map(|config| config.limits);
        let idle = limits.map_or(IDLE_DEFAULT, |limits| {
            limits.idle_timeout.max(limits.header_timeout)
        });
        let mut closing = self.closing.subscribe();
        // A connection that is ended before its first request would lose that request, which may be
        // on its way; its answer ends it instead.
        let has_served = Arc::new(AtomicBool::new(false));
        let (served, is_closing) = (Arc::clone(&has_served), self.closing.subscribe());
        let service = service_fn(move |request| {
            served.store(true, Ordering::Relaxed);
            let (shared, is_closing) = (Arc::clone(&shared), is_closing.clone());
            async move {
                let mut answer = handle(shared, request).await?;
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
            // The library counts idle time as part of the time for the next head.
            .header_read_timeout(idle + IDLE_MARGIN);
        if let Some(limits) = limits {
            builder.max_buf_size(limits.header_bytes.max(BUFFER_BYTES_MIN));
        }
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            // A broken connection concerns its caller only; the request's own line tells its end.
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing) => {}
        }
        if has_served.load(Ordering::Relaxed) {
            connection.as_mut().graceful_shutdown();
        }
        let _ = connection.await;
    }
}
