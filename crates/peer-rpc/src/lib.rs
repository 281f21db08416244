//! RPC connections between daemons whose incoming messages take memory of an account.
//!
//! Cap'n Proto allocates the length that a message states before the message has arrived. [`MessageReader`] takes
//! memory for that length first, and waits while there is none. The memory stays attached to the message until the
//! RPC system drops it.

mod counted_network;
mod framing;
mod message_reader;

use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use client_connections::Clients;
use futures::AsyncReadExt;
use futures::io::{BufReader, BufWriter};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::counted_network::CountedNetwork;
pub use crate::framing::{Framing, FramingError};
pub use crate::message_reader::{MessageError, MessageReader};

/// One side of a connection.
#[derive(Debug)]
pub struct Endpoint<S> {
    /// The connection.
    pub stream: S,
    /// Whether this daemon accepted the connection or opened it.
    pub side: Side,
    /// Limits of a single message, checked before its memory is taken.
    pub options: ReaderOptions,
}

impl<S> Endpoint<S>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    /// Returns the RPC system of this side, which offers `bootstrap` to the other one and whose incoming messages
    /// take memory of `messages`.
    pub fn into_rpc_system(
        self,
        bootstrap: Option<capnp::capability::Client>,
        messages: &Clients,
    ) -> RpcSystem<Side> {
        let (reader, writer) = self.stream.compat().split();
        let (reader, arrived) = MessageReader::new(BufReader::new(reader), messages.clone());
        let network =
            twoparty::VatNetwork::new(reader, BufWriter::new(writer), self.side, self.options);
        let network = CountedNetwork::new(network, arrived);
        RpcSystem::new(Box::new(network), bootstrap)
    }
}
