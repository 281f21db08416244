//! Tests of messages of other daemons that take memory before they arrive.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use client_connections::Clients;
use medlarpin_core::prelude::SystemClock;
use peer_rpc::{Endpoint, Framing, FramingError};
use tokio::io::{AsyncWriteExt, DuplexStream, duplex};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

const MEMORY_BYTES: usize = 8_000;
/// Far longer than a step takes.
const SOON: Duration = Duration::from_millis(500);

fn table(words: &[u32]) -> Vec<u8> {
    let count = u32::try_from(words.len()).unwrap() - 1;
    let numbers = std::iter::once(&count).chain(words);
    let mut table: Vec<u8> = numbers.flat_map(|number| number.to_le_bytes()).collect();
    table.resize(table.len().next_multiple_of(8), 0);
    table
}

/// Guards against tables whose length or whose segments are misread, which would take other bytes for a table.
#[test]
fn segment_tables_state_their_length_and_that_of_the_body() {
    let check = |words: &[u32], body_bytes: usize| {
        let table = table(words);
        let mut framing = Framing::default();
        for byte in &table {
            assert!(framing.missing_bytes().unwrap() > 0, "{words:?}");
            framing.push(&[*byte]);
        }
        assert_eq!(framing.missing_bytes(), Ok(0), "{words:?}");
        assert_eq!(framing.body_bytes(), body_bytes, "{words:?}");
    };
    check(&[0], 0);
    check(&[1], 8);
    check(&[1_000_000], 8_000_000);
    check(&[3, 4], 56);
    check(&[3, 4, 5], 96);
    check(&[3, 4, 5, 6], 144);
    check(&[2; 511], 511 * 16);
    check(&[u32::MAX; 3], 3 * 8 * 0xffff_ffff);
    let check_invalid = |first: u32, count: u32| {
        let mut framing = Framing::default();
        framing.push(&first.to_le_bytes());
        assert_eq!(
            framing.missing_bytes(),
            Err(FramingError::SegmentCount(count))
        );
    };
    check_invalid(u32::MAX, 0);
    check_invalid(511, 512);
    check_invalid(0x7878_7878, 0x7878_7879);
}

fn messages() -> Clients {
    Clients::for_messages(MEMORY_BYTES, Arc::new(SystemClock))
}

/// Starts the accepting side of a connection; returns the other end.
fn accept(messages: &Clients) -> DuplexStream {
    let (ours, theirs) = duplex(1_000);
    let endpoint = Endpoint {
        stream: ours,
        side: Side::Server,
        options: ReaderOptions::default(),
    };
    tokio::task::spawn_local(endpoint.into_rpc_system(None, messages));
    theirs
}

async fn wait_for_use(messages: &Clients, expected_bytes: usize) {
    let changed = async {
        while messages.used_bytes() != expected_bytes {
            sleep(Duration::from_millis(1)).await;
        }
    };
    let changed = timeout(SOON, changed).await;
    assert!(
        changed.is_ok(),
        "{} for {expected_bytes}",
        messages.used_bytes()
    );
}

/// Guards against memory for a message that is taken late, twice, or not returned.
#[tokio::test(start_paused = true)]
async fn announced_bytes_take_memory_until_the_connection_ends() {
    let local = LocalSet::new();
    let run = async {
        let messages = messages();
        let mut first = accept(&messages);
        first.write_all(&table(&[250])[..7]).await.unwrap();
        wait_for_use(&messages, 0).await;
        first.write_all(&table(&[250])[7..]).await.unwrap();
        wait_for_use(&messages, 2_008).await;
        // Half of the free memory is less than the second message.
        let mut second = accept(&messages);
        second.write_all(&table(&[400])).await.unwrap();
        let mut third = accept(&messages);
        third.write_all(&table(&[100])).await.unwrap();
        wait_for_use(&messages, 2_008 + 808).await;
        drop(first);
        wait_for_use(&messages, 3_208 + 808).await;
        drop((second, third));
        wait_for_use(&messages, 0).await;
    };
    local.run_until(run).await;
}

/// Guards against a message that can never have memory, and one that does not arrive, which keep theirs.
#[tokio::test(start_paused = true)]
async fn messages_that_cannot_be_read_end_the_connection() {
    let local = LocalSet::new();
    let check = async |bytes: &[u8], held_bytes: usize, limit: Duration| {
        let messages = messages();
        let mut stream = accept(&messages);
        stream.write_all(bytes).await.unwrap();
        wait_for_use(&messages, held_bytes).await;
        let mut closed = pin!(async {
            while stream.write_all(&[]).await.is_ok() && stream.write_u8(0).await.is_ok() {
                sleep(Duration::from_millis(200)).await;
            }
        });
        let is_closed = timeout(limit, closed.as_mut()).await;
        assert!(is_closed.is_ok(), "{bytes:?}");
        wait_for_use(&messages, 0).await;
        assert_eq!(messages.counts().denied, 1, "{bytes:?}");
    };
    let run = async {
        check(&table(&[501]), 0, SOON).await;
        check(&table(&[400]), 3_208, Duration::from_secs(4)).await;
        check(&table(&[400])[..5], 0, Duration::from_secs(4)).await;
    };
    local.run_until(run).await;
}
