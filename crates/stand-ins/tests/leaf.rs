//! Tests that the fake leaf implements the leaf protocol and that each fault has its described
//! effect.

mod client;

use std::time::Duration;

use hyper::StatusCode;
use serde_json::{Value, json};
use stand_ins::prelude::*;

use crate::client::TestClient;

async fn start(slots: usize, connection_limit: usize, service_time: Duration) -> FakeLeaf {
    let config = LeafConfig {
        id: "harvest-log-0".to_owned(),
        service: "harvest-log".to_owned(),
        slots,
        connection_limit,
        service_time,
        seed: 7,
        versions: vec![(3, Shards::Subset(vec![0, 1])), (4, Shards::All)],
    };
    FakeLeaf::start(config).await.expect("a free port")
}

fn search(id: u32, query: &str, version: u64, shard: u32, deadline_ms: u64) -> Value {
    json!({
        "request_id": format!("{id:032x}-1"), "team": "order-desk", "query": query,
        "index_version": version, "shard": shard, "deadline_ms": deadline_ms,
    })
}

/// Sends one request to a new leaf with the given faults and returns the reply; `None` means a lost
/// connection.
async fn send_with(faults: Faults, request: Value) -> Option<(StatusCode, Value)> {
    let leaf = start(2, 10, Duration::from_millis(1)).await;
    leaf.update_faults(|current| *current = faults);
    TestClient::new()
        .send(leaf.address(), "/search", Some(&request))
        .await
}

/// Guards against a fake that deviates from the leaf protocol, which would invalidate all tests
/// that use it.
#[tokio::test]
async fn replies_follow_the_protocol() {
    let (status, body) = send_with(Faults::default(), search(1, "q", 3, 1, 1000))
        .await
        .unwrap();
    assert_eq!(status, StatusCode::OK);
    assert_eq!(body["request_id"], format!("{:032x}-1", 1));
    assert_eq!(
        (&body["index_version"], &body["shard"]),
        (&json!(3), &json!(1))
    );
    assert_eq!(body["rows"], json!(expected_rows("harvest-log", 3, 1, "q")));

    let (status, body) = send_with(Faults::default(), search(1, "q", 3, 2, 1000))
        .await
        .unwrap();
    assert_eq!(
        (status, &body["error"]),
        (StatusCode::CONFLICT, &json!("version_gone"))
    );
    assert_eq!(body["versions"], json!([3, 4]));

    let (status, body) = send_with(Faults::default(), search(1, "q", 3, 1, 0))
        .await
        .unwrap();
    assert_eq!(
        (status, &body["error"]),
        (StatusCode::SERVICE_UNAVAILABLE, &json!("shedding"))
    );

    let draining = Faults {
        refusal: Some(Refusal::Draining),
        ..Faults::default()
    };
    let (status, body) = send_with(draining, search(1, "q", 3, 1, 1000))
        .await
        .unwrap();
    assert_eq!(
        (status, &body["error"]),
        (StatusCode::SERVICE_UNAVAILABLE, &json!("draining"))
    );
}

/// Guards against reply faults that have no effect on the reply.
#[tokio::test]
async fn reply_faults_corrupt_the_reply() {
    let faults = |reply| Faults {
        reply,
        ..Faults::default()
    };
    let reply = async |fault| {
        send_with(faults(fault), search(1, "q", 4, 8, 1000))
            .await
            .unwrap()
            .1
    };
    assert_ne!(
        reply(ReplyFault::OtherRequest).await["request_id"],
        format!("{:032x}-1", 1)
    );
    assert_eq!(reply(ReplyFault::OtherShard).await["shard"], 9);
    assert_eq!(reply(ReplyFault::OtherVersion).await["index_version"], 5);
    assert_eq!(reply(ReplyFault::Garbage).await, Value::Null);
    let oversized = reply(ReplyFault::Oversized(100_000)).await;
    assert_eq!(oversized["rows"][0].as_str().map(str::len), Some(100_000));
    assert!(reply(ReplyFault::Late(Duration::from_millis(5))).await["rows"].is_array());
}

/// Guards against processing more requests than there are slots, and against processing a queued
/// request after its deadline or cancellation.
#[tokio::test]
async fn expired_and_cancelled_queued_requests_do_not_run() {
    let leaf = start(1, 10, Duration::from_hours(1)).await;
    let client = TestClient::new();
    let running = tokio::spawn({
        let (client, address) = (client.clone(), leaf.address());
        async move {
            client
                .send(address, "/search", Some(&search(1, "q", 3, 0, 10_000)))
                .await
        }
    });
    while leaf.run_count() == 0 {
        tokio::task::yield_now().await;
    }
    let (status, _) = client
        .send(leaf.address(), "/search", Some(&search(2, "q", 3, 0, 20)))
        .await
        .unwrap();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);

    let queued = tokio::spawn({
        let (client, address) = (client.clone(), leaf.address());
        async move {
            client
                .send(address, "/search", Some(&search(3, "q", 3, 0, 600_000)))
                .await
        }
    });
    let cancel = json!({ "request_id": format!("{:032x}-1", 3) });
    while leaf.cancelled() == 0 {
        let reply = client
            .send(leaf.address(), "/cancel", Some(&cancel))
            .await
            .unwrap();
        assert_eq!(reply.0, StatusCode::NO_CONTENT);
    }
    assert_eq!(
        queued.await.unwrap().unwrap().0,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(
        (leaf.run_count(), leaf.requests(), leaf.peak_in_flight()),
        (1, 3, 2)
    );
    running.abort();
}

/// Guards against a simulated crash that still sends a reply, is not counted or leaves the port
/// open.
#[tokio::test]
async fn a_crash_closes_the_connection_and_the_port() {
    let leaf = start(2, 10, Duration::from_millis(1)).await;
    let rule = CrashRule {
        text: "poison".to_owned(),
        down_for: None,
    };
    leaf.update_faults(|faults| faults.crash = Some(rule));
    let client = TestClient::new();
    let request = search(1, "the poison", 3, 0, 1000);
    assert!(
        client
            .send(leaf.address(), "/search", Some(&request))
            .await
            .is_none()
    );
    assert_eq!(
        (leaf.crashes(), leaf.run_count(), leaf.is_up()),
        (1, 1, false)
    );
    while client.send(leaf.address(), "/health", None).await.is_some() {}
    leaf.come_up();
    while client.send(leaf.address(), "/health", None).await.is_none() {}
    let (status, _) = client
        .send(leaf.address(), "/search", Some(&search(2, "q", 3, 0, 1000)))
        .await
        .unwrap();
    assert_eq!(status, StatusCode::OK);
}

/// Guards against a connection limit that is not enforced: tests could not notice a client that
/// exceeds it.
#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    let leaf = start(2, 2, Duration::from_millis(1)).await;
    let clients = [TestClient::new(), TestClient::new(), TestClient::new()];
    let mut answered = 0;
    for client in &clients {
        answered += usize::from(client.send(leaf.address(), "/health", None).await.is_some());
    }
    assert_eq!((answered, leaf.peak_connections()), (2, 3));
    assert!(leaf.rejected_connections() >= 1);
}
