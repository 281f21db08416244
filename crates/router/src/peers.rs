//! Exchanges with the other daemons: who they are, and what the store has published.

use std::cell::Cell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use displaydoc::Display;
use futures::AsyncReadExt;
use medlarpin_core::prelude::{Clock, Revision};
use medlarpin_core::routing::KnownDaemon;
use platform::Item;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::compat::TokioAsyncReadCompatExt;
use wire::peer_capnp::{known_daemon, published_item, route_peer};

use crate::delegation;
use crate::event::Event;
use crate::published::Update;
use crate::shared::Shared;

/// Time between two exchanges that a daemon starts.
const GREET_INTERVAL: Duration = Duration::from_secs(2);
/// Time for an exchange. All items of the design size are a few hundred kilobytes.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that an accepted connection may take; a partner that hangs must not hold it open.
const SERVE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time for which a connection to another daemon is used, before that daemon ends it.
pub(crate) const USE_FOR: Duration = Duration::from_secs(45);
/// Time for which a followed daemon waits for changes.
const FOLLOW_WAIT: Duration = Duration::from_secs(1);
/// Time that an answer of a followed daemon may take beyond the wait. It is on the path of a
/// configuration, which has to be in force within 3 s.
const FOLLOW_MARGIN: Duration = Duration::from_millis(400);
/// Time without an answer of the store after which a daemon's knowledge is old. A watcher hears from
/// the store each 1.4 s: the wait of a watch and the pause before it.
const STORE_SILENCE_MAX: Duration = Duration::from_millis(1_800);
/// Time for which a daemon that is asked while its knowledge is old waits for the store.
const STALE_WAIT: Duration = Duration::from_millis(300);
/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type Rpc = RpcSystem<rpc_twoparty_capnp::Side>;

