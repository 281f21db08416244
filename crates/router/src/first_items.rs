//! Loads the published items from other daemons while the store does not answer a daemon that starts.

use std::net::SocketAddr;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use medlarpin_core::routing::StoreRevision;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::event::Event;
use crate::peers::{self, FetchedItems};
use crate::shared::Shared;

/// Time that the store has before other daemons are asked. It answers within milliseconds, but its
/// items take a quarter of a second on the link and the processor of a small VM.
const STORE_HEAD_START: Duration = Duration::from_millis(400);
/// Interval at which a further daemon is asked. After the restart of a fleet, many daemons are not
/// reachable yet or have no items.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of daemons that are asked at a time. Several that answer together share the link of
/// this VM.
const ASKED_MAX: usize = 3;

/// Time for which a daemon that passes evacuations on is looked for, before the items of one of an older
/// release are used. Without its keys, an evacuated failure domain would get requests.
pub(crate) const COMPLETE_ITEMS_TIME: Duration = Duration::from_secs(3);

/// All items that another daemon knows.
#[derive(Debug)]
pub(crate) struct ItemsOfDaemon {
    pub(crate) daemon: SocketAddr,
    pub(crate) fetched: FetchedItems,
}

/// Asks other daemons until one has the items.
pub(crate) async fn fetch_from_daemons(shared: &Shared) -> ItemsOfDaemon {
    let incomplete_from = shared.now() + COMPLETE_ITEMS_TIME;
    sleep(STORE_HEAD_START).await;
    let mut asks = interval(ASK_INTERVAL);
    asks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut asked = FuturesUnordered::new();
    loop {
        tokio::select! {
            biased;
            Some(answer) = asked.next(), if !asked.is_empty() => {
                let answer: Option<ItemsOfDaemon> = answer;
                let is_usable = |items: &ItemsOfDaemon| {
                    items.fetched.has_evacuations || shared.now() >= incomplete_from
                };
                if let Some(items) = answer.filter(is_usable) {
                    return items;
                }
            }
            _ = asks.tick() => if asked.len() < ASKED_MAX
                && let Some(daemon) = peers::next_peer(shared)
            {
                asked.push(fetch(shared, daemon));
            },
        }
    }
}

/// Fetches the items of a daemon; `None` if it cannot be reached or has none yet.
async fn fetch(shared: &Shared, daemon: SocketAddr) -> Option<ItemsOfDaemon> {
    match peers::fetch_items(shared, daemon).await {
        Ok(fetched) if fetched.revision > StoreRevision::default() => {
            if !fetched.has_evacuations {
                Event::DaemonLacksEvacuations { daemon }.log();
            }
            Some(ItemsOfDaemon { daemon, fetched })
        }
        Ok(_) => None,
        Err(error) => {
            Event::DaemonUnreachable {
                daemon,
                error: &error,
            }
            .log();
            None
        }
    }
}
