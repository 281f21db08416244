use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::client::Client;

/// Unsent bytes that the kernel takes for a connection at most. More would hide from this process that the
/// client does not read, and be memory of the same VM.
pub(crate) const UNSENT_BYTES_MAX: u32 = 16 << 10;

/// A connection of a caller that records the caller's progress.
///
/// Vectored writes keep the HTTP library from copying bodies into a buffer that nothing counts. The library
/// flushes the stream only after it has written all its bytes.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    client: Client,
}

impl ClientStream {
    /// Wraps a connection and limits its unsent bytes.
    #[must_use]
    pub fn new(stream: TcpStream, client: Client) -> Self {
        // If this fails, the kernel takes more bytes.
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_BYTES_MAX);
        Self { stream, client }
    }

    fn record(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(bytes)) => self.client.moved(*bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.client.set_blocked(),
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.client.moved(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.client.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
