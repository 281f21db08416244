//! RPC with the other daemons: discovery of daemons, and sharing of the store's items.

use std::cell::Cell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp};
use client_connections::{ClientGroups, PeerResults, PeerStream};
use displaydoc::Display;
use medlarpin_core::canary::QUARANTINE_DURATION;
use medlarpin_core::prelude::{Clock, Fingerprint};
use medlarpin_core::routing::{ConfigVersion, KnownDaemon, StoreRevision};
use peer_rpc::Endpoint;
use platform::Item;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wire::peer_capnp::{kept_evacuation, known_daemon, published_item, quarantine, route_peer};

use crate::config_sync;
use crate::crash_reports;
use crate::delegation;
use crate::evacuations::{self, KEPT_MAX};
use crate::event::Event;
use crate::leaf_permits;
use crate::leaf_rate_reports;
use crate::published_items::Update;
use crate::shared::Shared;

/// Mean interval between two exchanges of lists of daemons that a daemon starts.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// The same interval until the daemon has discovered the others, so that after a restart of the
/// fleet the limits are soon divided.
const EXCHANGE_INTERVAL_AT_START: Duration = Duration::from_millis(500);
/// Time limit of an exchange of lists and of fetching all items, which are a few hundred kilobytes
/// at the design size.
const RPC_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which either side drops a connection, so that a peer that hangs cannot hold it open.
const CONNECTION_LIFETIME: Duration = Duration::from_mins(1);
/// Age up to which a connection to another daemon is reused. It is below `CONNECTION_LIFETIME`,
/// after which that daemon closes the connection.
pub(crate) const CONNECTION_REUSE_TIME: Duration = Duration::from_secs(45);
/// Maximum size of a message from another daemon. The largest has all published items, about two
/// megabytes at the design size; a larger one would take most of the memory of a small VM.
const MESSAGE_BYTES_MAX: usize = 16 << 20;
/// Size of the unit in which Cap'n Proto counts.
const WORD_BYTES: usize = 8;
/// Long-poll time of a request for changes to a followed daemon.
const FOLLOW_WAIT: Duration = Duration::from_secs(1);
/// Time that a followed daemon may take to answer in addition to the long-poll time. It adds to the
/// delay of a new configuration, which has to be in force within 3 s.
const FOLLOW_RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Time without an answer of the store after which a daemon's items count as stale. A daemon that
/// watches the store gets an answer every 1.4 s: the long-poll time and the pause before it.
const STALE_AFTER: Duration = Duration::from_millis(1_800);
/// Time for which a daemon whose items are stale waits for the store before it answers a follower.
const STALE_ANSWER_WAIT: Duration = Duration::from_millis(300);
/// Delay before the next accept after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The RPC system of one connection; it runs while it is polled.
pub(crate) type Rpc = RpcSystem<rpc_twoparty_capnp::Side>;

