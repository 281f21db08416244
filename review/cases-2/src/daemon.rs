//! Daemons as processes, with the command of the deploy file.

use std::fs::OpenOptions;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::net::TcpSocket;
use tokio::process::{Child, Command};
use tokio::time::sleep;

/// One daemon; dropping it kills its process.
pub struct Daemon {
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    pub query: SocketAddr,
    readiness: SocketAddr,
    child: Option<Child>,
    descriptors: Option<u32>,
    /// Keep the ports while the process is down.
    _reserved: Vec<TcpSocket>,
}

/// The daemons of a script, which find each other through their seeds.
pub struct Fleet {
    pub daemons: Vec<Daemon>,
}

fn reserve() -> io::Result<(TcpSocket, SocketAddr)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

impl Fleet {
    /// Starts daemons with the settings of the deployment; `folder` holds their files.
    pub async fn start(count: usize, store: SocketAddr, folder: &Path) -> io::Result<Self> {
        Self::start_with(count, store, folder, None).await
    }

    /// Like [`Fleet::start`], with a limit of the descriptors of each process.
    pub async fn start_with(
        count: usize,
        store: SocketAddr,
        folder: &Path,
        descriptors: Option<u32>,
    ) -> io::Result<Self> {
        let root = std::env::current_dir()?;
        let mut ports = Vec::new();
        for _ in 0..count * 4 {
            ports.push(reserve()?);
        }
        let addresses: Vec<SocketAddr> = ports.iter().map(|(_, address)| *address).collect();
        let seeds: Vec<SocketAddr> = addresses.iter().copied().step_by(4).take(3).collect();
        let mut ports = ports.into_iter().map(|(socket, _)| socket);
        let mut daemons = Vec::new();
        for number in 0..count {
            let own = &addresses[number * 4..];
            let settings = folder.join(format!("daemon-{number}.jsonc"));
            let text = |first_start: bool| {
                json!({
                    "vm": format!("front-agadir-drying-{}", number + 1),
                    "failure_domain": "agadir-drying",
                    "region": "souss-coast",
                    "query_address": own[1],
                    "readiness_address": own[2],
                    "peer_address": own[0],
                    "operator_address": own[3],
                    "seed_addresses": seeds,
                    "first_start": first_start,
                    "store_address": store,
                    "drain_s": 3.0,
                    "shutdown_grace_s": 6.0,
                    "repeat_ratio": 0.2,
                    "repeat_window_s": 10.0,
                    "repeat_slack": 129.0,
                    "cpu_share": 0.17,
                    "cpu_speed": 1.0,
                    "memory_mb": 182,
                    "log_lines_per_s": 2000,
                })
                .to_string()
            };
            std::fs::write(&settings, text(true))?;
            let mut daemon = Daemon {
                log: folder.join(format!("daemon-{number}.log")),
                root: root.clone(),
                query: own[1],
                readiness: own[2],
                child: None,
                descriptors,
                _reserved: ports.by_ref().take(4).collect(),
                settings,
            };
            daemon.spawn()?;
            // Later starts are no first starts of the system.
            sleep(Duration::from_millis(50)).await;
            std::fs::write(&daemon.settings, text(false))?;
            daemons.push(daemon);
        }
        Ok(Self { daemons })
    }

    /// Waits until all daemons are ready; returns false after the time limit.
    pub async fn wait_until_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        for daemon in &self.daemons {
            while !daemon.is_ready().await {
                if started.elapsed() >= limit {
                    return false;
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        true
    }
}

impl Daemon {
    /// Starts the process.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let errors = log.try_clone()?;
        let program = self.root.join("target/release/medlarpind");
        let mut command = match self.descriptors {
            // The shell only sets the limit of its own process, which becomes the daemon.
            Some(descriptors) => {
                let mut command = Command::new("sh");
                let script = format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"");
                command.arg("-c").arg(script).arg(program);
                command
            }
            None => Command::new(program),
        };
        let child = command
            .arg("--platform")
            .arg(&self.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Asks the readiness endpoint as the platform does.
    pub async fn is_ready(&self) -> bool {
        let ask = async {
            let mut connection = crate::caller::CallerConnection::open(self.readiness).await?;
            let head = "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
            connection.ask(head, b"", Duration::from_secs(1)).await
        };
        ask.await.is_ok_and(|answer| answer.status == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        let id = id
            .and_then(|id| i32::try_from(id).ok())
            .and_then(Pid::from_raw);
        if let Some(id) = id {
            let _ = kill_process(id, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Returns the number of the process, if it is running.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Returns true if the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the address of the platform's readiness checks.
    pub fn readiness(&self) -> SocketAddr {
        self.readiness
    }
}

/// Returns a free folder for the files of a run.
pub fn temporary_folder(name: &str) -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("medlarpin-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