/// Why an exchange with another daemon failed.
#[derive(Debug, Display, Error)]
pub(crate) enum PeerError {
    /// no connection: {0}
    Connect(#[from] std::io::Error),
    /// the exchange failed: {0}
    Rpc(#[from] capnp::Error),
    /// a text is not UTF-8: {0}
    Text(#[from] std::str::Utf8Error),
    /// no answer within {0:?}
    TimedOut(Duration),
}

/// Returns the daemon for the next exchange.
pub(crate) fn next_partner(shared: &Shared) -> Option<SocketAddr> {
    let settings = shared.settings.load();
    let daemons = shared.daemons.as_ref()?.lock();
    daemons.choose_partner(&settings.seed_addresses, rand::random())
}

/// Accepts other daemons' connections until the task is dropped.
pub(crate) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = DaemonService {
                    shared: Arc::clone(&shared),
                };
                let client: route_peer::Client = capnp_rpc::new_client(service);
                let side = rpc_twoparty_capnp::Side::Server;
                let system = system(stream, side, Some(client.client));
                // A partner that ends its connection has its answer.
                spawn_local(async move { timeout(SERVE_TIMEOUT, system).await });
            }
            Err(error) => {
                Event::AcceptFailed {
                    error: &error.to_string(),
                }
                .log();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Exchanges lists of daemons for as long as the process runs.
pub(crate) async fn greet_others(shared: Arc<Shared>) {
    loop {
        if let Some(partner) = next_partner(&shared)
            && let Err(error) = greet(&shared, partner).await
        {
            Event::DaemonUnreachable {
                daemon: partner,
                error: &error,
            }
            .log();
        }
        // The jitter keeps daemons that started together from asking the same seed together.
        sleep(GREET_INTERVAL.mul_f64(0.75 + rand::random::<f64>() / 2.0)).await;
    }
}

/// Fetches what another daemon knows of the store; revision zero means nothing.
pub(crate) async fn fetch_published(
    partner: SocketAddr,
) -> Result<(Vec<Item>, Revision), PeerError> {
    let exchange = async {
        let client = connect(partner).await?;
        let response = client.published_items_request().send().promise.await?;
        let reply = response.get()?;
        Ok((
            read_items(reply.get_items()?)?,
            Revision(reply.get_revision()),
        ))
    };
    within(EXCHANGE_TIMEOUT, exchange).await
}

/// A daemon that this one follows instead of the store, with its connection.
pub(crate) struct Followed {
    daemon: SocketAddr,
    client: route_peer::Client,
    since: Instant,
}

impl Followed {
    /// Connects to a daemon.
    pub(crate) async fn connect(daemon: SocketAddr, now: Instant) -> Result<Self, PeerError> {
        let client = within(FOLLOW_MARGIN, connect(daemon)).await?;
        Ok(Self {
            daemon,
            client,
            since: now,
        })
    }

    /// Returns true if the connection is to this daemon and will last for another call.
    pub(crate) fn is_to(&self, daemon: SocketAddr, now: Instant) -> bool {
        self.daemon == daemon && now.saturating_duration_since(self.since) < USE_FOR
    }

    /// Waits for what happens after a revision.
    pub(crate) async fn update_after(
        &self,
        known: Revision,
        clock: &dyn Clock,
    ) -> Result<Update, PeerError> {
        let exchange = async {
            let mut request = self.client.published_changes_request();
            request.get().set_after_revision(known.0);
            request.get().set_wait_ms(whole_ms(FOLLOW_WAIT));
            let response = request.send().promise.await?;
            let reply = response.get()?;
            let silence = Duration::from_millis(reply.get_store_silent_ms().into());
            let current_at = (silence <= STORE_SILENCE_MAX)
                .then(|| clock.now().checked_sub(silence))
                .flatten();
            Ok(Update {
                revision: Revision(reply.get_revision()),
                current_at,
                is_whole: reply.get_is_whole(),
                items: read_items(reply.get_items()?)?,
            })
        };
        within(FOLLOW_WAIT + FOLLOW_MARGIN, exchange).await
    }
}

async fn greet(shared: &Shared, partner: SocketAddr) -> Result<(), PeerError> {
    let exchange = async {
        let client = connect(partner).await?;
        let mut request = client.greet_request();
        let known = known_daemons(shared);
        if let Some(daemons) = &shared.daemons {
            let own = daemons.lock().own();
            write_daemon((own, Duration::ZERO), request.get().init_sender());
        }
        let list = request.get().init_known(length(&known));
        write_daemons(&known, list);
        let response = request.send().promise.await?;
        let reply = response.get()?;
        let others = read_daemons(reply.get_known()?);
        let (partner, _) = read_daemon(reply.get_responder()?);
        record(shared, partner, &others);
        Ok(())
    };
    within(EXCHANGE_TIMEOUT, exchange).await
}

async fn within<T>(
    limit: Duration,
    exchange: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    timeout(limit, exchange)
        .await
        .unwrap_or(Err(PeerError::TimedOut(limit)))
}

async fn connect(partner: SocketAddr) -> Result<route_peer::Client, PeerError> {
    Ok(PeerConnection::open(partner).await?.client)
}

/// A connection to another daemon.
pub(crate) struct PeerConnection {
    pub(crate) client: route_peer::Client,
    is_closed: Rc<Cell<bool>>,
}

impl PeerConnection {
    pub(crate) async fn open(partner: SocketAddr) -> Result<Self, PeerError> {
        let stream = TcpStream::connect(partner).await?;
        stream.set_nodelay(true)?;
        let mut system = system(stream, rpc_twoparty_capnp::Side::Client, None);
        let client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let is_closed = Rc::new(Cell::new(false));
        let closed = Rc::clone(&is_closed);
        spawn_local(async move {
            // The call that uses the connection reports its failure.
            let _ = timeout(SERVE_TIMEOUT, system).await;
            closed.set(true);
        });
        Ok(Self { client, is_closed })
    }

    /// Returns true if nothing can be sent on the connection any more.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.get()
    }
}

fn system(
    stream: TcpStream,
    side: rpc_twoparty_capnp::Side,
    bootstrap: Option<capnp::capability::Client>,
) -> Rpc {
    let (reader, writer) = stream.compat().split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        side,
        capnp::message::ReaderOptions::default(),
    );
    RpcSystem::new(Box::new(network), bootstrap)
}

struct DaemonService {
    shared: Arc<Shared>,
}

impl route_peer::Server for DaemonService {
    async fn greet(
        self: Rc<Self>,
        params: route_peer::GreetParams,
        mut results: route_peer::GreetResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let others = read_daemons(params.get_known()?);
        let (partner, _) = read_daemon(params.get_sender()?);
        let known = known_daemons(&self.shared);
        record(&self.shared, partner, &others);
        let mut reply = results.get();
        write_daemons(&known, reply.reborrow().init_known(length(&known)));
        if let Some(daemons) = &self.shared.daemons {
            let own = daemons.lock().own();
            write_daemon((own, Duration::ZERO), reply.init_responder());
        }
        Ok(())
    }

    async fn published_items(
        self: Rc<Self>,
        _params: route_peer::PublishedItemsParams,
        mut results: route_peer::PublishedItemsResults,
    ) -> Result<(), capnp::Error> {
        self.shared.published.with_items(|revision, items| {
            let mut reply = results.get();
            reply.set_revision(revision.0);
            write_items(items, reply.init_items(length(items)));
        });
        Ok(())
    }

