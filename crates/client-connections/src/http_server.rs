use std::io;
use std::time::Duration;

use axum::Router;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::client::OpenClient;
use crate::client_stream::ClientStream;
use crate::clients::Clients;

/// Maximum size of a head, and of the bytes read ahead. Heads have a few hundred bytes.
const READ_BUFFER_BYTES_MAX: usize = 16 << 10;
/// Time after which a connection closes if no head arrives, including the idle time before it. It is longer
/// than the idle timeouts that load balancers commonly have.
const HEAD_TIMEOUT: Duration = Duration::from_mins(2);
/// Delay before the next accept after one failed, usually for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Serves a router to one group of clients, within the bound on their connections.
///
/// A request has its connection, a [`Client`](crate::Client), as an extension.
#[derive(Debug)]
pub struct HttpServer {
    /// Accepts the connections.
    pub listener: TcpListener,
    /// Answers the requests.
    pub router: Router,
    /// Group that the clients belong to.
    pub clients: Clients,
}

impl HttpServer {
    /// Serves clients until `close` is cancelled; then answers the requests in progress. `accept_failed` reports
    /// connections that could not be accepted.
    pub async fn run(self, close: CancellationToken, accept_failed: impl Fn(&io::Error)) {
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                Some(_) = connections.join_next(), if !connections.is_empty() => continue,
                () = close.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    // A connection beyond the bound closes at once.
                    if let Some(open) = self.clients.open() {
                        connections.spawn(serve(stream, self.router.clone(), open, close.clone()));
                    }
                }
                Err(error) => {
                    accept_failed(&error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }
}

async fn serve(stream: TcpStream, router: Router, open: OpenClient, close: CancellationToken) {
    // If this fails, answers are merely sent with a delay.
    let _ = stream.set_nodelay(true);
    let client = open.client().clone();
    let stream = ClientStream::new(stream, client.clone());
    let router = TowerToHyperService::new(router);
    let service = service_fn(move |mut request: hyper::Request<Incoming>| {
        let (router, client) = (router.clone(), client.clone());
        async move {
            // An answer that is not read must not be followed by others that wait as well.
            client.has_read().await;
            client.sends();
            request.extensions_mut().insert(client.clone());
            let answer = router.call(request).await;
            let length = answer.as_ref().ok().and_then(|answer| {
                let length = answer.body().size_hint().exact()?;
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
        // A failed connection affects only its client.
        _ = connection.as_mut() => return,
        () = open.client().disconnected() => return,
        () = close.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = open.client().disconnected() => {}
    }
}
