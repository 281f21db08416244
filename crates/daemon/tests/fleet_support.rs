//! Tests of the fleet harness itself: relays, reserved ports and logs.

mod fleet;

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fleet::Fleet;
use crate::fleet::config::FleetConfig;
use crate::fleet::process::Ports;
use crate::fleet::relay::Relay;

/// Guards against a relay that forwards traffic during a partition, which would make the partition
/// tests meaningless.
#[tokio::test]
async fn relay_follows_its_traffic_mode() {
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

/// Guards against a port reservation that keeps the daemon from binding its port, or that accepts
/// connections while the daemon is down.
#[tokio::test]
async fn a_reserved_port_refuses_connections_until_it_is_served() {
    let ports = Ports::reserve().unwrap();
    for _ in 0..2 {
        let refused = TcpStream::connect(ports.rpc).await;
        assert_eq!(
            refused.map_err(|error| error.kind()).err(),
            Some(std::io::ErrorKind::ConnectionRefused)
        );
        let daemon = TcpListener::bind(ports.rpc).await.unwrap();
        let (caller, accepted) = tokio::join!(TcpStream::connect(ports.rpc), daemon.accept());
        drop((caller.unwrap(), accepted.unwrap(), daemon));
    }
}

/// Guards against logs that are removed after a failure because another thread than the one that
/// panicked was the last owner of the fleet.
#[tokio::test]
async fn logs_are_kept_after_a_panic_on_another_thread() {
    let fleet = Fleet::prepare(FleetConfig::new()).await;
    let directory = fleet.directory().to_owned();
    let panicked = std::thread::spawn(|| panic!("a test fails on this thread")).join();
    assert!(panicked.is_err());
    drop(fleet);
    assert!(directory.exists());
    std::fs::remove_dir_all(directory).unwrap();
}
