//! Tests of what is learned from another daemon that does not pass evacuations on, as one of an older
//! release.

use std::cell::RefCell;
use std::rc::Rc;

use capnp_rpc::rpc_twoparty_capnp::Side;
use client_connections::ClientGroups;
use medlarpin_core::prelude::{Clock, SystemClock};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use wire::peer_capnp::{published_item, route_peer};

use super::*;
use crate::peers;
use crate::test_daemon;

const LEAF: (&str, &str) = (
    "servers/a0",
    r#"{"service": "a", "address": "127.0.0.1:9", "zone": "z1", "slots": 2, "state": "ready",
    "warmupLeftMs": 0, "seq": 1, "born": 1}"#,
);
const KEY: (&str, &str) = ("op/evacuate/z1", "");

/// A daemon whose items are all at one revision.
#[derive(Debug, Clone)]
struct FakeDaemon {
    passes_evacuations: bool,
    revision: u64,
    items: &'static [(&'static str, &'static str)],
    /// Revisions from which changes were requested.
    requested: Rc<RefCell<Vec<u64>>>,
}

impl FakeDaemon {
    fn new(
        passes_evacuations: bool,
        revision: u64,
        items: &'static [(&'static str, &'static str)],
    ) -> Self {
        Self {
            passes_evacuations,
            revision,
            items,
            requested: Rc::default(),
        }
    }

    /// Accepts connections until the `LocalSet` ends.
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let daemon = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let client: route_peer::Client = capnp_rpc::new_client(daemon.clone());
                let clock: Arc<dyn Clock> = Arc::new(SystemClock);
                let clients = ClientGroups::new(64 << 20, &clock);
                let client = Some(client.client);
                spawn_local(peers::rpc_system(stream, Side::Server, client, &clients));
            }
        });
        address
    }

    fn write_items(&self, mut list: capnp::struct_list::Builder<'_, published_item::Owned>) {
        for (index, (key, value)) in (0..).zip(self.items) {
            let mut item = list.reborrow().get(index);
            item.set_key(key);
            item.set_value(value.as_bytes());
        }
    }

    fn len(&self) -> u32 {
        u32::try_from(self.items.len()).unwrap()
    }
}

impl route_peer::Server for FakeDaemon {
    async fn published_items(
        self: Rc<Self>,
        _params: route_peer::PublishedItemsParams,
        mut results: route_peer::PublishedItemsResults,
    ) -> Result<(), capnp::Error> {
        let mut reply = results.get();
        reply.set_era(1);
        reply.set_revision(self.revision);
        reply.set_passes_evacuations(self.passes_evacuations);
        self.write_items(reply.init_items(self.len()));
        Ok(())
    }

    async fn published_changes(
        self: Rc<Self>,
        params: route_peer::PublishedChangesParams,
        mut results: route_peer::PublishedChangesResults,
    ) -> Result<(), capnp::Error> {
        let since = params.get()?.get_after_revision();
        self.requested.borrow_mut().push(since);
        let mut reply = results.get();
        reply.set_era(1);
        reply.set_revision(self.revision);
        reply.set_is_whole(true);
        reply.set_passes_evacuations(self.passes_evacuations);
        self.write_items(reply.init_items(self.len()));
        Ok(())
    }
}

/// Creates the discovery of a daemon that nothing drives.
fn discovery(seeds: &[SocketAddr]) -> Discovery {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let text = format!(
        r#"{{"vm": "vm-1", "failure_domain": "z9", "region": "r1", "query_address": "127.0.0.1:0",
        "readiness_address": "127.0.0.1:0", "operator_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:7", "store_address": "127.0.0.1:9", "seed_addresses": [{}],
        "drain_s": 3, "shutdown_grace_s": 6, "repeat_ratio": 0.2, "repeat_window_s": 10,
        "repeat_slack": 10, "cpu_share": 1.0}}"#,
        seeds.join(", ")
    );
    let shared = test_daemon::shared(&text);
    Discovery::new(shared)
}

fn item((key, value): (&str, &str)) -> Item {
    Item {
        key: key.to_owned(),
        value: Some(value.as_bytes().into()),
    }
}

fn at(number: u64) -> StoreRevision {
    StoreRevision { era: 1, number }
}

fn evacuated_count(discovery: &Discovery) -> usize {
    let leafs = &discovery.shared.leafs;
    leafs.with_evacuations(|domains| domains.evacuations().len())
}

/// Guards against a daemon that takes a domain for returned, or passes over a later evacuation, because the
/// daemon that it follows leaves the keys out.
#[tokio::test]
async fn a_daemon_that_leaves_evacuations_out_is_not_followed() {
    LocalSet::new()
        .run_until(async {
            let mut discovery = discovery(&[]);
            let now = discovery.shared.now();
            discovery.apply_snapshot(vec![item(LEAF), item(KEY)], at(5), Some(now), true);
            assert_eq!(evacuated_count(&discovery), 1);

            let older = FakeDaemon::new(false, 9, &[LEAF]);
            discovery.update_from_daemon(older.start().await).await;
            assert_eq!(*older.requested.borrow(), [5]);
            assert_eq!(evacuated_count(&discovery), 1);
            let published = &discovery.shared.published_items;
            assert_eq!(published.revision(), at(5));

            let newer = FakeDaemon::new(true, 9, &[LEAF]);
            discovery.update_from_daemon(newer.start().await).await;
            assert_eq!(evacuated_count(&discovery), 0);
            assert_eq!(discovery.shared.published_items.revision(), at(9));
        })
        .await;
}

/// Guards against a daemon that starts with items that lack the keys although another daemon has them, and
/// against one that then misses the evacuations that began before, or tells others that it knows them.
#[tokio::test]
async fn items_without_evacuations_are_used_only_if_no_others_are_found() {
    LocalSet::new()
        .run_until(async {
            let older = FakeDaemon::new(false, 9, &[LEAF]);
            let mut discovery = discovery(&[older.start().await]);
            let started = Instant::now();
            let loaded = first_items::fetch_from_daemons(&discovery.shared).await;
            assert!(started.elapsed() >= first_items::COMPLETE_ITEMS_TIME);
            discovery.apply_items_of_daemon(loaded);
            assert!(discovery.shared.leafs_loaded.load(Ordering::Relaxed));
            assert!(!discovery.shared.published_items.has_evacuations());

            let newer = FakeDaemon::new(true, 9, &[LEAF, KEY]);
            discovery.update_from_daemon(newer.start().await).await;
            assert_eq!(*newer.requested.borrow(), [0]);
            assert_eq!(evacuated_count(&discovery), 1);
            assert!(discovery.shared.published_items.has_evacuations());
        })
        .await;
}
