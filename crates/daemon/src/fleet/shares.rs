//! Leases of team limits between daemons.

use std::rc::Rc;

use medlarpin_core::prelude::*;
use medlarpin_core::team_share::{Lease, LeaseRequest};
use wire::peer_capnp::TeamLimit;

use crate::entry::Limit;
use crate::logging::GOSSIP;
use crate::peers::BorrowRequest;
use crate::workers::Worker;

/// Interval between checks of the ledgers.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a call to a lender.
const LENDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Borrows units of team limits while the demand exceeds this daemon's share, forever.
pub async fn renew_shares(worker: Rc<Worker>) {
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let shared = &worker.shared;
        let now = shared.clock.now();
        if shared.check_pause(now).is_err() {
            continue;
        }
        let usable = shared.usable_vms();
        let requests = shared
            .admission
            .lock()
            .lease_requests(|vm| usable.binary_search(vm).is_ok(), now);
        for (team, limit, request) in requests {
            tokio::task::spawn_local(borrow(Rc::clone(&worker), team, limit, request));
        }
    }
}

async fn borrow(worker: Rc<Worker>, team: TeamName, limit: Limit, request: LeaseRequest) {
    let shared = &worker.shared;
    let view = shared.view();
    let Some(lender) = view.vm_list().get(&request.lender) else {
        return;
    };
    let borrow_request = BorrowRequest {
        team: &team,
        limit: match limit {
            Limit::Rate => TeamLimit::Rate,
            Limit::Concurrency => TeamLimit::Concurrency,
        },
        borrower: shared.local_vm(),
        units: request.units,
    };
    let reply = worker
        .peers
        .borrow_share(lender.rpc_address, &borrow_request, LENDER_TIMEOUT)
        .await;
    let now = shared.clock.now();
    match reply {
        Ok((units, duration)) => {
            let lease = Lease {
                lender: request.lender,
                units,
                duration,
            };
            let mut admission = shared.admission.lock();
            admission.accept(&team, limit, &lease, request.asked_at, now);
        }
        Err(error) => {
            log::debug!(
                target: GOSSIP, "Borrowing units from VM {} failed: {error}.",
                request.lender
            );
        }
    }
}
