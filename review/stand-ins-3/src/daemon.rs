use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use stand_ins::server::reserve_port;
use tokio::net::TcpSocket;
use tokio::process::{Child, Command};
use tokio::time::sleep;

use crate::client::ask;

/// Time within which a daemon has to become ready.
const READY_WAIT: Duration = Duration::from_secs(15);

/// Addresses of a daemon.
#[derive(Debug, Clone, Copy)]
pub struct DaemonSettings {
    /// Address for callers.
    pub query: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
    operator: SocketAddr,
}

impl DaemonSettings {
    /// Finds free ports, which stay reserved while the sockets exist.
    fn reserve() -> io::Result<(Self, Vec<TcpSocket>)> {
        let mut sockets = Vec::new();
        let mut reserve = || {
            let (socket, address) = reserve_port()?;
            sockets.push(socket);
            io::Result::Ok(address)
        };
        let settings = Self {
            query: reserve()?,
            readiness: reserve()?,
            peer: reserve()?,
            operator: reserve()?,
        };
        Ok((settings, sockets))
    }
}

/// A daemon in a process of its own; dropping it kills the process.
#[derive(Debug)]
pub struct Daemon {
    /// Its addresses.
    pub addresses: DaemonSettings,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Keep other processes from taking the ports while the daemon does not listen on them.
    _reserved: Vec<TcpSocket>,
}

impl Daemon {
    /// Starts the program with the arguments of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--platform")
            .arg(&self.settings)
            .env("MEDLARPIN_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the process id; `None` if it does not run.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let raw = self.pid().and_then(|pid| i32::try_from(pid).ok());
        let pid = raw.and_then(Pid::from_raw);
        let pid = pid.ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) -> io::Result<()> {
        match self.child.take() {
            Some(mut child) => child.kill().await,
            None => Ok(()),
        }
    }

    /// Waits until the process has ended by itself or by a signal.
    pub async fn wait(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.wait().await?;
        }
        Ok(())
    }

    /// Returns true if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

/// Daemons that know each other.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons.
    pub daemons: Vec<Daemon>,
}

impl Fleet {
    /// Writes the settings of daemons and starts their processes. `change` may change the settings of each.
    pub fn start(
        count: usize,
        program: &Path,
        folder: &Path,
        store: SocketAddr,
        change: impl Fn(usize, &DaemonSettings, &mut Value),
    ) -> io::Result<Self> {
        let addresses: Vec<(DaemonSettings, Vec<TcpSocket>)> = (0..count)
            .map(|_| DaemonSettings::reserve())
            .collect::<io::Result<_>>()?;
        let seeds = addresses.iter().take(3).map(|(known, _)| known.peer);
        let seeds: Vec<SocketAddr> = seeds.collect();
        let mut daemons = Vec::new();
        for (number, (known, reserved)) in addresses.into_iter().enumerate() {
            // Bounds and sizes of a small site; what the settings template renders from its fields.
            let mut settings = json!({
                "vm": format!("front-{number}"), "failure_domain": "z1", "region": "r1",
                "query_address": known.query, "readiness_address": known.readiness,
                "peer_address": known.peer, "operator_address": known.operator,
                "seed_addresses": seeds, "first_start": true, "store_address": store,
                "drain_s": 3.0, "shutdown_grace_s": 6, "repeat_ratio": 0.2, "repeat_window_s": 10,
                "repeat_slack": 129, "cpu_share": 0.17, "cpu_speed": 1, "memory_mb": 182,
            });
            change(number, &known, &mut settings);
            let path = folder.join(format!("daemon-{number}.jsonc"));
            std::fs::write(&path, settings.to_string())?;
            let mut daemon = Daemon {
                addresses: known,
                program: program.to_owned(),
                settings: path,
                log: folder.join(format!("daemon-{number}.log")),
                child: None,
                _reserved: reserved,
            };
            daemon.start()?;
            daemons.push(daemon);
        }
        Ok(Self { daemons })
    }

    /// Waits until all daemons are ready; returns false if one is not in time.
    pub async fn wait_until_ready(&self) -> bool {
        for daemon in &self.daemons {
            if !wait_until_ready(daemon).await {
                return false;
            }
        }
        true
    }
}

/// Waits until a daemon is ready; returns false if it is not in time.
pub async fn wait_until_ready(daemon: &Daemon) -> bool {
    let started = Instant::now();
    while started.elapsed() < READY_WAIT {
        let answer = ask(
            daemon.addresses.readiness,
            "GET",
            "/api/ready",
            "-",
            500,
            b"",
        )
        .await;
        if answer.status == 200 {
            return true;
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}
