//! The RPC interface that this daemon serves to its peers.

use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;

use capnp_rpc::rpc_twoparty_capnp;
use client_connections::{PeerPlace, PeerStream};
use medlarpin_core::prelude::*;
use peer_rpc::Endpoint;
use wire::peer_capnp::{TeamLimit, peer};
use wire::{Batch, CallerQuery, WireError};

use crate::entry::{Limit, run_forwarded};
use crate::fleet::{answer_heartbeat, holder_histories};
use crate::gather::gather;
use crate::logging::GOSSIP;
use crate::query_memory::QueryMemory;
use crate::workers::Worker;

/// Serves one accepted connection until it is closed.
pub async fn serve_peer(worker: Rc<Worker>, stream: TcpStream, place: PeerPlace) {
    let stream = match tokio::net::TcpStream::from_std(stream) {
        Ok(stream) => stream,
        Err(error) => {
            log::warn!(target: GOSSIP, "Cannot serve an accepted peer connection: {error}.");
            return;
        }
    };
    let stream = PeerStream::new(stream, place);
    let endpoint = Endpoint {
        stream,
        side: rpc_twoparty_capnp::Side::Server,
        options: capnp::message::ReaderOptions::default(),
    };
    let messages = worker.shared.clients.messages.clone();
    let client: peer::Client = capnp_rpc::new_client(PeerService { worker });
    let system = endpoint.into_rpc_system(Some(client.client), &messages);
    if let Err(error) = system.await {
        log::debug!(target: GOSSIP, "Accepted peer connection failed: {error}.");
    }
}

struct PeerService {
    worker: Rc<Worker>,
}

/// Logs a malformed message and converts it to the error returned to the sender.
fn reject(error: &WireError) -> capnp::Error {
    log::warn!(target: GOSSIP, "Rejected a malformed peer message: {error}.");
    capnp::Error::failed(error.to_string())
}

impl peer::Server for PeerService {
    async fn gather(
        self: Rc<Self>,
        params: peer::GatherParams,
        mut results: peer::GatherResults,
    ) -> Result<(), capnp::Error> {
        let batch = Batch::read(params.get()?.get_batch()?).map_err(|error| reject(&error))?;
        // The message takes memory, which the batch no longer needs.
        drop(params);
        let shared = Arc::clone(&self.worker.shared);
        let _in_flight = shared.lifecycle.track_request();
        // The results take memory of their own once they are written.
        let memory = Arc::new(QueryMemory::new(&shared.clients.callers));
        let reply = gather(Rc::clone(&self.worker), batch, memory).await;
        reply.write(results.get().init_reply());
        Ok(())
    }

    async fn run(
        self: Rc<Self>,
        params: peer::RunParams,
        mut results: peer::RunResults,
    ) -> Result<(), capnp::Error> {
        let query =
            CallerQuery::read(params.get()?.get_query()?).map_err(|error| reject(&error))?;
        drop(params);
        let shared = Arc::clone(&self.worker.shared);
        let _in_flight = shared.lifecycle.track_request();
        let answer = run_forwarded(&self.worker, query).await;
        answer.write(results.get().init_answer());
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let message =
            wire::read_heartbeat(params.get()?.get_heartbeat()?).map_err(|error| reject(&error))?;
        let reply = answer_heartbeat(&self.worker, &message);
        wire::write_heartbeat(&reply, results.get().init_heartbeat());
        Ok(())
    }

    async fn fetch_settings(
        self: Rc<Self>,
        params: peer::FetchSettingsParams,
        mut results: peer::FetchSettingsResults,
    ) -> Result<(), capnp::Error> {
        let above = Revision(params.get()?.get_above_revision());
        let tree = Arc::clone(&self.worker.shared.fleet.lock().tree);
        if tree.revision() > above {
            wire::write_settings_tree(&tree.to_transfer_since(above), results.get().init_tree());
        }
        Ok(())
    }

    async fn borrow_share(
        self: Rc<Self>,
        params: peer::BorrowShareParams,
        mut results: peer::BorrowShareResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let limit = match params.get_limit()? {
            TeamLimit::Rate => Limit::Rate,
            TeamLimit::Concurrency => Limit::Concurrency,
        };
        let borrower = VmName::new(params.get_borrower()?.to_str()?);
        let team = params.get_team()?.to_str()?;
        let shared = &self.worker.shared;
        let now = shared.clock.now();
        // After a pause this daemon's ledger may be out of date about the units that it has lent.
        if shared.check_pause(now).is_err() {
            return Ok(());
        }
        let units = params.get_units();
        let lease = shared
            .admission
            .lock()
            .lend(team, limit, &borrower, units, now);
        if let Some(lease) = lease {
            let mut results = results.get();
            results.set_granted_units(lease.units);
            results.set_lease_ms(u64::try_from(lease.duration.as_millis()).unwrap_or(0));
        }
        Ok(())
    }

    async fn fetch_vm_list(
        self: Rc<Self>,
        params: peer::FetchVmListParams,
        mut results: peer::FetchVmListResults,
    ) -> Result<(), capnp::Error> {
        let above = Revision(params.get()?.get_above_revision());
        let view = self.worker.shared.view();
        let list = view.vm_list();
        if list.revision() > above {
            wire::write_vm_list(list, results.get().init_list());
        }
        Ok(())
    }

    async fn fetch_holder_history(
        self: Rc<Self>,
        params: peer::FetchHolderHistoryParams,
        mut results: peer::FetchHolderHistoryResults,
    ) -> Result<(), capnp::Error> {
        let groups =
            wire::read_groups(params.get()?.get_groups()?).map_err(|error| reject(&error))?;
        let histories = holder_histories(&self.worker.shared, groups);
        let count = u32::try_from(histories.len()).unwrap_or(u32::MAX);
        wire::write_histories(&histories, results.get().init_histories(count));
        Ok(())
    }
}
