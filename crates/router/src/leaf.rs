use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use client_connections::HeldMemory;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use leaf_stream::{BufferMemory, LeafStream, ProgressLimit};
use medlarpin_core::routing::{
    LeafEntry, LeafLoad, LeafPhase, LeafRateLimit, LeafWarmUp, LoadStatement, RateAccess,
    RateStatement, RequestRate, StatedLoad, StatedRate,
};
use parking_lot::{Mutex, MutexGuard};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::attempt_result::LeafFailure;
use crate::carried_requests::CarriedRequests;
use crate::connection_place::ConnectionPlace;
use crate::event::Event;
use crate::idle_place::IdlePlace;
use crate::leaf_room::close_idle_connections;
use crate::leaf_runs::LeafRuns;
use crate::shared::Shared;

#[cfg(test)]
mod tests;

/// Time limit for opening a connection. A SYN is sent again only after a second, so a longer
/// wait would rarely help.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Fraction of a leaf's idle timeout for which this daemon reuses an idle connection.
const IDLE_USE_FRACTION: f64 = 0.7;
/// Time for which an idle connection is reused if the leaf states no idle timeout.
const IDLE_USE_DEFAULT: Duration = Duration::from_secs(4);
/// Maximum idle time of a connection that gets a request that may run at most once: within it, the
/// leaf is unlikely to close the connection while the request is being sent.
const IDLE_USE_AT_MOST_ONCE: Duration = Duration::from_millis(1_500);
/// TCP user timeout: a leaf that acknowledges no sent bytes for this long is unreachable.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum size of the read buffer of a connection, and thus of the head of an answer; twice the published
/// limit of a head. A daemon may have a connection to each of hundreds of leafs.
const READ_BUFFER_BYTES_MAX: usize = 32 << 10;

type Sender = SendRequest<Full<Bytes>>;

/// Why no connection to a leaf could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OpenError {
    /// All connections that this daemon may open, to the leaf or at all, are in use.
    Limit,
    /// Nothing listens at the leaf's address.
    Refused,
    /// The connection failed in another way, or was not opened in time.
    Unreachable,
}

impl From<OpenError> for LeafFailure {
    fn from(error: OpenError) -> Self {
        match error {
            OpenError::Limit => Self::ConnectionLimit,
            OpenError::Refused | OpenError::Unreachable => Self::Connect,
        }
    }
}

/// A pooled connection that carries no request at present.
#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    progress_limit: ProgressLimit,
    buffers: BufferMemory,
    place: IdlePlace,
    carried: CarriedRequests,
    idle_since: Instant,
    use_until: Instant,
}

/// A connection to a leaf that carries one request at a time.
#[derive(Debug)]
pub(crate) struct LeafConnection {
    pub(crate) sender: Sender,
    pub(crate) progress_limit: ProgressLimit,
    /// Memory of the connection's buffers.
    pub(crate) buffers: BufferMemory,
    place: Arc<ConnectionPlace>,
    /// The requests that the connection has carried. It must not carry one of them again: a late copy of the
    /// earlier answer would be accepted as the new one, as both have the request's identifier.
    pub(crate) carried: CarriedRequests,
    /// True if the connection has carried earlier requests.
    pub(crate) is_reused: bool,
}

/// A published leaf, with this daemon's connections to it and measurements of it.
#[derive(Debug)]
pub(crate) struct Leaf {
    pub(crate) entry: LeafEntry,
    /// Time until which the leaf gets new requests; `None` unless it is draining or was withdrawn.
    usable_until: Option<Instant>,
    link: Arc<LeafLink>,
}