/// Why an RPC to another daemon failed.
#[derive(Debug, Display, Error)]
pub(crate) enum PeerError {
    /// cannot connect to the daemon: {0}
    Connect(#[from] std::io::Error),
    /// RPC to the daemon failed: {0}
    Rpc(#[from] capnp::Error),
    /// the daemon sent a text that is not UTF-8: {0}
    Text(#[from] std::str::Utf8Error),
    /// the daemon did not answer within {0:?}
    TimedOut(Duration),
}

/// Returns a daemon for the next RPC, chosen at random from the known ones and the seeds.
pub(crate) fn next_peer(shared: &Shared) -> Option<SocketAddr> {
    let settings = shared.settings.load();
    let daemons = shared.daemons.as_ref()?.lock();
    daemons.choose_peer(&settings.seed_addresses, rand::random(), shared.now())
}

/// Accepts other daemons' connections until the task is dropped.
pub(crate) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // A connection beyond the bound closes at once.
                let Some(place) = shared.clients.callers.open_peer() else {
                    continue;
                };
                let stream = PeerStream::new(stream, place);
                let service = DaemonService {
                    shared: Arc::clone(&shared),
                    results: stream.results(),
                };
                let client: route_peer::Client = capnp_rpc::new_client(service);
                let side = rpc_twoparty_capnp::Side::Server;
                let rpc_system = rpc_system(stream, side, Some(client.client), &shared.clients);
                // A peer that closes its connection already has its answers.
                spawn_local(async move { timeout(CONNECTION_LIFETIME, rpc_system).await });
            }
            Err(error) => {
                Event::AcceptFailed {
                    error: &error.to_string(),
                }
                .log();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Runs the task that exchanges lists of daemons with a random daemon at intervals.
pub(crate) async fn exchange_daemon_lists(shared: Arc<Shared>) {
    loop {
        if let Some(peer) = next_peer(&shared)
            && let Err(error) = exchange_with(&shared, peer).await
        {
            Event::DaemonUnreachable {
                daemon: peer,
                error: &error,
            }
            .log();
        }
        // The jitter keeps daemons that started together from calling the same seed together.
        let daemons = shared.daemons.as_ref();
        let is_complete =
            daemons.is_none_or(|daemons| daemons.lock().is_discovery_complete(shared.now()));
        let interval = if is_complete {
            EXCHANGE_INTERVAL
        } else {
            EXCHANGE_INTERVAL_AT_START
        };
        sleep(interval.mul_f64(0.75 + rand::random::<f64>() / 2.0)).await;
    }
}

/// All items that another daemon has.
#[derive(Debug)]
pub(crate) struct FetchedItems {
    pub(crate) items: Vec<Item>,
    /// Revision of the items; zero if the daemon has none yet.
    pub(crate) revision: StoreRevision,
    /// True if the items include the keys of evacuated failure domains.
    pub(crate) has_evacuations: bool,
}

/// Fetches all items that another daemon has.
pub(crate) async fn fetch_items(
    shared: &Shared,
    peer: SocketAddr,
) -> Result<FetchedItems, PeerError> {
    let call = async {
        let client = connect(peer, &shared.clients).await?;
        let response = client.published_items_request().send().promise.await?;
        let reply = response.get()?;
        Ok(FetchedItems {
            items: read_items(reply.get_items()?)?,
            revision: StoreRevision {
                era: reply.get_era(),
                number: reply.get_revision(),
            },
            has_evacuations: reply.get_passes_evacuations(),
        })
    };
    with_timeout(RPC_TIMEOUT, call).await
}

/// Fetches the item of the configuration that another daemon has in force.
pub(crate) async fn fetch_config(shared: &Shared, peer: SocketAddr) -> Result<Item, PeerError> {
    call(shared, peer, async |client| {
        let response = client.published_config_request().send().promise.await?;
        Ok(Item::config(response.get()?.get_value()?.into()))
    })
    .await
}

/// A daemon that this one follows instead of the store, with its connection.
pub(crate) struct FollowedDaemon {
    daemon: SocketAddr,
    client: route_peer::Client,
    opened_at: Instant,
}

impl FollowedDaemon {
    /// Connects to a daemon.
    pub(crate) async fn connect(shared: &Shared, daemon: SocketAddr) -> Result<Self, PeerError> {
        let client = with_timeout(FOLLOW_RESPONSE_MARGIN, connect(daemon, &shared.clients)).await?;
        Ok(Self {
            daemon,
            client,
            opened_at: shared.now(),
        })
    }

    /// Returns true if the connection is to this daemon and young enough for another call.
    pub(crate) fn can_serve(&self, daemon: SocketAddr, now: Instant) -> bool {
        self.daemon == daemon
            && now.saturating_duration_since(self.opened_at) < CONNECTION_REUSE_TIME
    }

    /// Waits for the changes after a revision, for at most the long-poll time.
    pub(crate) async fn changes_since(
        &self,
        since: StoreRevision,
        clock: &dyn Clock,
    ) -> Result<Update, PeerError> {
        let call = async {
            let mut request = self.client.published_changes_request();
            request.get().set_after_era(since.era);
            request.get().set_after_revision(since.number);
            request.get().set_wait_ms(millis_u32(FOLLOW_WAIT));
            let response = request.send().promise.await?;
            let reply = response.get()?;
            let silence = Duration::from_millis(reply.get_store_silent_ms().into());
            let current_at = (silence <= STALE_AFTER)
                .then(|| clock.now().checked_sub(silence))
                .flatten();
            Ok(Update {
                revision: StoreRevision {
                    era: reply.get_era(),
                    number: reply.get_revision(),
                },
                current_at,
                is_snapshot: reply.get_is_whole(),
                has_evacuations: reply.get_passes_evacuations(),
                items: read_items(reply.get_items()?)?,
            })
        };
        with_timeout(FOLLOW_WAIT + FOLLOW_RESPONSE_MARGIN, call).await
    }
}

async fn exchange_with(shared: &Shared, peer: SocketAddr) -> Result<(), PeerError> {
    let config_version = with_timeout(RPC_TIMEOUT, greet(shared, peer)).await?;
    config_sync::compare(shared, peer, config_version).await
}

/// Exchanges what both daemons know; returns the version of the other one's configuration.
async fn greet(shared: &Shared, peer: SocketAddr) -> Result<ConfigVersion, PeerError> {
    let client = connect(peer, &shared.clients).await?;
    let mut request = client.greet_request();
    let known = sample_daemons(shared);
    if let Some(daemons) = &shared.daemons {
        let own = daemons.lock().own();
        write_daemon(
            (own, Duration::ZERO),
            shared.now(),
            request.get().init_sender(),
        );
    }
    let quarantines = shared.crash_memory.quarantines(shared.now());
    let list = request.get().init_quarantines(len_u32(&quarantines));
    write_quarantines(&quarantines, list);
    request.get().set_config_version(shared.config_version());
    let crashes = shared.crash_memory.latest_reports(shared.now());
    let list = request.get().init_crashes(len_u32(&crashes));
    crash_reports::write_reports(&crashes, shared.now(), list);
    let kept = shared.leafs.kept_evacuations(KEPT_MAX, shared.now());
    let list = request.get().init_kept_evacuations(len_u32(&kept));
    evacuations::write_kept(&kept, list);
    let list = request.get().init_known(len_u32(&known));
    write_daemons(&known, shared.now(), list);
    let response = request.send().promise.await?;
    let reply = response.get()?;
    let others = read_daemons(reply.get_known()?, shared.now());
    let (peer, _) = read_daemon(reply.get_responder()?, shared.now());
    record_daemons(shared, peer, &others);
    let quarantines = read_quarantines(reply.get_quarantines()?);
    let crash_memory = &shared.crash_memory;
    crash_memory.merge_quarantines(&quarantines, shared.now());
    let crashes = crash_reports::read_reports(reply.get_crashes()?, shared.now())?;
    crash_memory.merge_reports(&crashes, shared.now());
    learn_kept_evacuations(shared, reply.get_kept_evacuations()?)?;
    Ok(ConfigVersion(reply.get_config_version()))
}

/// Connects to a daemon and calls it once.
pub(crate) async fn call<T>(
    shared: &Shared,
    peer: SocketAddr,
    act: impl AsyncFnOnce(route_peer::Client) -> Result<T, PeerError>,
) -> Result<T, PeerError> {
    with_timeout(RPC_TIMEOUT, async {
        act(connect(peer, &shared.clients).await?).await
    })
    .await
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    timeout(limit, call)
        .await
        .unwrap_or(Err(PeerError::TimedOut(limit)))
}

async fn connect(
    peer: SocketAddr,
    clients: &ClientGroups,
) -> Result<route_peer::Client, PeerError> {
    Ok(PeerConnection::open(peer, clients).await?.client)
}

/// An RPC connection to another daemon; a background task drives it.
pub(crate) struct PeerConnection {
    pub(crate) client: route_peer::Client,
    is_closed: Rc<Cell<bool>>,
}

impl PeerConnection {
    pub(crate) async fn open(peer: SocketAddr, clients: &ClientGroups) -> Result<Self, PeerError> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let mut rpc_system = rpc_system(stream, rpc_twoparty_capnp::Side::Client, None, clients);
        let client = rpc_system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let is_closed = Rc::new(Cell::new(false));
        let closed = Rc::clone(&is_closed);
        spawn_local(async move {
            // The error also reaches the call that uses the connection, which reports it.
            let _ = timeout(CONNECTION_LIFETIME, rpc_system).await;
            closed.set(true);
        });
        Ok(Self { client, is_closed })
    }

    /// Returns true if the connection has closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.get()
    }
}

/// Returns the RPC system of one side of a connection.
pub(crate) fn rpc_system(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    side: rpc_twoparty_capnp::Side,
    bootstrap: Option<capnp::capability::Client>,
    clients: &ClientGroups,
) -> Rpc {
    let options = *capnp::message::ReaderOptions::new()
        .traversal_limit_in_words(Some(MESSAGE_BYTES_MAX / WORD_BYTES));
    let endpoint = Endpoint {
        stream,
        side,
        options,
    };
    endpoint.into_rpc_system(bootstrap, &clients.messages)
}

/// The RPC service that a daemon offers to the others.
struct DaemonService {
    shared: Arc<Shared>,
    /// Memory for the results on this connection.
    results: PeerResults,
}

impl DaemonService {
    /// Takes memory for results of this size; fails if there is no room.
    fn hold_results(&self, bytes: usize) -> Result<(), capnp::Error> {
        if self.results.try_hold(bytes) {
            return Ok(());
        }
        let error = "no memory is left for the results of this connection";
        Err(capnp::Error::overloaded(error.to_owned()))
    }
}

impl route_peer::Server for DaemonService {
    async fn greet(
        self: Rc<Self>,
        params: route_peer::GreetParams,
        mut results: route_peer::GreetResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let now = self.shared.now();
        let others = read_daemons(params.get_known()?, now);
        let (peer, _) = read_daemon(params.get_sender()?, now);
        let known = sample_daemons(&self.shared);
        record_daemons(&self.shared, peer, &others);
        learn_kept_evacuations(&self.shared, params.get_kept_evacuations()?)?;
        let their_version = ConfigVersion(params.get_config_version());
        config_sync::compare_later(&self.shared, peer.address, their_version);
        let crash_memory = &self.shared.crash_memory;
        crash_memory.merge_quarantines(&read_quarantines(params.get_quarantines()?), now);
        let reports = crash_reports::read_reports(params.get_crashes()?, now)?;
        crash_memory.merge_reports(&reports, now);
        let crashes = crash_memory.latest_reports(now);
        let quarantines = crash_memory.quarantines(now);
        let mut reply = results.get();
        reply.set_config_version(self.shared.config_version());
        let kept = self.shared.leafs.kept_evacuations(KEPT_MAX, now);
        let list = reply.reborrow().init_kept_evacuations(len_u32(&kept));
        evacuations::write_kept(&kept, list);
        let list = reply.reborrow().init_crashes(len_u32(&crashes));
        crash_reports::write_reports(&crashes, now, list);
        let list = reply.reborrow().init_quarantines(len_u32(&quarantines));
        write_quarantines(&quarantines, list);
        write_daemons(&known, now, reply.reborrow().init_known(len_u32(&known)));
        if let Some(daemons) = &self.shared.daemons {
            let own = daemons.lock().own();
            write_daemon((own, Duration::ZERO), now, reply.init_responder());
        }
        Ok(())
    }

