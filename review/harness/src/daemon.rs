use std::fs::OpenOptions;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::json;
use stand_ins::server::reserve_port;
use tokio::net::TcpSocket;
use tokio::process::{Child, Command};
use tokio::time::sleep;

use crate::caller::ask;

/// The program that the deploy file starts, relative to the repository.
const PROGRAM: &str = "target/release/medlarpind";
/// Time within which a daemon has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Descriptors of a process on the platform's small machines.
const DESCRIPTORS_MAX: u64 = 2_870;

/// A daemon in a process of its own; it keeps its addresses across restarts.
#[derive(Debug)]
pub struct Daemon {
    settings: PathBuf,
    log: PathBuf,
    /// Address for callers.
    pub query: SocketAddr,
    readiness: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    child: Option<Child>,
    _reserved: Vec<TcpSocket>,
}

/// The daemons of a run. They end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The daemons.
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

impl Fleet {
    /// Writes the settings of `count` daemons into a temporary folder and starts them; returns once all of
    /// them are ready. `store` returns the store's address as one of them reaches it.
    ///
    /// # Errors
    ///
    /// Fails if a daemon cannot be started or is not ready in time.
    pub async fn start(
        name: &str,
        count: usize,
        store: impl Fn(usize) -> SocketAddr,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut daemons = Vec::new();
        for number in 0..count {
            daemons.push(Daemon::new(&folder, number)?);
        }
        let seeds: Vec<SocketAddr> = daemons.iter().take(3).map(|daemon| daemon.peer).collect();
        let mut fleet = Self { daemons, folder };
        for (number, daemon) in fleet.daemons.iter_mut().enumerate() {
            daemon.write_settings(number, &seeds, store(number))?;
            daemon.start()?;
        }
        for daemon in &fleet.daemons {
            daemon.wait_until_ready().await?;
        }
        Ok(fleet)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            // The process may have ended already.
            let _ = daemon.signal(Signal::KILL);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            // A folder that stays behind does no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Daemon {
    fn new(folder: &Path, number: usize) -> io::Result<Self> {
        let mut reserved = Vec::new();
        let mut reserve = || {
            let (socket, address) = reserve_port()?;
            reserved.push(socket);
            io::Result::Ok(address)
        };
        Ok(Self {
            settings: folder.join(format!("daemon-{number}.jsonc")),
            log: folder.join(format!("daemon-{number}.log")),
            query: reserve()?,
            readiness: reserve()?,
            peer: reserve()?,
            operator: reserve()?,
            child: None,
            _reserved: reserved,
        })
    }

    fn write_settings(
        &self,
        number: usize,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> io::Result<()> {
        // The values are those of the search site's small machines.
        let text = json!({
            "vm": format!("vm-{number}"),
            "failure_domain": format!("z{}", number % 3),
            "region": "r1",
            "query_address": self.query,
            "readiness_address": self.readiness,
            "peer_address": self.peer,
            "operator_address": self.operator,
            "seed_addresses": seeds,
            "store_address": store,
            "drain_s": 3.0,
            "shutdown_grace_s": 6,
            "repeat_ratio": 0.2,
            "repeat_window_s": 10,
            "repeat_slack": 129,
            "cpu_share": 0.17,
            "cpu_speed": 1,
            "memory_mb": 182,
        });
        std::fs::write(&self.settings, text.to_string())
    }

    /// Starts the process with the command of the deploy file.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg("--platform")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        let limit = Rlimit {
            current: Some(DESCRIPTORS_MAX),
            maximum: Some(DESCRIPTORS_MAX),
        };
        if let Some(pid) = self.pid() {
            prlimit(Some(pid), Resource::Nofile, limit)?;
        }
        Ok(())
    }

    /// Returns the process's identifier while it runs.
    #[must_use]
    pub fn pid(&self) -> Option<Pid> {
        let id = self.child.as_ref().and_then(Child::id)?;
        i32::try_from(id).ok().and_then(Pid::from_raw)
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if the operating system rejects the signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        match self.pid() {
            Some(pid) => Ok(kill_process(pid, signal)?),
            None => Ok(()),
        }
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the end.
    pub async fn wait(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.wait().await?;
        }
        Ok(())
    }

    /// Returns true if the process has ended by itself.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the status.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        match &mut self.child {
            Some(child) => Ok(child.try_wait()?.is_some()),
            None => Ok(true),
        }
    }

    /// Waits until the daemon's readiness check succeeds.
    ///
    /// # Errors
    ///
    /// Fails if it does not succeed in time.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            let checked = ask(
                self.readiness,
                "GET",
                "/api/ready",
                "ready",
                Duration::from_secs(1),
            );
            if checked.await.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(io::Error::other("a daemon is not ready in time"))
    }

    /// Returns the open descriptors and the resident memory in MB.
    #[must_use]
    pub fn usage(&self) -> Option<(usize, u64)> {
        let pid = self.child.as_ref().and_then(Child::id)?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let resident = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = resident.split_whitespace().nth(1)?.parse().ok()?;
        Some((descriptors, kilobytes / 1_000))
    }
}
