use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use medlarpin_core::client_pressure::{
    ClientLimits, ClientProgress, ClientUse, clients_to_disconnect,
};
use medlarpin_core::prelude::Clock;
use medlarpin_core::routing::MemoryBudget;
use parking_lot::Mutex;
use rustix::process::{Resource, getrlimit};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::account::Account;
use crate::body_buffer::BodyBuffer;
use crate::client::{ClientState, OpenClient};
use crate::held_memory::{BodyError, HeldMemory, Room};
use crate::peer_stream::PeerPlace;
use crate::sockets::Sockets;

/// Minimum interval between two searches for slow clients, which look at every connection.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a denied part waits for the memory of clients that have just been disconnected. Their tasks
/// return it when they run next.
const RELIEF_TIME: Duration = Duration::from_millis(100);

/// What has been done to clients since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClientCounts {
    /// Clients disconnected under pressure.
    pub disconnected: u64,
    /// Connections closed at once because too many were open.
    pub connections_refused: u64,
    /// Parts of the memory that were denied.
    pub denied: u64,
}

/// The clients of a process, and the memory that is held for them.
#[derive(Debug, Clone)]
pub struct Clients(Arc<Inner>);

pub(crate) struct Inner {
    clock: Arc<dyn Clock>,
    started_at: Instant,
    limits: ClientLimits,
    /// Descriptors of the connections of callers and other daemons.
    sockets: Sockets,
    memory: Mutex<Account>,
    /// Notified when a part of the memory returns while `waiting` is not 0.
    returned: Notify,
    /// Number of tasks that wait for `returned`.
    waiting: AtomicUsize,
    /// Open connections of callers, sorted by number.
    open: Mutex<Vec<Arc<ClientState>>>,
    /// Number of open connections that other daemons have opened.
    peers: AtomicUsize,
    /// Number of the next connection.
    next_number: AtomicU64,
    /// Time of the last search for slow clients, in milliseconds since the start.
    searched_ms: AtomicU64,
    disconnected: AtomicU64,
    connections_refused: AtomicU64,
    denied: AtomicU64,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clients")
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

impl Clients {
    /// Creates the account of a process with this memory; reads the descriptor limit of the process.
    #[must_use]
    pub fn new(memory_bytes: usize, clock: Arc<dyn Clock>) -> Self {
        Self::with_limits(ClientLimits::new(memory_bytes, descriptor_limit()), clock)
    }

    /// Creates an account with these limits.
    #[must_use]
    pub fn with_limits(limits: ClientLimits, clock: Arc<dyn Clock>) -> Self {
        let memory = Account::separate(MemoryBudget::new(limits.held_bytes_max));
        Self::with_memory(limits, Sockets::new(usize::MAX), memory, clock)
    }

    /// Creates the account for messages of other daemons, which accepts no connections of its own. A single message
    /// may take half of it.
    #[must_use]
    pub fn for_messages(bytes_max: usize, clock: Arc<dyn Clock>) -> Self {
        let memory = Account::separate(Self::message_budget(bytes_max));
        Self::for_memory(bytes_max, memory, clock)
    }

    /// Creates the account for the buffers of connections to leafs, which accepts no connections of its own. A
    /// single request may take all of it, as it needs connections to all its leafs at the same time.
    #[must_use]
    pub fn for_leafs(bytes_max: usize, clock: Arc<dyn Clock>) -> Self {
        let memory = Account::separate(Self::leaf_budget(bytes_max));
        Self::for_memory(bytes_max, memory, clock)
    }

    pub(crate) fn message_budget(bytes_max: usize) -> MemoryBudget {
        MemoryBudget::with_free_part(bytes_max, 2)
    }

    pub(crate) fn leaf_budget(bytes_max: usize) -> MemoryBudget {
        MemoryBudget::with_free_part(bytes_max, 1)
    }

    pub(crate) fn for_memory(bytes_max: usize, memory: Account, clock: Arc<dyn Clock>) -> Self {
        let limits = ClientLimits {
            held_bytes_max: bytes_max,
            connections_max: 0,
            peers_max: 0,
        };
        Self::with_memory(limits, Sockets::new(usize::MAX), memory, clock)
    }

    pub(crate) fn with_memory(
        limits: ClientLimits,
        sockets: Sockets,
        memory: Account,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self(Arc::new(Inner {
            started_at: clock.now(),
            clock,
            limits,
            sockets,
            memory: Mutex::new(memory),
            returned: Notify::new(),
            waiting: AtomicUsize::new(0),
            open: Mutex::default(),
            peers: AtomicUsize::new(0),
            next_number: AtomicU64::new(0),
            searched_ms: AtomicU64::new(0),
            disconnected: AtomicU64::new(0),
            connections_refused: AtomicU64::new(0),
            denied: AtomicU64::new(0),
        }))
    }

