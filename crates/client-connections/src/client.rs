use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use medlarpin_core::client_pressure::{ClientPhase, ClientProgress};
use tokio::sync::Notify;

use crate::clients::Clients;
use crate::sockets::OpenSocket;

/// The progress of a connection; read by the search for slow clients.
#[derive(Debug)]
pub(crate) struct ClientState {
    number: u64,
    /// The present phase, see [`phase_of`].
    phase: AtomicU8,
    /// When the phase began, in milliseconds since the start of the process.
    since_ms: AtomicU64,
    /// Bytes that the client has sent and read so far.
    moved_bytes: AtomicU64,
    /// `moved_bytes` when the phase began.
    moved_before_bytes: AtomicU64,
    /// Bytes that are held for the client.
    held_bytes: AtomicUsize,
    /// True while written bytes wait because the client does not read.
    is_blocked: AtomicBool,
    /// Notified when `is_blocked` becomes false.
    unblocked: Notify,
    is_disconnected: AtomicBool,
    disconnected: Notify,
}

impl ClientState {
    pub(crate) fn new(number: u64, now_ms: u64) -> Self {
        Self {
            number,
            phase: AtomicU8::new(ClientPhase::New as u8),
            since_ms: AtomicU64::new(now_ms),
            moved_bytes: AtomicU64::new(0),
            moved_before_bytes: AtomicU64::new(0),
            held_bytes: AtomicUsize::new(0),
            is_blocked: AtomicBool::new(false),
            unblocked: Notify::new(),
            is_disconnected: AtomicBool::new(false),
            disconnected: Notify::new(),
        }
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn is_disconnected(&self) -> bool {
        self.is_disconnected.load(Ordering::Relaxed)
    }

    pub(crate) fn disconnect(&self) {
        self.is_disconnected.store(true, Ordering::Relaxed);
        self.disconnected.notify_one();
    }

    /// Returns the progress in the present phase. The fields may be of different moments, which at worst
    /// spares a client until the next search.
    pub(crate) fn progress(&self, now_ms: u64) -> ClientProgress {
        let since_ms = self.since_ms.load(Ordering::Relaxed);
        let moved_bytes = self.moved_bytes.load(Ordering::Relaxed);
        let moved_before_bytes = self.moved_before_bytes.load(Ordering::Relaxed);
        let moved_bytes = moved_bytes.saturating_sub(moved_before_bytes);
        let phase = phase_of(self.phase.load(Ordering::Relaxed));
        let held_bytes = match phase {
            // The body is read into a buffer of its own.
            ClientPhase::Sending => usize::try_from(moved_bytes).unwrap_or(usize::MAX),
            _ => self.held_bytes(),
        };
        ClientProgress {
            phase,
            waited: Duration::from_millis(now_ms.saturating_sub(since_ms)),
            moved_bytes,
            held_bytes,
        }
    }

    fn begin(&self, phase: ClientPhase, held_bytes: usize, now_ms: u64) {
        self.since_ms.store(now_ms, Ordering::Relaxed);
        let moved_bytes = self.moved_bytes.load(Ordering::Relaxed);
        self.moved_before_bytes
            .store(moved_bytes, Ordering::Relaxed);
        self.held_bytes.store(held_bytes, Ordering::Relaxed);
        self.phase.store(phase as u8, Ordering::Relaxed);
    }
}

/// Returns the phase that has the number.
fn phase_of(number: u8) -> ClientPhase {
    let phases = [
        ClientPhase::New,
        ClientPhase::Idle,
        ClientPhase::Sending,
        ClientPhase::Served,
        ClientPhase::Receiving,
    ];
    let is_same = |phase: &ClientPhase| *phase as u8 == number;
    phases.into_iter().find(is_same).unwrap_or(ClientPhase::New)
}

/// An open connection of a caller, for the code that serves its requests.
#[derive(Debug, Clone)]
pub struct Client {
    clients: Clients,
    state: Arc<ClientState>,
}

impl Client {
    /// Records that the head of a request has arrived and its body is read.
    pub fn sends(&self) {
        self.begin(ClientPhase::Sending, 0);
    }

    /// Records that the request has arrived and is worked on.
    pub fn is_served(&self) {
        self.begin(ClientPhase::Served, 0);
    }

    /// Records that an answer of this length is written.
    pub fn receives(&self, answer_bytes: usize) {
        self.begin(ClientPhase::Receiving, answer_bytes);
    }

    /// Waits until the client has read enough of the earlier answers for the next one to be begun.
    pub async fn has_read(&self) {
        while self.state.is_blocked.load(Ordering::Relaxed) {
            let unblocked = self.state.unblocked.notified();
            tokio::pin!(unblocked);
            unblocked.as_mut().enable();
            if self.state.is_blocked.load(Ordering::Relaxed) {
                unblocked.await;
            }
        }
    }

    /// Waits until the client is to be disconnected.
    pub async fn disconnected(&self) {
        self.state.disconnected.notified().await;
    }

    pub(crate) fn moved(&self, bytes: usize) {
        self.state
            .moved_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn set_blocked(&self) {
        self.state.is_blocked.store(true, Ordering::Relaxed);
    }

    /// Records that all bytes of earlier answers have been written.
    pub(crate) fn flushed(&self) {
        if self.state.is_blocked.swap(false, Ordering::Relaxed) {
            self.state.unblocked.notify_waiters();
        }
        if self.state.phase.load(Ordering::Relaxed) == ClientPhase::Receiving as u8 {
            self.begin(ClientPhase::Idle, 0);
        }
    }

    fn begin(&self, phase: ClientPhase, held_bytes: usize) {
        self.state.begin(phase, held_bytes, self.clients.now_ms());
    }
}

/// Counts a connection as open until it is dropped, even if its task panics.
#[derive(Debug)]
pub struct OpenClient {
    client: Client,
    _socket: OpenSocket,
}

impl OpenClient {
    pub(crate) fn new(clients: Clients, state: Arc<ClientState>, socket: OpenSocket) -> Self {
        Self {
            client: Client { clients, state },
            _socket: socket,
        }
    }

    /// Returns the connection for the code that serves its requests.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.client
    }
}

impl Drop for OpenClient {
    fn drop(&mut self) {
        self.client.clients.close(self.client.state.number);
    }
}
