//! The relay of the fleet tests cuts, holds and heals as its users rely on.

mod fleet;

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fleet::relay::Relay;

/// Guards against a relay that lets traffic through a partition, which would void those tests.
#[tokio::test]
async fn traffic_follows_the_mode() {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = Relay::start(target.local_addr().unwrap()).await.unwrap();
    let mut near = TcpStream::connect(relay.address()).await.unwrap();
    let (mut far, _) = target.accept().await.unwrap();
    let mut byte = [0];

    near.write_all(b"a").await.unwrap();
    far.read_exact(&mut byte).await.unwrap();
    assert_eq!(&byte, b"a");

    relay.hold();
    near.write_all(b"b").await.unwrap();
    let held = tokio::time::timeout(Duration::from_millis(50), far.read_exact(&mut byte)).await;
    assert!(held.ok().is_none(), "held traffic arrived");

    relay.heal();
    far.read_exact(&mut byte).await.unwrap();
    assert_eq!(&byte, b"b");

    relay.cut();
    assert_eq!(near.read(&mut byte).await.unwrap_or(0), 0);
    let mut refused = TcpStream::connect(relay.address()).await.unwrap();
    assert_eq!(refused.read(&mut byte).await.unwrap_or(0), 0);
}
