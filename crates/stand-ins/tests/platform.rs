//! Tests that the fake platform implements the platform's protocol and that each mode has its
//! described effect.

mod client;

use std::sync::Arc;

use hyper::StatusCode;
use serde_json::json;
use stand_ins::prelude::*;

use crate::client::TestClient;

/// Guards against a watch that misses a change, or that returns settings although nothing has
/// changed.
#[tokio::test]
async fn a_watch_returns_when_the_settings_change() {
    let platform = FakePlatform::start().await.unwrap();
    let client = TestClient::new();
    platform.set_many(&[("teams/a", "{}"), ("teams/b", "{}")]);
    let now = client
        .send(platform.address(), "/v1/settings", None)
        .await
        .unwrap();
    assert_eq!(
        now.1,
        json!({ "revision": 1, "subtrees": { "teams/a": "{}", "teams/b": "{}" } })
    );

    let path = "/v1/settings?after=1&wait_ms=5";
    let unchanged = client.send(platform.address(), path, None).await.unwrap();
    assert_eq!(unchanged.0, StatusCode::NO_CONTENT);

    let watch = tokio::spawn({
        let (client, address) = (client.clone(), platform.address());
        async move {
            client
                .send(address, "/v1/settings?after=1&wait_ms=600000", None)
                .await
        }
    });
    while platform.waiting_watches() == 0 {
        tokio::task::yield_now().await;
    }
    platform.remove("teams/a");
    let changed = watch.await.unwrap().unwrap();
    assert_eq!(
        changed.1,
        json!({ "revision": 2, "subtrees": { "teams/b": "{}" } })
    );
    assert_eq!((platform.calls(), platform.waiting_watches()), (3, 0));
}

/// Guards against a stale fake that serves later changes, and against one that answers while it is
/// down.
#[tokio::test]
async fn stale_and_down_modes_take_effect() {
    let platform = FakePlatform::start().await.unwrap();
    let client = TestClient::new();
    let revision = async |path| {
        let reply = client.send(platform.address(), path, None).await;
        reply.and_then(|(_, body)| body["revision"].as_u64())
    };
    platform.set("teams/a", "{}");
    platform.set_mode(PlatformMode::Stale);
    platform.set("teams/a", "{ }");
    assert_eq!(revision("/v1/settings").await, Some(1));
    assert_eq!(
        revision("/v1/settings?after=2&wait_ms=600000").await,
        Some(1)
    );

    platform.set_mode(PlatformMode::Down);
    while revision("/v1/settings").await.is_some() {}
    platform.set_mode(PlatformMode::Up);
    let restored = loop {
        if let Some(revision) = revision("/v1/settings").await {
            break revision;
        }
    };
    assert_eq!((restored, platform.revision()), (2, 2));
}

/// Guards against concurrent writers that get the same revision or lose a change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_writers_get_distinct_revisions() {
    let platform = Arc::new(FakePlatform::start().await.unwrap());
    let writers = ["teams/a", "teams/b"].map(|path| {
        let platform = Arc::clone(&platform);
        std::thread::spawn(move || {
            (0..50)
                .map(|_| platform.set(path, "{}"))
                .collect::<Vec<_>>()
        })
    });
    let mut revisions: Vec<u64> = writers
        .into_iter()
        .flat_map(|writer| writer.join().unwrap())
        .collect();
    revisions.sort_unstable();
    assert_eq!(revisions, (1..=100).collect::<Vec<_>>());
}
