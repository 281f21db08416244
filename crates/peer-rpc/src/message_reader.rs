use std::cell::RefCell;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use client_connections::{Clients, HeldMemory};
use displaydoc::Display;
use futures::AsyncRead;
use thiserror::Error;
use tokio::time::{Sleep, sleep};

use crate::framing::{Framing, FramingError};

/// Time in which a message must arrive once it has begun, including the wait for memory. All calls between daemons
/// time out earlier, so that the message would be of no use.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes of a segment table that are read at once.
const TABLE_PART_BYTES: usize = 64;

/// Why a connection to another daemon fails before its message is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum MessageError {
    /// the other daemon's message is malformed: {0}
    Framing(#[from] FramingError),
    /// the other daemon's message of {0} bytes is larger than the memory for it
    TooLarge(usize),
    /// the other daemon's message did not arrive, or found no memory, within {0:?}
    TimedOut(Duration),
}

impl From<MessageError> for io::Error {
    fn from(error: MessageError) -> Self {
        let kind = match error {
            MessageError::Framing(_) | MessageError::TooLarge(_) => io::ErrorKind::InvalidData,
            MessageError::TimedOut(_) => io::ErrorKind::TimedOut,
        };
        Self::new(kind, error)
    }
}

/// Where the memory of a message is left that has arrived completely, for the reader of the message.
pub(crate) type ArrivedMemory = Rc<RefCell<Option<HeldMemory>>>;

/// Waits for memory.
type Grant = Pin<Box<dyn Future<Output = HeldMemory>>>;

/// What is done with the message that is arriving.
enum State {
    /// The segment table arrives.
    Table,
    /// The message waits for memory.
    Waiting(Grant),
    /// The bytes of the table from this position on are passed on.
    Serving(usize),
    /// This number of bytes is still to come.
    Body(usize),
}

/// A stream of messages that takes memory for each message before it passes on its segment table.
pub struct MessageReader<R> {
    inner: R,
    clients: Clients,
    framing: Framing,
    state: State,
    /// Memory of the message that is arriving.
    memory: Option<HeldMemory>,
    arrived: ArrivedMemory,
    /// Runs while an incomplete message is waited for.
    deadline: Option<Pin<Box<Sleep>>>,
}

impl<R> fmt::Debug for MessageReader<R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MessageReader")
            .field("framing", &self.framing)
            .finish_non_exhaustive()
    }
}

impl<R> MessageReader<R> {
    /// Wraps a stream; returns where the memory of complete messages is left.
    pub(crate) fn new(inner: R, clients: Clients) -> (Self, ArrivedMemory) {
        let arrived = ArrivedMemory::default();
        let reader = Self {
            inner,
            clients,
            framing: Framing::default(),
            state: State::Table,
            memory: None,
            arrived: Rc::clone(&arrived),
            deadline: None,
        };
        (reader, arrived)
    }

    /// Fails once an incomplete message has been waited for too long.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let deadline = self
            .deadline
            .get_or_insert_with(|| Box::pin(sleep(ARRIVAL_TIMEOUT)));
        ready!(deadline.as_mut().poll(cx));
        self.clients.record_denied();
        Poll::Ready(Err(MessageError::TimedOut(ARRIVAL_TIMEOUT).into()))
    }

    /// Takes memory for the message whose table is complete.
    fn begin_message(&mut self) -> Result<State, MessageError> {
        let bytes = self.framing.table().len() + self.framing.body_bytes();
        if bytes > self.clients.holder_bytes_max() {
            self.clients.record_denied();
            return Err(MessageError::TooLarge(bytes));
        }
        let mut memory = self.clients.hold();
        if memory.try_grow(bytes) {
            self.memory = Some(memory);
            return Ok(State::Serving(0));
        }
        let clients = self.clients.clone();
        let grant = async move {
            clients.wait_for_room(&mut memory, bytes).await;
            memory
        };
        Ok(State::Waiting(Box::pin(grant)))
    }

    /// Leaves the memory of a complete message to its reader.
    fn end_message(&mut self) -> State {
        *self.arrived.borrow_mut() = self.memory.take();
        self.framing = Framing::default();
        self.deadline = None;
        State::Table
    }

    fn after_table(&mut self) -> State {
        match self.framing.body_bytes() {
            0 => self.end_message(),
            bytes => State::Body(bytes),
        }
    }
}

impl<R> MessageReader<R>
where
    R: AsyncRead + Unpin,
{
    /// Reads a part of the segment table; returns its length, 0 at the end of the stream.
    fn poll_table(&mut self, cx: &mut Context<'_>, missing: usize) -> Poll<io::Result<usize>> {
        let mut part = [0; TABLE_PART_BYTES];
        let wanted = missing.min(part.len());
        let read = ready!(Pin::new(&mut self.inner).poll_read(cx, &mut part[..wanted]))?;
        self.framing.push(&part[..read]);
        Poll::Ready(Ok(read))
    }
}

impl<R> AsyncRead for MessageReader<R>
where
    R: AsyncRead + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        loop {
            match &mut this.state {
                State::Table => {
                    let missing = this.framing.missing_bytes().map_err(MessageError::from)?;
                    if missing == 0 {
                        this.state = this.begin_message()?;
                        continue;
                    }
                    let has_begun = !this.framing.table().is_empty();
                    match this.poll_table(cx, missing) {
                        Poll::Ready(Ok(0)) if has_begun => {
                            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                        }
                        Poll::Ready(Ok(0)) => return Poll::Ready(Ok(0)),
                        Poll::Ready(Ok(_)) => {}
                        Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                        Poll::Pending if has_begun => return this.poll_deadline(cx),
                        Poll::Pending => return Poll::Pending,
                    }
                }
                State::Waiting(grant) => match grant.as_mut().poll(cx) {
                    Poll::Ready(memory) => {
                        this.memory = Some(memory);
                        this.state = State::Serving(0);
                    }
                    Poll::Pending => return this.poll_deadline(cx),
                },
                State::Serving(position) => {
                    let left = &this.framing.table()[*position..];
                    let served = left.len().min(buf.len());
                    buf[..served].copy_from_slice(&left[..served]);
                    *position += served;
                    if served == left.len() {
                        this.state = this.after_table();
                    }
                    return Poll::Ready(Ok(served));
                }
                State::Body(left) => {
                    let wanted = buf.len().min(*left);
                    let Poll::Ready(read) =
                        Pin::new(&mut this.inner).poll_read(cx, &mut buf[..wanted])
                    else {
                        return this.poll_deadline(cx);
                    };
                    let read = read?;
                    *left -= read;
                    if *left == 0 {
                        this.state = this.end_message();
                    }
                    return Poll::Ready(Ok(read));
                }
            }
        }
    }
}
