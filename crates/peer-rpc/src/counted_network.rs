use std::rc::Rc;

use capnp::Error;
use capnp::any_pointer;
use capnp::capability::Promise;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{Connection, FlowController, IncomingMessage, OutgoingMessage, VatNetwork};
use client_connections::HeldMemory;

use crate::message_reader::ArrivedMemory;

/// A network of two daemons that attaches its memory to each incoming message.
pub(crate) struct CountedNetwork<N> {
    inner: N,
    arrived: ArrivedMemory,
}

impl<N> CountedNetwork<N> {
    /// Wraps a network whose stream leaves the memory of complete messages in `arrived`.
    pub(crate) fn new(inner: N, arrived: ArrivedMemory) -> Self {
        Self { inner, arrived }
    }
}

impl<N> VatNetwork<Side> for CountedNetwork<N>
where
    N: VatNetwork<Side>,
{
    fn connect(&mut self, host_id: Side) -> Option<Box<dyn Connection<Side>>> {
        let inner = self.inner.connect(host_id)?;
        Some(Box::new(CountedConnection {
            inner,
            arrived: Rc::clone(&self.arrived),
        }))
    }

    fn accept(&mut self) -> Promise<Box<dyn Connection<Side>>, Error> {
        let arrived = Rc::clone(&self.arrived);
        let accepted = self.inner.accept();
        Promise::from_future(async move {
            let inner = accepted.await?;
            let counted: Box<dyn Connection<Side>> = Box::new(CountedConnection { inner, arrived });
            Ok(counted)
        })
    }

    fn drive_until_shutdown(&mut self) -> Promise<(), Error> {
        self.inner.drive_until_shutdown()
    }
}

struct CountedConnection {
    inner: Box<dyn Connection<Side>>,
    arrived: ArrivedMemory,
}

impl Connection<Side> for CountedConnection {
    fn get_peer_vat_id(&self) -> Side {
        self.inner.get_peer_vat_id()
    }

    fn new_outgoing_message(&mut self, first_segment_word_size: u32) -> Box<dyn OutgoingMessage> {
        self.inner.new_outgoing_message(first_segment_word_size)
    }

    fn receive_incoming_message(&mut self) -> Promise<Option<Box<dyn IncomingMessage>>, Error> {
        let arrived = Rc::clone(&self.arrived);
        let received = self.inner.receive_incoming_message();
        Promise::from_future(async move {
            let message = received.await?;
            Ok(message.map(|inner| {
                let counted: Box<dyn IncomingMessage> = Box::new(CountedMessage {
                    inner,
                    _memory: arrived.take(),
                });
                counted
            }))
        })
    }

    fn new_stream(&mut self) -> (Box<dyn FlowController>, Promise<(), Error>) {
        self.inner.new_stream()
    }

    fn shutdown(&mut self, result: capnp::Result<()>) -> Promise<(), Error> {
        self.inner.shutdown(result)
    }
}

/// A message with the memory that it takes until it is dropped.
struct CountedMessage {
    inner: Box<dyn IncomingMessage>,
    _memory: Option<HeldMemory>,
}

impl IncomingMessage for CountedMessage {
    fn get_body(&self) -> capnp::Result<any_pointer::Reader<'_>> {
        self.inner.get_body()
    }
}
