//! Accepts callers' connections within their bound, and disconnects slow ones under pressure.

use std::time::Duration;

use axum::Router;
use client_connections::{ClientCounts, ClientStream, Clients, OpenClient};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::logging::ENTRY;

/// Maximum size of a head, and of the bytes read ahead. Heads of queries have a few hundred bytes.
const READ_BUFFER_BYTES_MAX: usize = 16 << 10;
/// Time after which a connection closes if no head arrives, including the idle time before it. It is longer
/// than the idle timeouts that load balancers commonly have.
const HEAD_TIMEOUT: Duration = Duration::from_mins(2);
/// Delay before the next accept after one failed, usually for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Interval between two searches for slow callers.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of searches between two log lines, which bounds the number of lines.
const CHECKS_PER_LINE: u32 = 4;

/// Serves callers until `close` is cancelled; then answers the requests in progress.
pub async fn serve_callers(
    listener: TcpListener,
    router: Router,
    clients: Clients,
    close: CancellationToken,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next(), if !connections.is_empty() => continue,
            () = close.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                // A connection beyond the bound closes at once.
                if let Some(open) = clients.open() {
                    connections.spawn(serve(stream, router.clone(), open, close.clone()));
                }
            }
            Err(error) => {
                log::warn!(target: ENTRY, "Failed to accept a caller's connection: {error}.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(stream: TcpStream, router: Router, open: OpenClient, close: CancellationToken) {
    // If this fails, answers are merely sent with a delay.
    let _ = stream.set_nodelay(true);
    let client = open.client().clone();
    let stream = ClientStream::new(stream, client.clone());
    let router = TowerToHyperService::new(router);
    let service = service_fn(move |mut request: hyper::Request<hyper::body::Incoming>| {
        let (router, client) = (router.clone(), client.clone());
        async move {
            // An answer that is not read must not be followed by others that wait as well.
            client.has_read().await;
            client.sends();
            request.extensions_mut().insert(client.clone());
            let answer = hyper::service::Service::call(&router, request).await;
            let length = answer.as_ref().ok().and_then(|answer| {
                let length = hyper::body::Body::size_hint(answer.body()).exact()?;
                usize::try_from(length).ok()
            });
            client.receives(length.unwrap_or_default());
            answer
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A failed connection affects only its caller.
        _ = connection.as_mut() => return,
        () = open.client().disconnected() => return,
        () = close.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = open.client().disconnected() => {}
    }
}

/// Disconnects slow callers under pressure; never ends.
pub async fn disconnect_slow_callers(clients: Clients) {
    let mut logged = ClientCounts::default();
    loop {
        for _ in 0..CHECKS_PER_LINE {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let _ = clients.disconnect_slow();
        }
        let counts = clients.counts();
        if counts != logged {
            log::warn!(
                target: ENTRY,
                "Disconnected {} slow callers, refused {} connections and denied memory {} times; {} bytes are \
                 held for {} callers.",
                counts.disconnected - logged.disconnected,
                counts.connections_refused - logged.connections_refused,
                counts.denied - logged.denied,
                clients.used_bytes(),
                clients.open_count(),
            );
            logged = counts;
        }
    }
}
