//! TCP relay that can forward, delay, hold or cut its traffic, to simulate network faults.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// How a relay treats its traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// Forwards in both directions.
    Forward,
    /// Forwards each chunk after this delay.
    Delay(Duration),
    /// Accepts and keeps connections, but forwards nothing.
    Hold,
    /// Closes open and new connections.
    Cut,
}

/// A running relay; dropping it closes its port and its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    traffic: watch::Sender<Traffic>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to the target on a port of its own.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let traffic = watch::Sender::new(Traffic::Forward);
        let task = tokio::spawn(accept(listener, target, traffic.subscribe()));
        Ok(Self {
            address,
            traffic,
            task,
        })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes open connections, and new ones once they are accepted.
    pub fn cut(&self) {
        self.set(Traffic::Cut);
    }

    /// Resumes forwarding, including traffic held back until now.
    pub fn heal(&self) {
        self.set(Traffic::Forward);
    }

    /// Delays each chunk in both directions.
    pub fn delay(&self, delay: Duration) {
        self.set(Traffic::Delay(delay));
    }

    /// Keeps connections open but forwards nothing, like a network that drops packets.
    pub fn hold(&self) {
        self.set(Traffic::Hold);
    }

    fn set(&self, traffic: Traffic) {
        self.traffic.send_replace(traffic);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, traffic: watch::Receiver<Traffic>) {
    // Owned by this task, so that aborting it closes the connections.
    let mut connections = JoinSet::new();
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            connections.spawn(relay(stream, target, traffic.clone()));
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Relays one connection until both directions are closed, the target refuses it or the relay is
/// cut.
async fn relay(near: TcpStream, target: SocketAddr, mut traffic: watch::Receiver<Traffic>) {
    let mut cut = traffic.clone();
    let forward = async {
        if traffic
            .wait_for(|traffic| *traffic != Traffic::Hold)
            .await
            .is_err()
        {
            return;
        }
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        // These fail only on a closed connection, which the copies below detect.
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::join!(
            copy(near_read, far_write, traffic.clone()),
            copy(far_read, near_write, traffic.clone()),
        );
    };
    tokio::select! {
        biased;
        _ = cut.wait_for(|traffic| *traffic == Traffic::Cut) => {}
        () = forward => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut traffic: watch::Receiver<Traffic>,
) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(size) = from.read(&mut buffer).await {
        let current = match traffic.wait_for(|traffic| *traffic != Traffic::Hold).await {
            Ok(current) => *current,
            Err(_) => return,
        };
        if let Traffic::Delay(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if size == 0 {
            // Half-closes the other side; this fails only if it is already closed.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}
