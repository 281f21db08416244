//! Tests of what the outcome of a hand-over says about whether the other daemon got the request, and of what is passed
//! on of its answer.

use bytes::Bytes;
use client_connections::Clients;
use medlarpin_core::prelude::{Clock, SystemClock};
use medlarpin_core::routing::Repeatability;

use super::*;
use crate::test_daemon::{self, SETTINGS};

/// A daemon that answers each request with a status.
struct AnsweringDaemon {
    status: u16,
}

impl route_peer::Server for AnsweringDaemon {
    async fn serve_request(
        self: Rc<Self>,
        _params: route_peer::ServeRequestParams,
        mut results: route_peer::ServeRequestResults,
    ) -> Result<(), capnp::Error> {
        let mut reply = results.get();
        reply.set_is_served(true);
        reply.set_status(self.status);
        Ok(())
    }
}

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

/// Guards against a number that is no status of an answer, which a daemon of an older release passes on.
#[tokio::test]
async fn only_statuses_of_answers_are_passed_on() {
    let shared = test_daemon::shared(SETTINGS);
    let check = async |status: u16, expected: bool| {
        let client: route_peer::Client = capnp_rpc::new_client(AnsweringDaemon { status });
        let answered = call_serve_request(&client, &request(), false, &shared).await;
        assert_eq!(answered.is_ok(), expected, "{status}: {answered:?}");
    };
    check(0, false).await;
    check(99, false).await;
    check(101, false).await;
    check(200, true).await;
    check(599, true).await;
    check(600, false).await;
    check(999, false).await;
    check(1_000, false).await;
}
