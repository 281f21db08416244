//! Crowds at the address for other daemons that send messages which nobody should hold: the process lives within
//! its memory and its descriptors, and callers are served. One test at a time.

mod fleet;
mod slow_readers;
mod teams_crowd;

use std::net::SocketAddr;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::AsyncReadExt;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;
use wire::peer_capnp::route_peer;

use crate::slow_readers::fixture::{Fixture, Setup, check_calling_daemons};
use crate::slow_readers::{Crowd, ONE_AT_A_TIME, Script, watch};

const SETUP: Setup = Setup::SMALL;
/// Size of the unit in which Cap'n Proto counts.
const WORD_BYTES: usize = 8;

/// Returns a message of one segment that announces more bytes than it has.
fn message_start(announced_bytes: usize, sent_bytes: usize) -> Vec<u8> {
    let words = u32::try_from(announced_bytes / WORD_BYTES).expect("a short message");
    let mut bytes = vec![0; WORD_BYTES + sent_bytes];
    bytes[4..WORD_BYTES].copy_from_slice(&words.to_le_bytes());
    bytes
}

/// Returns bytes whose first words state many segments of odd lengths.
fn no_message(length: usize) -> Vec<u8> {
    let pattern = [3_u8, 0, 0, 0, 0x40, 0, 1, 0, 0x40, 0, 1, 0, 7];
    pattern.iter().copied().cycle().take(length).collect()
}

fn once(bytes: &[u8]) -> Script {
    Script {
        start: bytes.into(),
        ..Script::once("")
    }
}

/// Connects a crowd to a daemon that serves published routes.
async fn check_routes(name: &str, clients: usize, script: &Script) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let fixture = Fixture::start(name, SETUP).await;
    let crowd = Crowd::start(fixture.peer, clients, script);
    watch(name, fixture.process.id(), &crowd, SETUP.bounds()).await;
    fixture.check_caller_served(name).await;
    drop(crowd);
    fixture.check_caller_served(name).await;
}

/// Connects a crowd to a daemon that serves teams.
async fn check_teams(name: &str, clients: usize, script: &Script) {
    teams_crowd::check(name, |fleet| fleet.rpc_address(0), clients, script).await;
}

/// Guards against memory for the announced length of messages that break off.
#[tokio::test(flavor = "multi_thread")]
async fn announced_messages_that_break_off() {
    let script = once(&message_start(8 << 20, 4 << 20));
    check_routes("peer-announced", 60, &script).await;
}

/// Guards against many messages of a length that a single one may have.
#[tokio::test(flavor = "multi_thread")]
async fn many_messages_of_an_allowed_length_that_break_off() {
    let script = once(&message_start(300_000, 299_000));
    check_routes("peer-many", 250, &script).await;
}

/// Guards against memory for bytes that are no message.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_no_message() {
    check_routes("peer-no-message", 200, &once(&no_message(800_000))).await;
}

/// Guards against the same where the first word announces a message.
#[tokio::test(flavor = "multi_thread")]
async fn messages_that_mean_nothing() {
    let message = once(&message_start(800_000, 800_000));
    check_routes("peer-meaningless", 200, &message).await;
}

/// Guards against complete messages that follow each other without a pause.
#[tokio::test(flavor = "multi_thread")]
async fn endless_messages_that_mean_nothing() {
    let script = Script {
        repeated: message_start(100_000, 100_000).into(),
        ..Script::once("")
    };
    check_routes("peer-endless", 100, &script).await;
}

/// Sends requests for a leaf that does not read them, with bodies of the largest length that callers may send.
async fn hand_over_bodies(peer: SocketAddr) {
    /// Requests of each connection.
    const CALLS: usize = 50;
    let Ok(stream) = TcpStream::connect(peer).await else {
        return;
    };
    let (reader, writer) = stream.compat().split();
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        rpc_twoparty_capnp::Side::Client,
        capnp::message::ReaderOptions::default(),
    );
    let mut rpc = RpcSystem::new(Box::new(network), None);
    let client: route_peer::Client = rpc.bootstrap(rpc_twoparty_capnp::Side::Server);
    let body = vec![b'x'; SETUP.body_bytes];
    let calls: Vec<_> = (0..CALLS)
        .map(|number| {
            let mut call = client.serve_request_request();
            let mut params = call.get();
            params.set_method("POST");
            params.set_path("/deaf/1");
            params.set_time_left_ms(3_000);
            params.set_config_version(1);
            params.set_body(&body);
            let id = number.to_string();
            let headers = [("host", "a.example"), ("x-medlarpin-request-id", &id)];
            let mut list = params.init_headers(2);
            for (index, (name, value)) in (0..).zip(headers) {
                let mut header = list.reborrow().get(index);
                header.set_name(name);
                header.set_value(value.as_bytes());
            }
            call.send().promise
        })
        .collect();
    // The daemon may close the connection.
    let _ = rpc.await;
    drop(calls);
    std::future::pending::<()>().await;
}

/// Guards against bodies that are held twice, as a part of the message and for the leaf.
#[test]
fn handed_over_bodies_for_a_leaf_that_does_not_read() {
    check_calling_daemons("peer-bodies", SETUP, 20, hand_over_bodies);
}

/// Guards against announced messages at a daemon that serves teams.
#[tokio::test(flavor = "multi_thread")]
async fn announced_messages_of_teams_that_break_off() {
    let script = once(&message_start(8 << 20, 4 << 20));
    check_teams("teams-peer-announced", 60, &script).await;
}

/// Guards against bytes that are no message at a daemon that serves teams.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_no_message_of_teams() {
    check_teams("teams-peer-no-message", 200, &once(&no_message(800_000))).await;
}

/// Guards against connections of other daemons that take all descriptors of a daemon that serves teams.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_connections_of_daemons_of_teams() {
    check_teams("teams-peer-abandoned", 1_300, &Script::once("")).await;
}
