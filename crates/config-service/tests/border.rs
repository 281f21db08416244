//! Guards against answers of a faulty platform that panic or are taken for a tree or a list.

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

/// Starts a replica that answers each request with the present body.
async fn replica(body: Body) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let app = Router::new().fallback(async move || body.lock().unwrap().clone());
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

fn check(runtime: &Runtime, client: &PlatformClient, body: &[u8]) {
    let after = Some(Revision(6));
    let tree = runtime.block_on(client.settings(after, Duration::from_millis(50)));
    if let Ok(Some(tree)) = tree {
        assert!(tree.revision > Revision(6), "{}", body.escape_ascii());
        assert!(tree.texts.is_sorted_by(|a, b| a.0 < b.0));
    }
    if let Ok(list) = runtime.block_on(client.vm_list()) {
        for vm in list.vms() {
            assert!((1..=100).contains(&vm.name.as_str().len()));
            assert_ne!(vm.rpc_address.port(), 0);
        }
    }
}

/// Guards against a panic on, and a wrong reading of, bytes and damaged bodies.
#[test]
fn any_answer_is_checked() {
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
    let outcome = TestRunner::new(config).run(&bodies, |bytes| {
        body.lock().unwrap().clone_from(&bytes);
        check(&runtime, &client, &bytes);
        Ok(())
    });
    assert!(outcome.is_ok(), "{outcome:?}");
}

/// Guards against a huge value that is lost on the way to its check, and a huge list in memory.
#[test]
fn huge_answers_are_bounded() {
    let runtime = Runtime::new().unwrap();
    let body = Body::default();
    let address = runtime.block_on(replica(Arc::clone(&body)));
    let client = PlatformClient::new(vec![address]);
    let publish = |bytes: usize| {
        let value = "x".repeat(bytes);
        let text = format!(r#"{{"revision": 7, "subtrees": {{"teams/a": "{value}"}}, "vms": []}}"#);
        *body.lock().unwrap() = text.into_bytes();
        runtime.block_on(client.settings(None, Duration::from_millis(50)))
    };
    // A value above the limit is judged by its parser, so that the dump can name its path.
    for bytes in [1 << 20, (1 << 20) + 1, 4 << 20] {
        let tree = publish(bytes).unwrap().unwrap();
        assert_eq!(tree.texts[0].1.len(), bytes);
    }
    assert!(matches!(
        runtime.block_on(client.vm_list()),
        Err(PlatformError::BodyTooLarge { .. })
    ));
    assert!(matches!(
        publish(64 << 20),
        Err(PlatformError::BodyTooLarge { .. })
    ));
}
