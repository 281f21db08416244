//! HTTP server of the fakes: a port whose listener and connections can be closed at run time.

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
/// Delay between attempts to bind the port again. An attempt fails if another process took the port
/// in the moment between closing one socket and binding the next.
const REBIND_DELAY: Duration = Duration::from_millis(10);

/// the connection was closed without a reply
#[derive(Debug, Clone, Copy, Display, Error)]
pub struct CloseConnection;

/// Result of a request: a response, or the order to close the connection without one.
pub type Reply = Result<Response<Full<Bytes>>, CloseConnection>;

/// Behaviour of a fake: admission of connections and replies to requests.
pub trait Handler: Send + Sync + 'static {
    /// Guard that the server holds while the connection is open.
    type Connection: Send + 'static;

    /// Admits a new connection; `None` closes it at once.
    fn connect(self: &Arc<Self>) -> Option<Self::Connection>;

    /// Answers one request.
    fn handle(self: &Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply> + Send;
}

#[derive(Debug, Clone, Copy)]
struct State {
    listening: bool,
    /// Incremented to close all connections accepted at earlier values.
    epoch: u64,
}

/// Handle that opens and closes a server's port. Handlers that simulate a crash of their own server
/// hold a clone.
#[derive(Debug, Clone)]
pub struct ServerControl(watch::Sender<State>);

impl ServerControl {
    /// Creates the handle of a server that accepts connections.
    #[must_use]
    pub fn new() -> Self {
        Self(watch::Sender::new(State {
            listening: true,
            epoch: 0,
        }))
    }

    /// Refuses new connections and closes those that are open.
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

impl Default for ServerControl {
    fn default() -> Self {
        Self::new()
    }
}

/// A running server; dropping it closes the port and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    /// Accept loop; it owns the connections' tasks, which are aborted along with it.
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server on a port of 127.0.0.1 that the operating system assigns.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound or listened on.
    pub fn start<H: Handler>(handler: Arc<H>, control: ServerControl) -> io::Result<Self> {
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

/// Binds a port of 127.0.0.1 that the operating system assigns, without listening.
///
/// While the returned socket exists, the operating system assigns the port to no other process and
/// refuses connections to it. A program that sets `SO_REUSEADDR`, as this socket does, can still
/// bind the port and listen on it.
///
/// # Errors
///
/// Fails if no port is free.
pub fn reserve_port() -> io::Result<(TcpSocket, SocketAddr)> {
    let socket = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// Binds without listening, which reserves the port and refuses connections to it.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Binds the address, with retries until it succeeds.
async fn rebind(address: SocketAddr) -> TcpSocket {
    loop {
        if let Ok(socket) = bind(address) {
            return socket;
        }
        tokio::time::sleep(REBIND_DELAY).await;
    }
}

/// Accepts connections while the server listens. While it does not, the port stays bound, so that
/// no other process takes it.
async fn run<H: Handler>(
    handler: Arc<H>,
    control: ServerControl,
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
    // This fails if the peer has already closed the connection, which serving it then notices.
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
