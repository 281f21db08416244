//! The HTTP server under each fake: one port whose listener and connections can be closed at run time.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

const BACKLOG: u32 = 1024;
/// Another process may take the port in the instant between two sockets, so binding is repeated.
const REBIND_DELAY: Duration = Duration::from_millis(10);

/// the connection is closed without a reply
#[derive(Debug, Clone, Copy, Display, Error)]
pub struct CloseConnection;

/// What a handler returns.
pub type Reply = Result<Response<Full<Bytes>>, CloseConnection>;

/// What a fake does with connections and requests.
pub trait Handler: Send + Sync + 'static {
    /// Kept by the server for as long as the connection is open.
    type Connection: Send + 'static;

    /// Admits a new connection, or closes it at once with `None`.
    fn connect(self: &Arc<Self>) -> Option<Self::Connection>;

    /// Answers one request.
    fn handle(self: &Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply> + Send;
}

#[derive(Debug, Clone, Copy)]
struct State {
    listening: bool,
    /// Raised to close all open connections.
    epoch: u64,
}

/// Opens and closes the port; cloned into handlers that crash their own server.
#[derive(Debug, Clone)]
pub struct Control(watch::Sender<State>);

impl Control {
    /// Creates the control of a server that listens.
    #[must_use]
    pub fn new() -> Self {
        Self(watch::Sender::new(State {
            listening: true,
            epoch: 0,
        }))
    }

    /// Refuses connections from now on and closes those that are open.
    pub fn go_down(&self) {
        self.0.send_modify(|state| {
            state.listening = false;
            state.epoch += 1;
        });
    }

    /// Refuses or accepts new connections; open ones are kept.
    pub fn set_listening(&self, listening: bool) {
        self.0.send_modify(|state| state.listening = listening);
    }

    /// Returns true if new connections are accepted.
    #[must_use]
    pub fn is_listening(&self) -> bool {
        self.0.borrow().listening
    }
}

impl Default for Control {
    fn default() -> Self {
        Self::new()
    }
}

/// A running server; dropping it closes the port and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    /// Owns the connections' tasks, which end with it.
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server on a port of 127.0.0.1 that the operating system assigns.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub fn start<H: Handler>(handler: Arc<H>, control: Control) -> io::Result<Self> {
        let (socket, address) = reserve_port()?;
        let listener = socket.listen(BACKLOG)?;
        let task = tokio::spawn(run(handler, control, address, listener));
        Ok(Self { address, task })
    }

    /// Returns the server's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds a port that the operating system assigns, without listening.
///
/// While the socket lives, nobody else is assigned the port, and connections to it are refused. A
/// program can listen on it nevertheless, because both reuse addresses.
///
/// # Errors
///
/// Fails if no port is free.
pub fn reserve_port() -> io::Result<(TcpSocket, SocketAddr)> {
    let socket = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// Binds without listening, which keeps the port and refuses connections to it.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn rebind(address: SocketAddr) -> TcpSocket {
    loop {
        if let Ok(socket) = bind(address) {
            return socket;
        }
        tokio::time::sleep(REBIND_DELAY).await;
    }
}

async fn run<H: Handler>(
    handler: Arc<H>,
    control: Control,
    address: SocketAddr,
    mut listener: TcpListener,
) {
    let mut states = control.0.subscribe();
    let mut connections = JoinSet::new();
    loop {
        accept_while_listening(&handler, &mut states, &listener, &mut connections).await;
        drop(listener);
        listener = loop {
            let reserved = rebind(address).await;
            if states.wait_for(|state| state.listening).await.is_err() {
                return;
            }
            if let Ok(listener) = reserved.listen(BACKLOG) {
                break listener;
            }
        };
    }
}

async fn accept_while_listening<H: Handler>(
    handler: &Arc<H>,
    states: &mut watch::Receiver<State>,
    listener: &TcpListener,
    connections: &mut JoinSet<()>,
) {
    while states.borrow_and_update().listening {
        tokio::select! {
            biased;
            _ = states.changed() => {}
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    admit(handler, states.clone(), stream, connections);
                    while connections.try_join_next().is_some() {}
                }
            }
        }
    }
}

fn admit<H: Handler>(
    handler: &Arc<H>,
    states: watch::Receiver<State>,
    stream: TcpStream,
    connections: &mut JoinSet<()>,
) {
    let state = *states.borrow();
    if !state.listening {
        return;
    }
    let Some(connection) = handler.connect() else {
        return;
    };
    connections.spawn(serve(
        Arc::clone(handler),
        stream,
        states,
        state.epoch,
        connection,
    ));
}

async fn serve<H: Handler>(
    handler: Arc<H>,
    stream: TcpStream,
    mut states: watch::Receiver<State>,
    epoch: u64,
    _connection: H::Connection,
) {
    // A peer that has already closed the connection makes this fail; the server notices it next.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await }
    });
    let http =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        _ = states.wait_for(|state| state.epoch != epoch) => {}
        _ = http => {}
    }
}

/// Returns a reply with a JSON body.
pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a reply without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
