//! Memory and processor time of RPC connections, with both ends in this process.

use std::rc::Rc;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt;
use wire::peer_capnp::peer;

use crate::capacity::error::CapacityError;
use crate::capacity::memory::resident_bytes;
use crate::capacity::slope::Slope;
use crate::capacity::timing::thread_time_us;

/// Answers calls of `exchange` with an empty heartbeat.
struct EmptyPeer;

impl peer::Server for EmptyPeer {
    async fn exchange(
        self: Rc<Self>,
        _params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        results.get().init_heartbeat();
        Ok(())
    }
}

/// Measures the memory of connections that each made one call, without the kernel's buffers.
pub fn memory() -> Result<Slope, CapacityError> {
    let runtime = runtime()?;
    let local = tokio::task::LocalSet::new();
    let points = local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(socket_error)?;
        let before = resident_bytes()?;
        let mut clients: Vec<peer::Client> = Vec::new();
        let mut points = Vec::new();
        // Both ends' sockets together stay below the usual limit of 1,024 open files.
        for connections in [50, 100, 200, 400] {
            while clients.len() < connections {
                clients.push(connect(&listener).await?);
            }
            points.push((connections as f64, resident_bytes()? - before));
        }
        Ok::<_, CapacityError>(points)
    })?;
    Ok(Slope {
        quantity: "memory of RPC connections, both ends, B",
        mechanism: "daemon peers",
        size: "connections",
        points,
    })
}

/// Measures the processor time of calls on one connection, eight at a time, for both ends together.
pub fn calls() -> Result<Slope, CapacityError> {
    const IN_FLIGHT: u32 = 8;
    let runtime = runtime()?;
    let local = tokio::task::LocalSet::new();
    let points = local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(socket_error)?;
        let client = connect(&listener).await?;
        let mut points = Vec::new();
        for calls in [2_000, 8_000, 16_000] {
            let before = thread_time_us()?;
            for _ in 0..calls / IN_FLIGHT {
                let sent = (0..IN_FLIGHT).map(|_| client.exchange_request().send().promise);
                futures::future::try_join_all(sent).await?;
            }
            points.push((f64::from(calls), thread_time_us()? - before));
        }
        Ok::<_, CapacityError>(points)
    })?;
    Ok(Slope {
        quantity: "processor time of empty RPC calls, both ends, us",
        mechanism: "daemon peers",
        size: "calls",
        points,
    })
}

fn runtime() -> Result<tokio::runtime::Runtime, CapacityError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().map_err(socket_error)
}

/// Opens a connection as the daemon's pool and server do, and makes one call.
async fn connect(listener: &TcpListener) -> Result<peer::Client, CapacityError> {
    let address = listener.local_addr().map_err(socket_error)?;
    let stream = TcpStream::connect(address).await.map_err(socket_error)?;
    let (accepted, _) = listener.accept().await.map_err(socket_error)?;
    let service: peer::Client = capnp_rpc::new_client(EmptyPeer);
    let server = network(accepted, rpc_twoparty_capnp::Side::Server);
    tokio::task::spawn_local(RpcSystem::new(Box::new(server), Some(service.client)));
    let client = network(stream, rpc_twoparty_capnp::Side::Client);
    let mut system = RpcSystem::new(Box::new(client), None);
    let client: peer::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    tokio::task::spawn_local(system);
    client.exchange_request().send().promise.await?;
    Ok(client)
}

type Network = twoparty::VatNetwork<futures::io::BufReader<Half>>;
type Half = futures::io::ReadHalf<tokio_util::compat::Compat<TcpStream>>;

fn network(stream: TcpStream, side: rpc_twoparty_capnp::Side) -> Network {
    let (reader, writer) = stream.compat().split();
    twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        side,
        capnp::message::ReaderOptions::default(),
    )
}

fn socket_error(error: std::io::Error) -> CapacityError {
    CapacityError::File {
        path: "a loopback socket".to_owned(),
        error,
    }
}
