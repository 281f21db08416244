//! Tests of the streams over which clients and daemons read.

use std::sync::Arc;
use std::time::Duration;

use client_connections::{ClientStream, Clients, PeerStream};
use medlarpin_core::prelude::SystemClock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Far longer than anything that the tests wait for.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap());
    let (near, far) = tokio::join!(near, listener.accept());
    (near.unwrap(), far.unwrap().0)
}

fn clients() -> Clients {
    Clients::new(64 << 20, Arc::new(SystemClock))
}

/// Guards against answers that are begun while earlier ones wait, and against a client that waits for ever
/// after it has read them.
#[tokio::test]
async fn the_next_answer_waits_until_the_earlier_ones_are_read() {
    let clients = clients();
    let open = clients.open().unwrap();
    let (near, mut far) = connection().await;
    let mut stream = ClientStream::new(near, open.client().clone());
    open.client().has_read().await;
    let writer = tokio::spawn(async move {
        let written = stream.write_all(&vec![7; 32 << 20]).await;
        (written, stream.flush().await)
    });
    // Not read: the kernel's buffers are full at some time.
    let client = open.client().clone();
    let blocked = async {
        while timeout(Duration::from_millis(1), client.has_read())
            .await
            .is_ok()
        {
            tokio::task::yield_now().await;
        }
    };
    timeout(WAIT_LIMIT, blocked).await.expect("a blocked write");
    let reader = tokio::spawn(async move {
        let mut buffer = vec![0; 1 << 16];
        while far.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
    });
    let has_read = timeout(WAIT_LIMIT, open.client().has_read()).await;
    has_read.expect("the client has read");
    let (written, flushed) = writer.await.unwrap();
    written.unwrap();
    flushed.unwrap();
    reader.await.unwrap();
}

/// Guards against another daemon that keeps results in memory by not reading them, and against memory that does
/// not return.
#[tokio::test]
async fn a_daemon_that_reads_nothing_is_disconnected() {
    let clients = clients();
    let (near, far) = connection().await;
    let mut stream = PeerStream::new(near, clients.open_peer().unwrap());
    let results = stream.results();
    assert!(results.try_hold(1 << 20));
    let written = timeout(WAIT_LIMIT, stream.write_all(&vec![7; 32 << 20])).await;
    let error = written.expect("the connection fails").unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
    drop((stream, results));
    assert_eq!(clients.used_bytes(), 0);
    drop(far);
}

/// Guards against memory of results that returns too early or never.
#[tokio::test]
async fn memory_of_results_returns_as_they_are_written() {
    let clients = clients();
    let (near, mut far) = connection().await;
    let mut stream = PeerStream::new(near, clients.open_peer().unwrap());
    let results = stream.results();
    let room = results.reserve(1_000).unwrap();
    room.fill(600);
    assert_eq!(clients.used_bytes(), 600);
    stream.write_all(&[7; 400]).await.unwrap();
    assert_eq!(clients.used_bytes(), 200);
    drop(results.reserve(1_000));
    assert_eq!(clients.used_bytes(), 200);
    results.reserve(100).unwrap().fill(500);
    assert_eq!(clients.used_bytes(), 700);
    stream.write_all(&[7; 900]).await.unwrap();
    assert_eq!(clients.used_bytes(), 0);
    let mut read = [0; 1_300];
    far.read_exact(&mut read).await.unwrap();
}
