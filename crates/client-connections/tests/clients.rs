//! Tests of the memory held for clients and of the bound on their connections.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use client_connections::{BodyError, Clients, OpenClient, PeerPlace, Room, Sockets};
use http_body_util::Full;
use medlarpin_core::client_pressure::ClientLimits;
use medlarpin_core::prelude::ManualClock;

const LIMITS: ClientLimits = ClientLimits {
    held_bytes_max: 8_000,
    connections_max: 8,
    peers_max: 2,
};

fn clients() -> (Clients, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::new());
    let held: Arc<ManualClock> = Arc::clone(&clock);
    (Clients::with_limits(LIMITS, held), clock)
}

/// Guards against memory that returns while a clone of the bytes still waits to be written.
#[tokio::test]
async fn memory_returns_with_the_last_reference() {
    let (clients, _) = clients();
    let body = Full::new(Bytes::from(vec![7; 1_000]));
    let read = clients.read(body, 2_000, None, || {}).await.unwrap();
    assert_eq!(clients.used_bytes(), 1_000);
    let queued = read.slice(900..);
    drop(read);
    assert_eq!(clients.used_bytes(), 1_000);
    drop(queued);
    assert_eq!(clients.used_bytes(), 0);
}

/// Guards against an answer that is counted twice, or not at all, when it replaces its reserved room.
#[tokio::test]
async fn answers_take_the_reserved_room_first() {
    let (clients, _) = clients();
    let check = async |reserved: usize, answer: usize, expected: usize| {
        let room = clients.reserve(reserved).await.unwrap();
        let body = Full::new(Bytes::from(vec![7; answer]));
        let read = clients.read(body, 2_000, Some(&room), || {}).await.unwrap();
        assert_eq!(clients.used_bytes(), expected, "{reserved} {answer}");
        drop(room);
        assert_eq!(clients.used_bytes(), answer, "{reserved} {answer}");
        drop(read);
        let room = clients.reserve(reserved).await.unwrap();
        let attached = room.attach(vec![7; answer]);
        assert_eq!(clients.used_bytes(), expected, "{reserved} {answer}");
        drop((room, attached));
        assert_eq!(clients.used_bytes(), 0, "{reserved} {answer}");
    };
    check(500, 200, 500).await;
    check(500, 500, 500).await;
    check(500, 1_500, 1_500).await;
    check(0, 700, 700).await;
}

/// Guards against one client that takes the memory of all others, and against denials that are not counted.
#[tokio::test]
async fn a_body_without_room_is_refused() {
    let (clients, _) = clients();
    let check = async |length: usize, expected: Result<usize, BodyError>| {
        let body = Full::new(Bytes::from(vec![7; length]));
        let read = clients.read(body, 4_000, None, || {}).await;
        assert_eq!(read.map(|bytes| bytes.len()), expected, "{length}");
        assert_eq!(clients.used_bytes(), 0);
    };
    check(2_000, Ok(2_000)).await;
    check(2_001, Err(BodyError::OutOfMemory)).await;
    check(4_001, Err(BodyError::TooLarge)).await;
    assert_eq!(clients.counts().denied, 1);
    assert!(clients.reserve(2_001).await.is_none());
    assert_eq!(clients.counts().denied, 2);
}

/// Guards against more connections than the bound, and against places that are lost when clients leave.
#[test]
fn connections_beyond_the_bound_are_refused() {
    let (clients, _) = clients();
    let mut open: Vec<OpenClient> = (0..8).filter_map(|_| clients.open()).collect();
    assert_eq!(open.len(), 8);
    assert!(clients.open().is_none());
    assert_eq!(clients.counts().connections_refused, 1);
    open.remove(3);
    assert!(clients.open().is_some());
    assert_eq!(clients.open_count(), 7);
}

/// Guards against other daemons that take all descriptors.
#[test]
fn connections_of_daemons_have_a_bound_of_their_own() {
    let (clients, _) = clients();
    let mut open: Vec<PeerPlace> = (0..3).filter_map(|_| clients.open_peer()).collect();
    assert_eq!(open.len(), 2);
    assert_eq!(clients.counts().connections_refused, 1);
    assert!(clients.open().is_some());
    open.pop();
    assert!(clients.open_peer().is_some());
}

/// Guards against a request that finds no room although slow clients hold the memory, and against clients that
/// are disconnected twice.
#[tokio::test]
async fn slow_clients_are_disconnected_for_a_new_request() {
    let (clients, clock) = clients();
    let mut slow = Vec::new();
    for _ in 0..6 {
        let open = clients.open().unwrap();
        let room = clients.reserve(800).await;
        let Some(room) = room else { break };
        open.client().sends();
        open.client().is_served();
        open.client().receives(800);
        slow.push((open, room.attach(vec![7; 800])));
    }
    assert_eq!(slow.len(), 6);
    assert!(clients.reserve(1_000).await.is_none());
    assert_eq!(clients.counts().disconnected, 0);
    clock.advance(Duration::from_secs(2));
    let tasks: Vec<_> = slow
        .into_iter()
        .map(|(open, answer)| {
            tokio::spawn(async move {
                open.client().disconnected().await;
                drop((open, answer));
            })
        })
        .collect();
    let room = clients.reserve(1_000).await;
    assert!(room.is_some());
    assert_eq!(clients.counts().disconnected, 3);
    clock.advance(Duration::from_secs(2));
    assert_eq!(clients.disconnect_slow(), 0);
    assert_eq!(clients.used_bytes(), 3 * 800 + 1_000);
    for task in tasks {
        task.abort();
    }
}

/// Guards against connections of several kinds that together take more descriptors than there are.
#[tokio::test]
async fn connections_share_descriptors() {
    let sockets = Sockets::new(2);
    let first = sockets.open().unwrap();
    let second = sockets.open().unwrap();
    assert!(sockets.are_short());
    assert!(sockets.open().is_none());
    assert_eq!(sockets.open_count(), 2);
    drop((first, second));
    assert_eq!(sockets.open_count(), 0);
    assert!(sockets.open().is_some());
}

/// Guards against a request to many leafs that is refused although there is room, and against room that is lost.
#[tokio::test]
async fn room_for_leafs_is_split_among_connections() {
    // A sixteenth is for small requests.
    let leafs = Clients::for_leafs(1_066, Arc::new(ManualClock::new()));
    let mut memory = leafs.hold();
    assert!(!memory.try_grow(1_001));
    assert!(memory.try_grow(1_000));
    let room = Room::from(memory);
    let mut part = room.split(300);
    assert_eq!((part.bytes(), leafs.used_bytes()), (300, 1_000));
    part.shrink(100);
    assert_eq!((part.bytes(), leafs.used_bytes()), (200, 900));
    let rest = room.split(5_000);
    assert_eq!(rest.bytes(), 700);
    part.merge(rest);
    assert_eq!((part.bytes(), leafs.used_bytes()), (900, 900));
    part.take(200);
    assert!(part.is_overdrawn());
    drop((part, room));
    assert_eq!(leafs.used_bytes(), 0);
}
