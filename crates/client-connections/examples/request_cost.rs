//! Prints the time that the account takes for one request: its body, the room for its answer, the answer, and
//! the phases of its connection.
//!
//!     cargo run --release -p client-connections --example request_cost

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use client_connections::Clients;
use http_body_util::Full;
use medlarpin_core::prelude::SystemClock;

const REQUESTS: u32 = 500_000;
/// Other connections that are open meanwhile.
const CONNECTIONS: usize = 800;
const BODY_BYTES: usize = 200;
const ANSWER_BYTES: usize = 2_000;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let clients = Clients::new(112 << 20, Arc::new(SystemClock));
    let others: Vec<_> = (0..CONNECTIONS).filter_map(|_| clients.open()).collect();
    let (body, answer) = (
        Bytes::from(vec![7; BODY_BYTES]),
        Bytes::from(vec![7; ANSWER_BYTES]),
    );
    let open = clients.open().expect("a place");
    let started = Instant::now();
    for _ in 0..REQUESTS {
        let client = open.client();
        client.has_read().await;
        client.sends();
        let body = Full::new(body.clone());
        let read = clients.read(body, 262_144, None, || {}).await;
        client.is_served();
        let room = clients.reserve(4_096).await.expect("room");
        let answer = Full::new(answer.clone());
        let answer = clients.read(answer, 16 << 20, Some(&room), || {}).await;
        client.receives(ANSWER_BYTES);
        drop((read, room, answer));
    }
    let elapsed = started.elapsed();
    println!(
        "{} ns for a request beside {} other connections, copies of the bodies included",
        (elapsed / REQUESTS).as_nanos(),
        others.len()
    );
}
