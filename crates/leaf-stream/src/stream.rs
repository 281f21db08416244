use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use client_connections::HeldMemory;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::buffer_memory::BufferMemory;
use crate::progress_limit::ProgressLimit;

/// A connection to a leaf that fails if the leaf sends too many bytes without progress.
#[derive(Debug)]
pub struct LeafStream {
    stream: TcpStream,
    progress_limit: ProgressLimit,
    /// `None` if nothing counts the buffers.
    buffers: Option<BufferMemory>,
}

impl LeafStream {
    /// Wraps a connection; returns it with the limit that its user restarts.
    #[must_use]
    pub fn new(stream: TcpStream) -> (Self, ProgressLimit) {
        let progress_limit = ProgressLimit::new();
        let limited = Self {
            stream,
            progress_limit: progress_limit.clone(),
            buffers: None,
        };
        (limited, progress_limit)
    }

    /// Lets the buffers of the connection take this memory, and more as they grow; returns the handle for its user.
    #[must_use]
    pub fn count_buffers(&mut self, memory: HeldMemory) -> BufferMemory {
        let buffers = BufferMemory::new(memory);
        self.buffers = Some(buffers.clone());
        buffers
    }
}

impl AsyncRead for LeafStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if let Some(buffers) = &self.buffers {
            buffers.reads_into(buf.remaining());
        }
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.progress_limit.count(buf.filled().len() - before) {
            Poll::Ready(Ok(()))
        } else {
            let error = "the leaf sent too many bytes that are no answer";
            Poll::Ready(Err(io::Error::other(error)))
        }
    }
}

impl AsyncWrite for LeafStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
