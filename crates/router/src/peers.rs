//! Exchanges with the other daemons: who they are, and what the store has published.

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use displaydoc::Display;
use futures::AsyncReadExt;
use medlarpin_core::prelude::Revision;
use platform::Item;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::compat::TokioAsyncReadCompatExt;
use wire::peer_capnp::{known_daemon, route_peer};

use crate::event::Event;
use crate::shared::Shared;

/// Time between two exchanges that a daemon starts.
const GREET_INTERVAL: Duration = Duration::from_secs(2);
/// Time for an exchange. All items of the design size are a few hundred kilobytes.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that an accepted connection may take; a partner that hangs must not hold it open.
const SERVE_TIMEOUT: Duration = Duration::from_secs(5);
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
    daemons.next_partner(&settings.seed_addresses, rand::random())
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
        let items = reply
            .get_items()?
            .iter()
            .map(|item| {
                Ok(Item {
                    key: item.get_key()?.to_str()?.to_owned(),
                    value: Some(item.get_value()?.into()),
                })
            })
            .collect::<Result<Vec<Item>, PeerError>>()?;
        Ok((items, Revision(reply.get_revision())))
    };
    within_timeout(exchange).await
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
        let others = read_daemons(response.get()?.get_known()?);
        record(shared, partner, &others);
        Ok(())
    };
    within_timeout(exchange).await
}

async fn within_timeout<T>(
    exchange: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(PeerError::TimedOut(EXCHANGE_TIMEOUT)))
}

async fn connect(partner: SocketAddr) -> Result<route_peer::Client, PeerError> {
    let stream = TcpStream::connect(partner).await?;
    let mut system = system(stream, rpc_twoparty_capnp::Side::Client, None);
    let client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    // The call that uses the connection reports its failure.
    spawn_local(async move { timeout(SERVE_TIMEOUT, system).await });
    Ok(client)
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
        write_daemons(&known, results.get().init_known(length(&known)));
        Ok(())
    }

    async fn published_items(
        self: Rc<Self>,
        _params: route_peer::PublishedItemsParams,
        mut results: route_peer::PublishedItemsResults,
    ) -> Result<(), capnp::Error> {
        let published = self.shared.published.lock();
        let mut reply = results.get();
        reply.set_revision(published.revision().0);
        let items = published.items();
        let mut list = reply.init_items(length(items));
        for (index, item) in (0..).zip(items) {
            let mut entry = list.reborrow().get(index);
            entry.set_key(&item.key);
            entry.set_value(item.value.as_deref().unwrap_or_default());
        }
        Ok(())
    }
}

/// Records the partner of an exchange and what it knows.
fn record(shared: &Shared, partner: SocketAddr, others: &[(SocketAddr, Duration)]) {
    let Some(daemons) = &shared.daemons else {
        return;
    };
    let now = shared.now();
    let mut daemons = daemons.lock();
    let before = daemons.sharing(now);
    daemons.forget(now);
    daemons.heard(partner, Duration::ZERO, now);
    for (daemon, silent) in others {
        daemons.heard(*daemon, *silent, now);
    }
    let sharing = daemons.sharing(now);
    if sharing != before {
        Event::DaemonsCounted { before, sharing }.log();
    }
}

fn known_daemons(shared: &Shared) -> Vec<(SocketAddr, Duration)> {
    let now = shared.now();
    shared
        .daemons
        .as_ref()
        .map(|daemons| daemons.lock().known(rand::random(), now))
        .unwrap_or_default()
}

fn read_daemons(
    list: capnp::struct_list::Reader<'_, known_daemon::Owned>,
) -> Vec<(SocketAddr, Duration)> {
    list.iter().map(read_daemon).collect()
}

fn read_daemon(daemon: known_daemon::Reader<'_>) -> (SocketAddr, Duration) {
    let address = SocketAddrV4::new(daemon.get_ipv4().into(), daemon.get_port());
    let silent = Duration::from_millis(daemon.get_silent_ms().into());
    (address.into(), silent)
}

fn write_daemons(
    known: &[(SocketAddr, Duration)],
    mut list: capnp::struct_list::Builder<'_, known_daemon::Owned>,
) {
    for (index, daemon) in (0..).zip(known) {
        write_daemon(*daemon, list.reborrow().get(index));
    }
}

fn write_daemon((address, silent): (SocketAddr, Duration), mut daemon: known_daemon::Builder<'_>) {
    // The VMs have IPv4 addresses only; another one would be of no use to the partner.
    if let SocketAddr::V4(address) = address {
        daemon.set_ipv4(address.ip().to_bits());
        daemon.set_port(address.port());
    }
    daemon.set_silent_ms(u32::try_from(silent.as_millis()).unwrap_or(u32::MAX));
}

fn length<T>(items: &[T]) -> u32 {
    u32::try_from(items.len()).unwrap_or(u32::MAX)
}
