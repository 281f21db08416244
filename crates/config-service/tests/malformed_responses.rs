//! Guards against malformed responses of the platform that cause a panic or are accepted.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use config_service::prelude::*;
use medlarpin_core::prelude::Revision;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use tokio::runtime::Runtime;

const TREE: &str = r#"{"revision": 7, "subtrees": {"teams/b": "{}", "teams/a": "{}"}}"#;
const VMS: &str = r#"{"revision": 3, "vms": [{"name": "vm-2", "rpc_address": "127.0.0.1:1",
    "failure_domain": "warmia-1", "region": "warmia", "state": "leaving"}]}"#;

type Body = Arc<Mutex<Vec<u8>>>;

/// Starts a replica that answers each request with the current content of `body`.
async fn replica(body: Body) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let app = Router::new().fallback(async move || body.lock().unwrap().clone());
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

fn check_response(runtime: &Runtime, client: &PlatformClient, body: &[u8]) {
    let after = Some(Revision(6));
    let tree = runtime.block_on(client.fetch_settings(after, Duration::from_millis(50)));
    if let Ok(Some(tree)) = tree {
        assert!(tree.revision > Revision(6), "{}", body.escape_ascii());
        assert!(tree.texts.is_sorted_by(|a, b| a.0 < b.0));
    }
    if let Ok(list) = runtime.block_on(client.fetch_vm_list()) {
        for vm in list.vms() {
            assert!((1..=100).contains(&vm.name.as_str().len()));
            assert_ne!(vm.rpc_address.port(), 0);
        }
    }
}

/// Guards against arbitrary bytes and damaged bodies that cause a panic or are accepted as an old
/// tree, an unsorted tree, or a VM with an invalid name or port.
#[test]
fn arbitrary_responses_are_validated() {
    let runtime = Runtime::new().unwrap();
    let body = Body::default();
    let address = runtime.block_on(replica(Arc::clone(&body)));
    let client = PlatformClient::new(vec![address]);
    let damaged = (
        prop::sample::select(vec![TREE, VMS]),
        any::<prop::sample::Index>(),
        "\\PC{0,8}",
        0_usize..8,
    );
    let damaged = damaged.prop_map(|(text, at, insert, cut)| {
        let at = at.index(text.len());
        let end = (at + cut).min(text.len());
        format!("{}{insert}{}", &text[..at], &text[end..]).into_bytes()
    });
    let bodies = prop_oneof![damaged, prop::collection::vec(any::<u8>(), 0..200)];
    let config = Config {
        rng_seed: RngSeed::Fixed(20_256),
        failure_persistence: None,
        cases: 500,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&bodies, |bytes| {
        body.lock().unwrap().clone_from(&bytes);
        check_response(&runtime, &client, &bytes);
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

/// Guards against an oversized settings text that the client drops before its parser can report it,
/// and against response bodies of unlimited size in memory.
#[test]
fn response_size_is_limited() {
    let runtime = Runtime::new().unwrap();
    let body = Body::default();
    let address = runtime.block_on(replica(Arc::clone(&body)));
    let client = PlatformClient::new(vec![address]);
    let publish = |bytes: usize| {
        let value = "x".repeat(bytes);
        let text = format!(r#"{{"revision": 7, "subtrees": {{"teams/a": "{value}"}}, "vms": []}}"#);
        *body.lock().unwrap() = text.into_bytes();
        runtime.block_on(client.fetch_settings(None, Duration::from_millis(50)))
    };
    // A text above its size limit is rejected by its parser, so that the state dump names its path.
    for bytes in [1 << 20, (1 << 20) + 1, 4 << 20] {
        let tree = publish(bytes).unwrap().unwrap();
        assert_eq!(tree.texts[0].1.len(), bytes);
    }
    assert!(matches!(
        runtime.block_on(client.fetch_vm_list()),
        Err(PlatformError::BodyTooLarge { .. })
    ));
    assert!(matches!(
        publish(64 << 20),
        Err(PlatformError::BodyTooLarge { .. })
    ));
}
