use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;
use crate::leaf_probe::check_health;
use crate::test_daemon::{self, SETTINGS};

/// A daemon with a leaf that accepts connections and sends nothing.
struct Fixture {
    shared: Arc<Shared>,
    leaf: Arc<Leaf>,
    listener: TcpListener,
}

impl Fixture {
    async fn start() -> Self {
        let shared = test_daemon::shared(SETTINGS);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (leaf, _) = test_daemon::publish_leaf(&shared, address);
        Self {
            shared,
            leaf,
            listener,
        }
    }

    /// Opens as many connections as a leaf of an unlisted service has places for, and lets them be idle.
    async fn fill_pool(&self) -> u32 {
        let connections_max = self.shared.connections_max(&self.leaf.entry.service);
        let mut open = Vec::new();
        while let Ok(connection) = self.leaf.open_new(connections_max, &self.shared).await {
            open.push(connection);
        }
        assert!(!self.leaf.has_connection_capacity(connections_max));
        let now = self.shared.now();
        for connection in open {
            self.leaf.release(connection, None, now);
        }
        assert_eq!(self.leaf.open_connections(), connections_max);
        connections_max
    }
}

/// Guards against a leaf that gets no requests because its idle connections have just been closed, for memory or
/// for another reason: their tasks run later.
#[tokio::test]
async fn connections_that_the_pool_closes_leave_their_places() {
    let closings: [fn(&Fixture); 3] = [
        |fixture| {
            // Closes half of them at a time.
            fixture.shared.leafs.close_longest_idle();
            fixture.shared.leafs.close_longest_idle();
        },
        |fixture| {
            let later = fixture.shared.now() + IDLE_USE_DEFAULT;
            fixture.leaf.close_expired_idle(later);
        },
        |fixture| fixture.leaf.close_idle(),
    ];
    for close in closings {
        let fixture = Fixture::start().await;
        let leaf = &fixture.leaf;
        let connections_max = fixture.fill_pool().await;
        close(&fixture);
        assert!(leaf.has_connection_capacity(connections_max));
        assert_eq!(leaf.open_connections(), 0);
        let opened = leaf.open_new(connections_max, &fixture.shared).await;
        let _connection = opened.unwrap();
        // The tasks of the others have ended meanwhile, and do not return their places again.
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(leaf.open_connections(), 1);
    }
}

/// Guards against a connection that is reused without a place, and against one that keeps its place when the leaf
/// closes it.
#[tokio::test]
async fn connections_in_use_keep_their_places() {
    let fixture = Fixture::start().await;
    let leaf = &fixture.leaf;
    let connections_max = fixture.fill_pool().await;
    let mut used = Vec::new();
    for request in 0..connections_max {
        let acquired = leaf
            .acquire(request.into(), connections_max, false, &fixture.shared)
            .await;
        used.push(acquired.unwrap());
    }
    assert!(used.iter().all(|connection| connection.is_reused));
    assert_eq!(leaf.open_connections(), connections_max);
    let opened = leaf.open_new(connections_max, &fixture.shared).await;
    assert_eq!(opened.err(), Some(LeafFailure::ConnectionLimit));

    for _ in 0..connections_max {
        drop(fixture.listener.accept().await.unwrap());
    }
    for _ in 0..100 {
        if leaf.open_connections() == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{} connections", leaf.open_connections());
}

/// Guards against a leaf that counts as reachable by a health check whose status no answer has.
#[tokio::test]
async fn health_checks_have_statuses_of_answers() {
    let check = async |status: u16, is_answered: bool| {
        let fixture = Fixture::start().await;
        let connection = fixture.leaf.open_new(1, &fixture.shared).await.unwrap();
        let answer = async {
            let (mut stream, _) = fixture.listener.accept().await.unwrap();
            let mut head = [0; 1_024];
            assert!(stream.read(&mut head).await.unwrap() > 0);
            let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(text.as_bytes()).await.unwrap();
            stream
        };
        let health = check_health(&fixture.shared, &fixture.leaf, connection);
        let (health, _stream) = tokio::join!(health, answer);
        assert_eq!(health.is_some(), is_answered, "{status}");
    };
    for status in [200, 404, 503, 599] {
        check(status, true).await;
    }
    for status in [101, 600, 999] {
        check(status, false).await;
    }
}
