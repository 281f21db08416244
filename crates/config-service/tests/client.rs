//! Guards against platform responses that are misread, not validated or waited for too long.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::{StatusCode, Uri};
use axum::response::IntoResponse;
use config_service::prelude::*;
use medlarpin_core::prelude::{Revision, VmName, VmState};

const TREE: &str = r#"{"revision": 7, "subtrees": {"teams/b": "{}", "teams/a": "{}"}, "new": 1}"#;
const VMS: &str = r#"{"revision": 3, "vms": [{"name": "vm-2", "rpc_address": "127.0.0.1:1",
    "failure_domain": "warmia-1", "region": "warmia", "state": "leaving"}]}"#;

/// Starts a replica that answers each request with what `answer` returns for its URI.
async fn replica<R: IntoResponse + 'static>(answer: fn(&str) -> R) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let app = Router::new().fallback(async move |uri: Uri| answer(&uri.to_string()));
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

/// Returns an address on which nothing listens.
async fn closed_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Answers as the protocol says: 204 to a watch above revision 7, otherwise the tree.
fn healthy(uri: &str) -> axum::response::Response {
    match uri {
        "/v1/settings" | "/v1/settings?after=6&wait_ms=50" => TREE.into_response(),
        "/v1/settings?after=7&wait_ms=50" => StatusCode::NO_CONTENT.into_response(),
        "/v1/vms" => VMS.into_response(),
        _ => StatusCode::NOT_FOUND.into_response(),
    }
}

const WAIT: Duration = Duration::from_millis(50);

/// Guards against a watch that requests the wrong revision, or that does not return `None` when its
/// wait has passed.
#[tokio::test]
async fn reads_the_tree_and_the_list() {
    let client = PlatformClient::new(vec![replica(healthy).await]);
    let tree = client.fetch_settings(None, WAIT).await.unwrap().unwrap();
    assert_eq!(tree.revision, Revision(7));
    assert_eq!(tree.texts[0], ("teams/a".to_owned(), "{}".to_owned()));
    assert_eq!(
        client
            .fetch_settings(Some(Revision(6)), WAIT)
            .await
            .unwrap(),
        Some(tree)
    );
    assert_eq!(
        client
            .fetch_settings(Some(Revision(7)), WAIT)
            .await
            .unwrap(),
        None
    );
    let list = client.fetch_vm_list().await.unwrap();
    assert_eq!(
        list.get(&VmName::new("vm-2")).unwrap().state,
        VmState::Leaving
    );
    assert_eq!(client.request_count(), 4);
}

/// Guards against trying an unreachable replica first on every call.
#[tokio::test]
async fn last_working_replica_is_tried_first() {
    let addresses = vec![closed_address().await, replica(healthy).await];
    let client = PlatformClient::new(addresses);
    client.fetch_vm_list().await.unwrap();
    assert_eq!(client.request_count(), 2);
    client.fetch_vm_list().await.unwrap();
    assert_eq!(client.request_count(), 3);
}

async fn check_failure<R: IntoResponse + 'static>(answer: fn(&str) -> R, expected: &str) {
    let address = replica(answer).await;
    let client = PlatformClient::new(vec![address]);
    let error = match client.fetch_settings(Some(Revision(9)), WAIT).await {
        Ok(tree) => panic!("accepted {tree:?}"),
        Err(error) => error.to_string(),
    };
    assert_eq!(error.replace(&address.to_string(), "ADDRESS"), expected);
}

/// Guards against invalid responses that are accepted or reported with the wrong error.
#[tokio::test]
async fn invalid_responses_give_specific_errors() {
    check_failure(
        |_| StatusCode::BAD_GATEWAY,
        "platform ADDRESS answered with status 502",
    )
    .await;
    check_failure(|_| "[]", "body from platform ADDRESS does not follow the protocol: invalid length 0, expected struct TreeBody with 2 elements at line 1 column 2").await;
    check_failure(
        |_| TREE,
        "platform ADDRESS published revision 7, which is not above 9",
    )
    .await;
    check_failure(
        |_| Body::from(vec![b' '; (64 << 20) + 1]),
        "body from platform ADDRESS exceeds 67108864 bytes",
    )
    .await;
    let client = PlatformClient::new(vec![
        replica(|_| VMS.replace("127.0.0.1:1", "0.0.0.0:1")).await,
    ]);
    assert!(matches!(
        client.fetch_vm_list().await,
        Err(PlatformError::InvalidVm {
            field: "rpc_address",
            ..
        })
    ));
    let client = PlatformClient::new(vec![closed_address().await, closed_address().await]);
    assert!(matches!(
        client.fetch_vm_list().await,
        Err(PlatformError::AllFailed { count: 2, .. })
    ));
}

/// Guards against waiting without limit for a replica that accepts a connection and never answers.
#[tokio::test]
async fn silent_replica_times_out() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = PlatformClient::new(vec![listener.local_addr().unwrap()]);
    let error = client.fetch_vm_list().await.unwrap_err();
    assert!(
        matches!(error, PlatformError::Timeout { limit, .. } if limit == Duration::from_secs(2)),
        "{error}"
    );
}

/// Guards against futures that cannot be spawned on a multi-threaded runtime.
#[test]
fn futures_are_send() {
    fn require_send<T: Send>(_future: T) {}
    let client = PlatformClient::new(Vec::new());
    require_send(client.fetch_settings(None, WAIT));
    require_send(client.fetch_vm_list());
}
