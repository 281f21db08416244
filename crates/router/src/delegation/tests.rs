//! Tests of what the outcome of a hand-over says about whether the other daemon got the request.

use bytes::Bytes;
use client_connections::Clients;
use medlarpin_core::prelude::{Clock, SystemClock};
use medlarpin_core::routing::Repeatability;

use super::*;

fn request() -> Arc<CallerRequest> {
    let clock = Arc::new(SystemClock);
    let now = clock.now();
    let (head, ()) = Request::get("/x").body(()).unwrap().into_parts();
    Arc::new(CallerRequest {
        id: HeaderValue::from_static("r1"),
        head,
        body: Bytes::new(),
        room: Clients::new(64 << 20, clock).hold().into(),
        arrived_at: now,
        deadline: now + Duration::from_secs(1),
        answer_by: now + Duration::from_secs(1),
        ledger: RunLedger::new(Repeatability::AtMostOnce),
        leaf_room: OnceLock::new(),
        identity: OnceLock::new(),
    })
}

/// Guards against a request that counts as not run although the task that sent it ended without a result.
#[tokio::test]
async fn a_handover_without_a_result_may_have_arrived() {
    let (delegations, mut task) = Delegations::new();
    let daemon = SocketAddr::from(([127, 0, 0, 1], 9));
    let sent = delegations.send(daemon, request(), false);
    let drop_query = async { drop(task.queries.recv().await) };
    let (outcome, ()) = tokio::join!(sent, drop_query);
    assert!(
        matches!(outcome, DelegationOutcome::Failed(DelegationError::Aborted)),
        "{outcome:?}"
    );
}

/// Guards against a failure that promises nothing where the request was never sent.
#[tokio::test]
async fn a_handover_without_a_task_has_not_arrived() {
    let (delegations, task) = Delegations::new();
    drop(task);
    let daemon = SocketAddr::from(([127, 0, 0, 1], 9));
    let outcome = delegations.send(daemon, request(), false).await;
    assert!(
        matches!(outcome, DelegationOutcome::NotServed { .. }),
        "{outcome:?}"
    );
}