    /// Returns the limits in force.
    #[must_use]
    pub fn limits(&self) -> ClientLimits {
        self.0.limits
    }

    /// Returns the bytes that are held for others.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.0.memory.lock().used_bytes()
    }

    /// Returns the number of open connections of callers.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.0.open.lock().len()
    }

    /// Returns what has been done to clients so far.
    #[must_use]
    pub fn counts(&self) -> ClientCounts {
        ClientCounts {
            disconnected: self.0.disconnected.load(Ordering::Relaxed),
            connections_refused: self.0.connections_refused.load(Ordering::Relaxed),
            denied: self.0.denied.load(Ordering::Relaxed),
        }
    }

    /// Counts a new connection until the result is dropped; `None` if too many are open, in which case the
    /// connection must be closed at once.
    #[must_use]
    pub fn open(&self) -> Option<OpenClient> {
        let mut open = self.0.open.lock();
        let has_place = open.len() < self.0.limits.connections_max;
        let Some(socket) = self.0.sockets.open().filter(|_| has_place) else {
            drop(open);
            self.0.connections_refused.fetch_add(1, Ordering::Relaxed);
            return None;
        };
        let number = self.0.next_number.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(ClientState::new(number, self.now_ms()));
        open.push(Arc::clone(&state));
        drop(open);
        Some(OpenClient::new(self.clone(), state, socket))
    }

    /// Counts a connection that another daemon has opened until the result is dropped; `None` if too many are
    /// open, in which case the connection must be closed at once.
    #[must_use]
    pub fn open_peer(&self) -> Option<PeerPlace> {
        let socket = self.0.sockets.open();
        let place = PeerPlace::new(self.clone(), socket);
        let before = self.0.peers.fetch_add(1, Ordering::Relaxed);
        if before >= self.0.limits.peers_max || !place.has_socket() {
            self.0.connections_refused.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(place)
    }

    pub(crate) fn close_peer(&self) {
        self.0.peers.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns a part of the memory without any bytes so far.
    #[must_use]
    pub fn hold(&self) -> HeldMemory {
        HeldMemory::new(self.clone())
    }

    /// Takes a part of the memory for an answer that is still to be fetched; `None` if there is no room.
    pub async fn reserve(&self, bytes: usize) -> Option<Room> {
        let mut memory = self.hold();
        self.grow(&mut memory, bytes).await.then(|| memory.into())
    }

    /// Takes more memory; under pressure slow clients are disconnected and their memory is waited for.
    ///
    /// Returns false if there is no room.
    pub async fn grow(&self, memory: &mut HeldMemory, more_bytes: usize) -> bool {
        if memory.try_grow(more_bytes) {
            return true;
        }
        if self.disconnect_slow() > 0 {
            return self.wait_for_relief(memory, more_bytes).await;
        }
        self.record_denied();
        false
    }

    /// Takes more memory once there is room for it.
    pub async fn wait_for_room(&self, memory: &mut HeldMemory, more_bytes: usize) {
        let _waiting = WaitGuard::new(&self.0.waiting);
        loop {
            let returned = self.0.returned.notified();
            tokio::pin!(returned);
            returned.as_mut().enable();
            if memory.try_grow(more_bytes) {
                return;
            }
            returned.await;
        }
    }

    /// Returns the memory that a single holder may have while there is no other, in bytes.
    #[must_use]
    pub fn holder_bytes_max(&self) -> usize {
        self.0.memory.lock().holder_bytes_max()
    }

    /// Counts a part of the memory that was denied.
    pub fn record_denied(&self) {
        self.0.denied.fetch_add(1, Ordering::Relaxed);
    }

    /// Reads a whole body of at most `bytes_max`; calls `on_progress` for each chunk. The memory comes from
    /// the room, if there is one, before more is taken.
    ///
    /// A body for which room was reserved takes memory for its stated length at once. A caller's body takes it
    /// as it arrives, so that heads that announce long bodies take nothing.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or the body exceeds the limit or the memory.
    pub async fn read<B>(
        &self,
        mut body: B,
        bytes_max: usize,
        room: Option<&Room>,
        on_progress: impl Fn(),
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut memory = self.hold();
        let stated_bytes = room.and_then(|_| body.size_hint().exact());
        let mut buffer = BodyBuffer::new(bytes_max, stated_bytes)?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_error| BodyError::BrokenOff)?;
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            let mut more_bytes = buffer.missing_bytes(&chunk)?;
            if let Some(room) = room {
                more_bytes -= room.move_to(&mut memory, more_bytes);
            }
            if !self.grow(&mut memory, more_bytes).await {
                return Err(BodyError::OutOfMemory);
            }
            buffer.push(&chunk);
            on_progress();
        }
        Ok(memory.into_bytes(buffer.into_bytes()))
    }

    /// Returns true if it is time for another search for what can be closed to make room, and begins it.
    #[must_use]
    pub fn start_search(&self) -> bool {
        let now_ms = self.now_ms();
        let searched_ms = self.0.searched_ms.load(Ordering::Relaxed);
        let is_due = u128::from(now_ms.saturating_sub(searched_ms)) >= SEARCH_INTERVAL.as_millis();
        if is_due {
            self.0.searched_ms.store(now_ms, Ordering::Relaxed);
        }
        is_due
    }

    /// Waits a moment for memory that is about to return; returns false, and counts a denial, if there is no room.
    pub async fn wait_for_relief(&self, memory: &mut HeldMemory, more_bytes: usize) -> bool {
        let waited = timeout(RELIEF_TIME, self.wait_for_room(memory, more_bytes)).await;
        if waited.is_err() {
            self.record_denied();
        }
        waited.is_ok()
    }

    /// Disconnects slow clients if there is pressure; returns their number.
    #[must_use]
    pub fn disconnect_slow(&self) -> usize {
        if !self.start_search() {
            return 0;
        }
        let now_ms = self.now_ms();
        let (held_bytes, reachable_bytes) = {
            let memory = self.0.memory.lock();
            (memory.used_bytes(), memory.reachable_bytes())
        };
        // The other groups may leave less than the limit, of which the clients would then never use enough to be
        // disconnected.
        let limits = ClientLimits {
            held_bytes_max: reachable_bytes,
            ..self.0.limits
        };
        let open = self.0.open.lock();
        // The memory of clients that are being disconnected is about to return.
        let leaving = open.iter().filter(|client| client.is_disconnected());
        let (leaving_count, leaving_bytes) = leaving.fold((0, 0), |(count, bytes), client| {
            (count + 1, bytes + client.held_bytes())
        });
        let used = ClientUse {
            held_bytes: held_bytes.saturating_sub(leaving_bytes),
            connections: open.len() - leaving_count,
        };
        if !limits.is_exceeded_in_part(used) {
            return 0;
        }
        let staying: Vec<&Arc<ClientState>> = open
            .iter()
            .filter(|client| !client.is_disconnected())
            .collect();
        let progress: Vec<ClientProgress> = staying
            .iter()
            .map(|client| client.progress(now_ms))
            .collect();
        let chosen = clients_to_disconnect(limits, used, &progress);
        for position in &chosen {
            staying[*position].disconnect();
        }
        drop(open);
        let count = chosen.len();
        self.0
            .disconnected
            .fetch_add(count as u64, Ordering::Relaxed);
        count
    }

    /// Returns the time since the start in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        let elapsed = self
            .0
            .clock
            .now()
            .saturating_duration_since(self.0.started_at);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn close(&self, number: u64) {
        let mut open = self.0.open.lock();
        if let Ok(position) = open.binary_search_by_key(&number, |client| client.number()) {
            open.remove(position);
        }
    }

    pub(crate) fn try_grow(&self, held_bytes: usize, more_bytes: usize) -> bool {
        self.0.memory.lock().try_grow(held_bytes, more_bytes)
    }

    pub(crate) fn take(&self, bytes: usize) {
        self.0.memory.lock().take(bytes);
    }

    pub(crate) fn release(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.0.memory.lock().release(bytes);
        if self.0.waiting.load(Ordering::Relaxed) > 0 {
            self.0.returned.notify_waiters();
        }
    }
}

/// Returns the descriptor limit of the process; `None` if there is none or it is unknown.
pub(crate) fn descriptor_limit() -> Option<usize> {
    let descriptors = getrlimit(Resource::Nofile).current;
    descriptors.and_then(|limit| usize::try_from(limit).ok())
}

/// Counts a task as waiting for memory until it is dropped.
struct WaitGuard<'a>(&'a AtomicUsize);

impl<'a> WaitGuard<'a> {
    fn new(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self(waiting)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