    async fn published_items(
        self: Rc<Self>,
        _params: route_peer::PublishedItemsParams,
        mut results: route_peer::PublishedItemsResults,
    ) -> Result<(), capnp::Error> {
        let published = &self.shared.published_items;
        let has_evacuations = published.has_evacuations();
        published.with_items(|revision, items| {
            self.hold_results(items_bytes(items))?;
            let mut reply = results.get();
            reply.set_passes_evacuations(has_evacuations);
            reply.set_era(revision.era);
            reply.set_revision(revision.number);
            write_items(items, reply.init_items(len_u32(items)));
            Ok(())
        })
    }

    async fn serve_request(
        self: Rc<Self>,
        params: route_peer::ServeRequestParams,
        results: route_peer::ServeRequestResults,
    ) -> Result<(), capnp::Error> {
        delegation::answer_serve_request(&self.shared, &self.results, params, results).await
    }

    async fn report_crashes(
        self: Rc<Self>,
        params: route_peer::ReportCrashesParams,
        _results: route_peer::ReportCrashesResults,
    ) -> Result<(), capnp::Error> {
        crash_reports::receive(&self.shared, params.get()?)
    }

    async fn report_silent_leafs(
        self: Rc<Self>,
        params: route_peer::ReportSilentLeafsParams,
        _results: route_peer::ReportSilentLeafsResults,
    ) -> Result<(), capnp::Error> {
        crash_reports::receive_silent(&self.shared, params.get()?)
    }