/// What this daemon keeps of a leaf while its published entry changes.
#[derive(Debug, Default)]
struct LeafLink {
    load: Mutex<LeafLoad>,
    rate_limit: Mutex<LeafRateLimit>,
    warm_up: Mutex<LeafWarmUp>,
    /// Limit of the request rate while the leaf is cold, if its service has one.
    cold_limit: Mutex<LeafRateLimit>,
    /// Ordered by last use, the most recent one last.
    idle: Mutex<Vec<IdleConnection>>,
    /// Number of open connections, both idle and in use.
    open: Arc<AtomicU32>,
    /// True while a probe is in progress.
    is_probed: AtomicBool,
    /// True while the failure domain that the newest entry names is evacuated.
    is_evacuated: AtomicBool,
    runs: Arc<LeafRuns>,
}

/// Marks a leaf as being probed until it is dropped, also by a probe that panics.
#[derive(Debug)]
pub(crate) struct ProbeGuard(Arc<LeafLink>);

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.0.is_probed.store(false, Ordering::Relaxed);
    }
}

impl Leaf {
    pub(crate) fn new(entry: LeafEntry, usable_until: Option<Instant>) -> Self {
        Self {
            entry,
            usable_until,
            link: Arc::default(),
        }
    }

    /// Returns the leaf with another entry; it shares the connections and measurements.
    ///
    /// The address and the process that the entry names must be the same.
    pub(crate) fn with_entry(&self, entry: LeafEntry, usable_until: Option<Instant>) -> Self {
        if entry != self.entry {
            self.load().republished();
        }
        Self {
            entry,
            usable_until,
            link: Arc::clone(&self.link),
        }
    }

    /// Returns the leaf as it is published again after a time without an entry; it shares the
    /// connections and measurements like that of [`Self::with_entry`].
    pub(crate) fn listed_again(&self, entry: LeafEntry, usable_until: Option<Instant>) -> Self {
        // Another leaf may have had the address meanwhile.
        self.load().republished();
        self.with_entry(entry, usable_until)
    }

    /// Returns the requests that the leaf may be running.
    pub(crate) fn runs(&self) -> &Arc<LeafRuns> {
        &self.link.runs
    }

