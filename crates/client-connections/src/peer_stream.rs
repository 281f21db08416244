use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::client_stream::UNSENT_BYTES_MAX;
use crate::clients::Clients;
use crate::held_memory::HeldMemory;
use crate::sockets::OpenSocket;

/// Time after which a daemon that accepts no byte of its results is disconnected. All calls between daemons
/// time out earlier, so that it would not use the results.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Counts a connection of another daemon as open until it is dropped.
#[derive(Debug)]
pub struct PeerPlace {
    clients: Clients,
    /// `None` if there is no descriptor, in which case the connection is closed at once.
    socket: Option<OpenSocket>,
}

impl PeerPlace {
    /// The caller counts the connection.
    pub(crate) fn new(clients: Clients, socket: Option<OpenSocket>) -> Self {
        Self { clients, socket }
    }

    pub(crate) fn has_socket(&self) -> bool {
        self.socket.is_some()
    }
}

impl Drop for PeerPlace {
    fn drop(&mut self) {
        self.clients.close_peer();
    }
}

/// Memory for the results that wait to be written to one daemon.
#[derive(Debug, Clone)]
pub struct PeerResults(Arc<Mutex<HeldMemory>>);

impl PeerResults {
    /// Takes memory for results, which returns as bytes are written; returns false if there is no room.
    #[must_use]
    pub fn try_hold(&self, bytes: usize) -> bool {
        self.0.lock().try_grow(bytes)
    }

    /// Takes memory for the results of a call that has not begun; `None` if there is no room.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<PeerRoom> {
        self.try_hold(bytes).then(|| PeerRoom {
            results: self.clone(),
            bytes,
        })
    }

    fn written(&self, bytes: usize) {
        self.0.lock().shrink(bytes);
    }
}

/// Memory for the results of one call; dropping it returns the memory.
#[derive(Debug)]
pub struct PeerRoom {
    results: PeerResults,
    bytes: usize,
}

impl PeerRoom {
    /// Keeps the memory of results that exist now until they are written.
    pub fn fill(mut self, bytes: usize) {
        if bytes > self.bytes {
            self.results.0.lock().take(bytes - self.bytes);
        }
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}

impl Drop for PeerRoom {
    fn drop(&mut self) {
        self.results.written(self.bytes);
    }
}

/// An accepted connection of another daemon. While the daemon does not read its results, no more calls are
/// read from it; after a while the connection fails.
///
/// Only the side that accepts connections uses it: a side that also waits for results must read them while its
/// writes are blocked.
#[derive(Debug)]
pub struct PeerStream {
    stream: TcpStream,
    results: PeerResults,
    /// Runs while a write is blocked.
    unread: Option<Pin<Box<Sleep>>>,
    /// The reader that waits until no write is blocked.
    reader: Option<Waker>,
    _place: PeerPlace,
}

impl PeerStream {
    /// Wraps a connection and limits its unsent bytes.
    #[must_use]
    pub fn new(stream: TcpStream, place: PeerPlace) -> Self {
        // If this fails, the kernel takes more bytes.
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_BYTES_MAX);
        Self {
            stream,
            results: PeerResults(Arc::new(Mutex::new(place.clients.hold()))),
            unread: None,
            reader: None,
            _place: place,
        }
    }

    /// Returns the memory for results on this connection.
    #[must_use]
    pub fn results(&self) -> PeerResults {
        self.results.clone()
    }

    fn record(
        &mut self,
        written: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_pending() {
            let unread = self
                .unread
                .get_or_insert_with(|| Box::pin(sleep(UNREAD_TIMEOUT)));
            ready!(unread.as_mut().poll(cx));
            let error = "the other daemon does not read its results";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, error)));
        }
        self.unread = None;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        if let Poll::Ready(Ok(bytes)) = &written {
            self.results.written(*bytes);
        }
        written
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unread.is_some() {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