    async fn gather_query(
        self: Rc<Self>,
        params: route_peer::GatherQueryParams,
        results: route_peer::GatherQueryResults,
    ) -> Result<(), capnp::Error> {
        delegation::serve(&self.shared, params.get()?, results).await
    }

    async fn published_changes(
        self: Rc<Self>,
        params: route_peer::PublishedChangesParams,
        mut results: route_peer::PublishedChangesResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let known = Revision(params.get_after_revision());
        let wait = Duration::from_millis(params.get_wait_ms().into()).min(FOLLOW_WAIT);
        let update = self.wait_for_update(known, wait).await;
        let silence = update.current_at.map_or(Duration::MAX, |at| {
            self.shared.now().saturating_duration_since(at)
        });
        let mut reply = results.get();
        reply.set_revision(update.revision.0);
        reply.set_store_silent_ms(whole_ms(silence));
        reply.set_is_whole(update.is_whole);
        write_items(&update.items, reply.init_items(length(&update.items)));
        Ok(())
    }
}

impl DaemonService {
    /// Waits for changes after a revision. The wait ends early if the store is silent, so that a
    /// daemon that follows this one asks the store itself.
    async fn wait_for_update(&self, known: Revision, wait: Duration) -> Update {
        let published = &self.shared.published;
        let started = self.shared.now();
        published.record_asked(started);
        loop {
            // Created before the state is read, so that no change in between is missed.
            let changed = published.changed();
            let update = published.update_after(known);
            let old_at = update.current_at.map(|at| at + STORE_SILENCE_MAX);
            let until = old_at.max(Some(started + STALE_WAIT));
            let until = until.unwrap_or(started).min(started + wait);
            let now = self.shared.now();
            if update.revision > known || now >= until {
                return update;
            }
            // Both ends are handled by the next round.
            let _ = timeout(until - now, changed).await;
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

pub(crate) fn whole_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Records the partner of an exchange and what it knows.
fn record(shared: &Shared, partner: KnownDaemon, others: &[(KnownDaemon, Duration)]) {
    let Some(daemons) = &shared.daemons else {
        return;
    };
    let now = shared.now();
    let mut daemons = daemons.lock();
    let before = daemons.daemon_count(now);
    daemons.evict_silent(now);
    daemons.record_contact(partner, Duration::ZERO, now);
    for (daemon, silent) in others {
        daemons.record_contact(*daemon, *silent, now);
    }
    let sharing = daemons.daemon_count(now);
    if sharing != before {
        Event::DaemonsCounted { before, sharing }.log();
    }
}

fn known_daemons(shared: &Shared) -> Vec<(KnownDaemon, Duration)> {
    let now = shared.now();
    shared
        .daemons
        .as_ref()
        .map(|daemons| daemons.lock().sample(rand::random(), now))
        .unwrap_or_default()
}

fn read_daemons(
    list: capnp::struct_list::Reader<'_, known_daemon::Owned>,
) -> Vec<(KnownDaemon, Duration)> {
    list.iter().map(read_daemon).collect()
}

fn read_daemon(daemon: known_daemon::Reader<'_>) -> (KnownDaemon, Duration) {
    let address = SocketAddrV4::new(daemon.get_ipv4().into(), daemon.get_port());
    let silent = Duration::from_millis(daemon.get_silent_ms().into());
    let known = KnownDaemon {
        address: address.into(),
        cpu_millicores: daemon.get_cpu_millicores().into(),
    };
    (known, silent)
}

fn write_daemons(
    known: &[(KnownDaemon, Duration)],
    mut list: capnp::struct_list::Builder<'_, known_daemon::Owned>,
) {
    for (index, daemon) in (0..).zip(known) {
        write_daemon(*daemon, list.reborrow().get(index));
    }
}

fn write_daemon((known, silent): (KnownDaemon, Duration), mut daemon: known_daemon::Builder<'_>) {
    // The VMs have IPv4 addresses only; another one would be of no use to the partner.
    if let SocketAddr::V4(address) = known.address {
        daemon.set_ipv4(address.ip().to_bits());
        daemon.set_port(address.port());
    }
    daemon.set_cpu_millicores(u16::try_from(known.cpu_millicores).unwrap_or(u16::MAX));
    daemon.set_silent_ms(whole_ms(silent));
}

pub(crate) fn length<T>(items: &[T]) -> u32 {
    u32::try_from(items.len()).unwrap_or(u32::MAX)
}