    /// Locks the measurements of the leaf's load and health.
    pub(crate) fn load(&self) -> MutexGuard<'_, LeafLoad> {
        self.link.load.lock()
    }

    /// Records the load that the leaf stated in an answer, if it stated one.
    pub(crate) fn record_stated_load(&self, stated: Option<StatedLoad>, heard_at: Instant) {
        if let Some(stated) = stated {
            self.load()
                .record_statement(LoadStatement { stated, heard_at });
        }
    }

    /// Records what the leaf stated to this or another daemon; returns true if the limit of its
    /// request rate started, changed or ended.
    pub(crate) fn record_rate_statement(&self, statement: RateStatement, now: Instant) -> bool {
        let mut rate_limit = self.link.rate_limit.lock();
        let is_changed = rate_limit.record(statement, rand::random(), now);
        drop(rate_limit);
        let leaf = self.entry.id.as_str();
        let service = self.entry.service.as_str();
        match statement.stated {
            StatedRate::Unreadable => Event::LeafLimitUnreadable { leaf, service }.log(),
            StatedRate::Limited(rate) if is_changed => Event::LeafLimitStated {
                leaf,
                service,
                requests_per_s: rate.per_s(),
                heard_ms_ago: now
                    .saturating_duration_since(statement.heard_at)
                    .as_millis(),
            }
            .log(),
            StatedRate::Unlimited if is_changed => Event::LeafLimitEnded {
                leaf,
                service,
                heard_ms_ago: now
                    .saturating_duration_since(statement.heard_at)
                    .as_millis(),
            }
            .log(),
            StatedRate::Limited(_) | StatedRate::Unlimited => {}
        }
        is_changed
    }

    /// Returns the rate of requests that the leaf takes from all daemons together, if it states one.
    pub(crate) fn stated_rate(&self) -> Option<RequestRate> {
        self.link.rate_limit.lock().stated()
    }

    /// Returns the stated rate and the time of the newest statement.
    pub(crate) fn known_rate(&self) -> (Option<RequestRate>, Option<Instant>) {
        let rate_limit = self.link.rate_limit.lock();
        (rate_limit.stated(), rate_limit.known_at())
    }

    /// Returns the time from which the rate that the leaf states allows the next request; `None` if
    /// it states none.
    pub(crate) fn rate_available_at(&self, access: RateAccess, now: Instant) -> Option<Instant> {
        self.link.rate_limit.lock().available_at(access, now)
    }

    /// Counts a request against the rate that the leaf states.
    pub(crate) fn record_request(&self, access: RateAccess, now: Instant) {
        self.link.rate_limit.lock().sent(access, now);
    }

    /// Counts a request against the rate that the leaf states if it is available now; otherwise
    /// returns the time until one is.
    pub(crate) fn take_request(&self, access: RateAccess, now: Instant) -> Option<Duration> {
        self.link.rate_limit.lock().take(access, now)
    }

    /// Records that another daemon permits no request for `wait`.
    pub(crate) fn deny_requests(&self, wait: Duration, now: Instant) {
        self.link.rate_limit.lock().denied(wait, now);
    }

    /// Records what the leaf's entry states about its warm-up.
    pub(crate) fn record_published_warm_up(&self, now: Instant) {
        let entry = &self.entry;
        let mut warm_up = self.link.warm_up.lock();
        warm_up.published(entry.warm_up_left, entry.sequence, now);
    }

    /// Records what the answer to a health check states that was sent at `asked_at`.
    pub(crate) fn record_checked_warm_up(&self, left: Duration, asked_at: Instant, now: Instant) {
        self.link.warm_up.lock().checked(left, asked_at, now);
    }

    /// Lets the leaf count as cold until then, unless an entry that was written later or a health check
    /// that was sent later shows otherwise. At most `entries_in_transit` entries that this daemon does not
    /// know may have been written already.
    pub(crate) fn assume_cold(&self, until: Instant, entries_in_transit: u64, now: Instant) {
        let mut warm_up = self.link.warm_up.lock();
        warm_up.assume_cold(until, entries_in_transit, now);
    }

    /// Records that the leaf's failure domain was returned to service; see [`LeafWarmUp::domain_returned`].
    pub(crate) fn record_return_of_domain(
        &self,
        returned_at: Instant,
        until: Instant,
        entries_in_transit: u64,
    ) {
        let mut warm_up = self.link.warm_up.lock();
        warm_up.domain_returned(returned_at, until, entries_in_transit);
    }

    /// Returns the time until which the leaf counts as cold; `None` if it is warm.
    pub(crate) fn cold_until(&self, now: Instant) -> Option<Instant> {
        self.link.warm_up.lock().cold_until(now)
    }

    /// Starts the limit of a cold leaf, or ends that of one which is warm; returns true if that is a
    /// change.
    pub(crate) fn set_cold_limit(&self, rate: Option<RequestRate>, now: Instant) -> bool {
        let mut limit = self.link.cold_limit.lock();
        if limit.stated() == rate {
            return false;
        }
        let statement = RateStatement {
            stated: rate.map_or(StatedRate::Unlimited, StatedRate::Limited),
            asked_at: now,
            heard_at: now,
        };
        limit.record(statement, rand::random(), now)
    }

    /// Returns the time from which the limit of a cold leaf allows the next request; `None` if there is
    /// no such limit.
    pub(crate) fn cold_available_at(&self, access: RateAccess, now: Instant) -> Option<Instant> {
        self.link.cold_limit.lock().available_at(access, now)
    }

    /// Counts a request against the limit of a cold leaf if it is available now; otherwise returns the
    /// time until one is.
    pub(crate) fn take_cold_request(&self, access: RateAccess, now: Instant) -> Option<Duration> {
        self.link.cold_limit.lock().take(access, now)
    }

    /// Returns the time until which the leaf gets new requests; `None` unless it is leaving.
    pub(crate) fn usable_until(&self) -> Option<Instant> {
        self.usable_until
    }

    /// Takes an idle connection from the pool that has not carried the request, or opens one unless
    /// `connections_max` are open.
    ///
    /// `request` is the hash of the request's identifier.
    pub(crate) async fn acquire(
        &self,
        request: u64,
        connections_max: u32,
        at_most_once: bool,
        shared: &Shared,
    ) -> Result<LeafConnection, LeafFailure> {
        if let Some(connection) = self.take_idle(request, at_most_once, shared.now()) {
            return Ok(connection);
        }
        // Idle connections that are left have carried the request.
        self.close_idle_at_limit(connections_max);
        self.open_new(connections_max, shared).await
    }

    /// Like [`Self::open`], for a request.
    pub(crate) async fn open_new(
        &self,
        connections_max: u32,
        shared: &Shared,
    ) -> Result<LeafConnection, LeafFailure> {
        Ok(self.open(connections_max, shared).await?)
    }

    /// Opens a connection for a health check, also while `connections_max` are open: a busy daemon nearly
    /// always has as many. An idle one closes in its place.
    pub(crate) async fn open_for_check(
        &self,
        connections_max: u32,
        shared: &Shared,
    ) -> Result<LeafConnection, OpenError> {
        self.close_idle_at_limit(connections_max);
        self.open(connections_max.saturating_add(1), shared).await
    }

    /// Closes the connection that has been idle for the longest time, if there is one and `connections_max` are open.
    fn close_idle_at_limit(&self, connections_max: u32) {
        if self.open_connections() < connections_max {
            return;
        }
        let mut idle = self.link.idle.lock();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Opens a connection unless `connections_max` are open.
    pub(crate) async fn open(
        &self,
        connections_max: u32,
        shared: &Shared,
    ) -> Result<LeafConnection, OpenError> {
        let place = ConnectionPlace::take(&self.link.open, connections_max);
        let place = place.ok_or(OpenError::Limit)?;
        let Some(socket) = shared.clients.sockets.open() else {
            // The next attempt may find a descriptor.
            let _ = close_idle_connections(shared);
            return Err(OpenError::Limit);
        };
        let memory = shared.clients.leafs.hold();
        let opened = timeout(CONNECT_TIMEOUT, open(self.entry.address, memory)).await;
        let (sender, connection, (progress_limit, buffers)) = match opened {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(OpenError::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(OpenError::Unreachable),
        };
        let task_place = Arc::clone(&place);
        tokio::spawn(async move {
            // The error also reaches the request that uses the connection, which reports it.
            let _ = connection.await;
            task_place.give_back();
            drop(socket);
        });
        Ok(LeafConnection {
            sender,
            progress_limit,
            buffers,
            place,
            carried: CarriedRequests::default(),
            is_reused: false,
        })
    }

    /// Returns a connection to the pool, or drops it if it cannot be reused; `idle_timeout` is the
    /// one that the leaf states.
    pub(crate) fn release(
        &self,
        connection: LeafConnection,
        idle_timeout: Option<Duration>,
        now: Instant,
    ) {
        let LeafConnection {
            sender,
            progress_limit,
            buffers,
            place,
            carried,
            ..
        } = connection;
        let place = IdlePlace::new(place);
        let use_for = idle_timeout.map_or(IDLE_USE_DEFAULT, |idle| idle.mul_f64(IDLE_USE_FRACTION));
        if sender.is_closed() || use_for.is_zero() || buffers.is_overdrawn() {
            return;
        }
        self.link.idle.lock().push(IdleConnection {
            sender,
            progress_limit,
            buffers,
            place,
            carried,
            idle_since: now,
            use_until: now + use_for,
        });
    }

    /// Closes the connections that have been idle for too long to be reused.
    pub(crate) fn close_expired_idle(&self, now: Instant) {
        self.link
            .idle
            .lock()
            .retain(|connection| now < connection.use_until && !connection.sender.is_closed());
    }

    /// Adds the times since which connections have been idle.
    pub(crate) fn collect_idle_since(&self, times: &mut Vec<Instant>) {
        let idle = self.link.idle.lock();
        times.extend(idle.iter().map(|connection| connection.idle_since));
    }

    /// Closes the connections that have been idle since then or longer.
    pub(crate) fn close_idle_since(&self, at: Instant) {
        let is_kept = |connection: &IdleConnection| connection.idle_since > at;
        self.link.idle.lock().retain(is_kept);
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        self.link.idle.lock().clear();
    }

    /// Begins a probe, which ends when the guard is dropped; `None` if one is in progress.
    pub(crate) fn start_probe(&self) -> Option<ProbeGuard> {
        let is_probed = self.link.is_probed.swap(true, Ordering::Relaxed);
        (!is_probed).then(|| ProbeGuard(Arc::clone(&self.link)))
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> u32 {
        self.link.open.load(Ordering::Relaxed)
    }

    /// Returns true if there is an idle connection, or a new one may be opened.
    pub(crate) fn has_connection_capacity(&self, connections_max: u32) -> bool {
        self.open_connections() < connections_max || !self.link.idle.lock().is_empty()
    }

    /// Returns true unless the leaf's time for new requests is over, its failure domain is evacuated, or
    /// another leaf has its address.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.usable_until.is_none_or(|at| now < at)
            && !self.is_evacuated()
            && !self.load().is_replaced()
    }

    /// Returns true while the failure domain that the leaf's newest entry names is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.link.is_evacuated.load(Ordering::Relaxed)
    }

    /// Records whether the leaf's failure domain is evacuated.
    pub(crate) fn set_evacuated(&self, is_evacuated: bool, now: Instant) {
        let was_evacuated = self.link.is_evacuated.swap(is_evacuated, Ordering::Relaxed);
        match (was_evacuated, is_evacuated) {
            (false, true) => self.close_idle(),
            // That they were not answered tells nothing: the leafs may have been stopped meanwhile.
            (true, false) => drop(self.link.runs.take(now)),
            (true, true) | (false, false) => {}
        }
    }

    /// Returns true if the leaf is draining or was withdrawn.
    pub(crate) fn is_leaving(&self) -> bool {
        self.usable_until.is_some()
    }

    /// Returns true if the leaf has no entry any more, although it did not say that it leaves. It stays in
    /// use for a while.
    pub(crate) fn is_withdrawn(&self) -> bool {
        self.is_leaving() && self.entry.phase == LeafPhase::Ready
    }

    /// Takes the most recently used connection that may be reused and has not carried the request, and closes
    /// those that may not be reused.
    fn take_idle(&self, request: u64, at_most_once: bool, now: Instant) -> Option<LeafConnection> {
        let mut idle = self.link.idle.lock();
        while let Some(index) = idle
            .iter()
            .rposition(|connection| !connection.carried.contains(request))
        {
            let connection = idle.remove(index);
            let idle_time = now.saturating_duration_since(connection.idle_since);
            let is_fresh = !at_most_once || idle_time < IDLE_USE_AT_MOST_ONCE;
            if now < connection.use_until && !connection.sender.is_closed() && is_fresh {
                return Some(LeafConnection {
                    sender: connection.sender,
                    progress_limit: connection.progress_limit,
                    buffers: connection.buffers,
                    place: connection.place.reuse(),
                    carried: connection.carried,
                    is_reused: true,
                });
            }
        }
        None
    }
}

type Connection = hyper::client::conn::http1::Connection<TokioIo<LeafStream>, Full<Bytes>>;

/// What the user of a connection controls of its stream.
type StreamHandles = (ProgressLimit, BufferMemory);

async fn open(
    address: SocketAddr,
    memory: HeldMemory,
) -> io::Result<(Sender, Connection, StreamHandles)> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let (mut stream, progress_limit) = LeafStream::new(stream);
    let buffers = stream.count_buffers(memory);
    let (sender, connection) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    Ok((sender, connection, (progress_limit, buffers)))
}
