//! Crowds of slow clients, and the memory and descriptors of the process that they use.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

pub mod fixture;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Tests of a file run one at a time, since each loads the machine.
pub static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
/// Time for which a crowd stays connected while the process is watched.
pub const HOLD_TIME: Duration = Duration::from_secs(8);
/// Far longer than an ordinary request takes, so that a busy machine fails no test.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Receive buffer of the clients; the kernel doubles it.
const RECEIVE_BUFFER_BYTES: u32 = 2_048;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for opening a connection of a crowd, whose listener may have a full queue.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// What a client of a crowd does after it has sent its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// Reads nothing.
    Never,
    /// Reads a byte each second.
    ByteEachSecond,
    /// Closes its sending direction and reads nothing.
    HalfClosed,
}

/// What each client of a crowd sends.
#[derive(Debug, Clone)]
pub struct Script {
    /// Sent at once.
    pub start: Arc<[u8]>,
    /// Sent again and again after `start`, as fast as the process reads it.
    pub repeated: Arc<[u8]>,
    /// Sent at one byte per second after the rest.
    pub trickles: bool,
    pub reading: Reading,
    /// Time after which the client resets its connection and opens another one; `None` if it stays.
    pub returns_after: Option<Duration>,
}

impl Script {
    /// Sends the bytes once and reads nothing.
    pub fn once(start: &str) -> Self {
        Self {
            start: start.as_bytes().into(),
            repeated: Arc::from([]),
            trickles: false,
            reading: Reading::Never,
            returns_after: None,
        }
    }

    /// Sends the bytes again and again and reads nothing.
    pub fn pipelined(request: &str) -> Self {
        Self {
            repeated: request.repeat(50).into_bytes().into(),
            ..Self::once("")
        }
    }
}

/// Connected clients; dropping it closes their connections.
#[derive(Debug)]
pub struct Crowd {
    clients: JoinSet<()>,
    connected: Arc<AtomicU64>,
}

impl Crowd {
    /// Starts the clients, all of which follow the script.
    pub fn start(address: SocketAddr, clients: usize, script: &Script) -> Self {
        let mut crowd = Self {
            clients: JoinSet::new(),
            connected: Arc::default(),
        };
        for _ in 0..clients {
            let (script, connected) = (script.clone(), Arc::clone(&crowd.connected));
            crowd.clients.spawn(async move {
                loop {
                    if let Some(stream) = connect(address).await {
                        connected.fetch_add(1, Ordering::Relaxed);
                        let Some(stay) = script.returns_after else {
                            return play(stream, &script).await;
                        };
                        // With unread bytes, the closed connection is reset.
                        let _ = timeout(stay, play(stream, &script)).await;
                    } else if script.returns_after.is_none() {
                        return;
                    }
                }
            });
        }
        crowd
    }

    /// Returns the number of clients that got a connection.
    pub fn connected(&self) -> u64 {
        self.connected.load(Ordering::Relaxed)
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    timeout(CONNECT_TIMEOUT, socket.connect(address))
        .await
        .ok()?
        .ok()
}

/// Plays the script; the connection stays open until the task is aborted, even if the process has closed
/// its side.
async fn play(stream: TcpStream, script: &Script) {
    let (mut reader, mut writer) = stream.into_split();
    let sending = async {
        writer.write_all(&script.start).await?;
        while !script.repeated.is_empty() {
            writer.write_all(&script.repeated).await?;
        }
        if script.reading == Reading::HalfClosed {
            writer.shutdown().await?;
        }
        if script.trickles {
            loop {
                sleep(Duration::from_secs(1)).await;
                writer.write_all(b"x").await?;
            }
        }
        std::io::Result::Ok(())
    };
    let reading = async {
        while script.reading == Reading::ByteEachSecond && reader.read_u8().await.is_ok() {
            sleep(Duration::from_secs(1)).await;
        }
    };
    let _ = tokio::join!(sending, reading);
    std::future::pending::<()>().await;
}

/// The largest use of a process while it was watched.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    pub resident_kb: u64,
    pub descriptors: usize,
}

impl Usage {
    /// Reads the present use; `None` if the process has ended.
    pub fn read(process: u32) -> Option<Self> {
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?;
        Some(Self {
            resident_kb: line.split_whitespace().next()?.parse().ok()?,
            descriptors: descriptors.count(),
        })
    }
}

/// Bounds of the use of a process.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub resident_mb: u64,
    pub descriptors: usize,
}

/// Returns the time for which a crowd is watched: `CROWD_HOLD_S` seconds if it is set, for long runs by hand.
fn hold_time() -> Duration {
    let seconds = std::env::var("CROWD_HOLD_S").ok();
    let seconds = seconds.and_then(|seconds| seconds.parse().ok());
    seconds.map_or(HOLD_TIME, Duration::from_secs)
}

/// Watches a process while the crowd is connected, and prints and checks its largest use.
pub async fn watch(name: &str, process: u32, crowd: &Crowd, bounds: Bounds) {
    let before = Usage::read(process).expect("the process runs");
    let mut peak = before;
    let until = Instant::now() + hold_time();
    while Instant::now() < until {
        let Some(usage) = Usage::read(process) else {
            panic!("{name}: the process has ended, last use {peak:?}");
        };
        peak.resident_kb = peak.resident_kb.max(usage.resident_kb);
        peak.descriptors = peak.descriptors.max(usage.descriptors);
        sleep(SAMPLE_INTERVAL).await;
    }
    println!(
        "{name}: {} connected, resident {} -> {} KB, descriptors {} -> {}",
        crowd.connected(),
        before.resident_kb,
        peak.resident_kb,
        before.descriptors,
        peak.descriptors,
    );
    assert!(
        peak.resident_kb <= bounds.resident_mb << 10,
        "{name}: {} KB resident, {} MB allowed",
        peak.resident_kb,
        bounds.resident_mb
    );
    assert!(
        peak.descriptors <= bounds.descriptors,
        "{name}: {} descriptors, {} allowed",
        peak.descriptors,
        bounds.descriptors
    );
}

/// Repeats a request until it is answered, which it must be while the crowd is still connected.
pub async fn check_served(name: &str, mut is_answered: impl AsyncFnMut() -> bool) {
    let served = async {
        while !is_answered().await {
            sleep(Duration::from_millis(100)).await;
        }
    };
    let result = timeout(WAIT_LIMIT, served).await;
    assert!(result.is_ok(), "{name}: no ordinary request is answered");
}