    async fn report_leaf_rates(
        self: Rc<Self>,
        params: route_peer::ReportLeafRatesParams,
        _results: route_peer::ReportLeafRatesResults,
    ) -> Result<(), capnp::Error> {
        leaf_rate_reports::receive(&self.shared, params.get()?)
    }

    async fn permit_leaf_request(
        self: Rc<Self>,
        params: route_peer::PermitLeafRequestParams,
        results: route_peer::PermitLeafRequestResults,
    ) -> Result<(), capnp::Error> {
        leaf_permits::answer(&self.shared, params.get()?, results)
    }

    async fn published_config(
        self: Rc<Self>,
        _params: route_peer::PublishedConfigParams,
        mut results: route_peer::PublishedConfigResults,
    ) -> Result<(), capnp::Error> {
        let config = self.shared.published_items.config();
        let value = config.and_then(|item| item.value);
        self.hold_results(value.as_ref().map_or(0, |value| value.len()))?;
        results
            .get()
            .set_value(value.as_deref().unwrap_or_default());
        Ok(())
    }

    async fn published_changes(
        self: Rc<Self>,
        message: route_peer::PublishedChangesParams,
        mut results: route_peer::PublishedChangesResults,
    ) -> Result<(), capnp::Error> {
        let params = message.get()?;
        let since = StoreRevision {
            era: params.get_after_era(),
            number: params.get_after_revision(),
        };
        let wait = Duration::from_millis(params.get_wait_ms().into()).min(FOLLOW_WAIT);
        // The message takes memory, which the wait does not need.
        drop(message);
        let update = self.wait_for_update(since, wait).await;
        let silence = update.current_at.map_or(Duration::MAX, |at| {
            self.shared.now().saturating_duration_since(at)
        });
        self.hold_results(items_bytes(&update.items))?;
        let mut reply = results.get();
        reply.set_era(update.revision.era);
        reply.set_revision(update.revision.number);
        reply.set_store_silent_ms(millis_u32(silence));
        reply.set_is_whole(update.is_snapshot);
        reply.set_passes_evacuations(update.has_evacuations);
        write_items(&update.items, reply.init_items(len_u32(&update.items)));
        Ok(())
    }
}

impl DaemonService {
    /// Waits for changes after a revision. The wait is cut short if the store does not answer, so
    /// that the follower soon turns to the store itself.
    async fn wait_for_update(&self, since: StoreRevision, wait: Duration) -> Update {
        let published = &self.shared.published_items;
        let started = self.shared.now();
        published.record_request(started);
        loop {
            // Created before the items are read, so that no update in between is missed.
            let updated = published.next_update();
            let update = published.changes_since(since);
            let stale_at = update.current_at.map(|at| at + STALE_AFTER);
            let until = stale_at.max(Some(started + STALE_ANSWER_WAIT));
            let until = until.unwrap_or(started).min(started + wait);
            let now = self.shared.now();
            if update.revision > since || now >= until {
                return update;
            }
            // The next iteration handles both the update and the timeout.
            let _ = timeout(until - now, updated).await;
        }
    }
}

fn read_items(
    list: capnp::struct_list::Reader<'_, published_item::Owned>,
) -> Result<Vec<Item>, PeerError> {
    list.iter()
        .map(|item| {
            let value = (!item.get_is_withdrawn())
                .then(|| item.get_value())
                .transpose()?;
            Ok(Item {
                key: item.get_key()?.to_str()?.to_owned(),
                value: value.map(Into::into),
            })
        })
        .collect()
}

/// Returns the memory that items take in a message, apart from padding.
fn items_bytes(items: &[Item]) -> usize {
    let item_bytes =
        |item: &Item| item.key.len() + item.value.as_ref().map_or(0, |value| value.len());
    items.iter().map(item_bytes).sum()
}

fn write_items(items: &[Item], mut list: capnp::struct_list::Builder<'_, published_item::Owned>) {
    for (index, item) in (0..).zip(items) {
        let mut entry = list.reborrow().get(index);
        entry.set_key(&item.key);
        match &item.value {
            Some(value) => entry.set_value(value),
            None => entry.set_is_withdrawn(true),
        }
    }
}

/// Returns a duration in whole milliseconds, limited to the largest `u32`.
pub(crate) fn millis_u32(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Learns of domains that stay evacuated elsewhere after a restore of the store.
fn learn_kept_evacuations(
    shared: &Shared,
    kept: capnp::struct_list::Reader<'_, kept_evacuation::Owned>,
) -> Result<(), capnp::Error> {
    let revision = shared.published_items.revision();
    evacuations::learn_kept(&shared.leafs, &shared.metrics, kept, revision, shared.now())
}

/// Records contact with a peer and the daemons that it knows, and evicts those silent for too long.
fn record_daemons(shared: &Shared, peer: KnownDaemon, others: &[(KnownDaemon, Duration)]) {
    let Some(daemons) = &shared.daemons else {
        return;
    };
    let now = shared.now();
    let mut daemons = daemons.lock();
    let before = daemons.daemon_count();
    daemons.evict_silent(now);
    daemons.record_exchange(peer, others, now);
    let sharing = daemons.daemon_count();
    if sharing != before {
        Event::DaemonsCounted { before, sharing }.log();
    }
}

/// Returns the known daemons for a message; at most as many as fit into one, chosen at random.
fn sample_daemons(shared: &Shared) -> Vec<(KnownDaemon, Duration)> {
    let now = shared.now();
    shared
        .daemons
        .as_ref()
        .map(|daemons| daemons.lock().sample(rand::random(), now))
        .unwrap_or_default()
}

fn read_quarantines(
    list: capnp::struct_list::Reader<'_, quarantine::Owned>,
) -> Vec<(Fingerprint, Duration)> {
    list.iter()
        .map(|known| {
            let left = Duration::from_millis(known.get_time_left_ms());
            let fingerprint = Fingerprint(known.get_fingerprint());
            (fingerprint, left.min(QUARANTINE_DURATION))
        })
        .collect()
}

fn write_quarantines(
    quarantines: &[(Fingerprint, Duration)],
    mut list: capnp::struct_list::Builder<'_, quarantine::Owned>,
) {
    for (index, (fingerprint, left)) in (0..).zip(quarantines) {
        let mut known = list.reborrow().get(index);
        known.set_fingerprint(fingerprint.0);
        known.set_time_left_ms(millis_u32(*left).into());
    }
}

fn read_daemons(
    list: capnp::struct_list::Reader<'_, known_daemon::Owned>,
    now: Instant,
) -> Vec<(KnownDaemon, Duration)> {
    list.iter().map(|daemon| read_daemon(daemon, now)).collect()
}

fn read_daemon(daemon: known_daemon::Reader<'_>, now: Instant) -> (KnownDaemon, Duration) {
    let address = SocketAddrV4::new(daemon.get_ipv4().into(), daemon.get_port());
    let silent = Duration::from_millis(daemon.get_silent_ms().into());
    let up = Duration::from_millis(daemon.get_up_ms().into());
    let known = KnownDaemon {
        address: address.into(),
        cpu_millicores: daemon.get_cpu_millicores().into(),
        // A daemon of an older release does not state the time, so that it is 0.
        started_at: now.checked_sub(up).filter(|_| !up.is_zero()),
    };
    (known, silent)
}

fn write_daemons(
    known: &[(KnownDaemon, Duration)],
    now: Instant,
    mut list: capnp::struct_list::Builder<'_, known_daemon::Owned>,
) {
    for (index, daemon) in (0..).zip(known) {
        write_daemon(*daemon, now, list.reborrow().get(index));
    }
}

fn write_daemon(
    (known, silent): (KnownDaemon, Duration),
    now: Instant,
    mut daemon: known_daemon::Builder<'_>,
) {
    // VMs have only IPv4 addresses; the peer could not use any other.
    if let SocketAddr::V4(address) = known.address {
        daemon.set_ipv4(address.ip().to_bits());
        daemon.set_port(address.port());
    }
    daemon.set_cpu_millicores(u16::try_from(known.cpu_millicores).unwrap_or(u16::MAX));
    daemon.set_silent_ms(millis_u32(silent));
    let up = known.started_at.map(|at| now.saturating_duration_since(at));
    daemon.set_up_ms(up.map_or(0, |up| millis_u32(up).max(1)));
}

/// Returns the number of items as the length of a Cap'n Proto list.
pub(crate) fn len_u32<T>(items: &[T]) -> u32 {
    u32::try_from(items.len()).unwrap_or(u32::MAX)
}
