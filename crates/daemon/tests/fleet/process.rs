//! One `medlarpind` process.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use serde_json::{Map, Value, json};
use stand_ins::server::reserve_port;
use tokio::net::TcpSocket;

/// A signal that a test sends to a daemon.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Term,
    Stop,
    Continue,
}

impl Signal {
    fn option(self) -> &'static str {
        match self {
            Self::Term => "-TERM",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// Ports of a daemon, reserved against other processes for the fleet's lifetime.
///
/// The reserving sockets are bound but do not listen. So the daemon can bind the same ports too,
/// and connections are refused while it is down.
#[derive(Debug)]
pub struct Ports {
    pub query: SocketAddr,
    pub rpc: SocketAddr,
    pub operator: SocketAddr,
    _reservations: [TcpSocket; 3],
}

impl Ports {
    pub fn reserve() -> io::Result<Self> {
        let (query_socket, query) = reserve_port()?;
        let (rpc_socket, rpc) = reserve_port()?;
        let (operator_socket, operator) = reserve_port()?;
        Ok(Self {
            query,
            rpc,
            operator,
            _reservations: [query_socket, rpc_socket, operator_socket],
        })
    }
}

/// A daemon process that can be started repeatedly on the same ports.
#[derive(Debug)]
pub struct Daemon {
    pub name: String,
    pub failure_domain: String,
    pub ports: Ports,
    settings_path: PathBuf,
    log_path: PathBuf,
    /// Descriptor limit of the process; `None` for that of the test.
    pub descriptors: Option<usize>,
    child: Option<Child>,
}

impl Daemon {
    /// Reserves the ports without starting a process.
    pub fn new(position: usize, failure_domain: &str, directory: &Path) -> io::Result<Self> {
        let name = format!("vm-{position}");
        Ok(Self {
            failure_domain: failure_domain.to_owned(),
            ports: Ports::reserve()?,
            settings_path: directory.join(format!("{name}.jsonc")),
            log_path: directory.join(format!("{name}.log")),
            descriptors: None,
            child: None,
            name,
        })
    }

    /// Writes the settings file.
    pub fn write_settings(
        &self,
        platform: &[SocketAddr],
        overrides: &Map<String, Value>,
    ) -> io::Result<()> {
        let mut settings = json!({
            "vm": self.name,
            "failure_domain": self.failure_domain,
            "region": super::REGION,
            "query_address": self.ports.query.to_string(),
            "rpc_address": self.ports.rpc.to_string(),
            "operator_address": self.ports.operator.to_string(),
            "platform_addresses": platform.iter().map(ToString::to_string).collect::<Vec<_>>(),
            "workers": 2,
        });
        for (key, value) in overrides {
            settings[key] = value.clone();
        }
        let text = format!("// Settings of a test daemon.\n{settings:#}\n");
        std::fs::write(&self.settings_path, text)
    }

    /// Returns the log of all processes started for this daemon.
    pub fn log(&self) -> io::Result<String> {
        std::fs::read_to_string(&self.log_path)
    }

    /// Starts the process; its output is appended to the log.
    pub fn start(&mut self) -> io::Result<()> {
        assert!(self.child.is_none(), "{} is already running", self.name);
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path)?;
        let program = env!("CARGO_BIN_EXE_medlarpind");
        let mut command = match self.descriptors {
            None => Command::new(program),
            Some(limit) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", "ulimit -n $0 && exec \"$@\""]);
                shell.args([&limit.to_string(), program]);
                shell
            }
        };
        let child = command
            .arg("--settings")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the identifier of the running process.
    pub fn process_id(&self) -> u32 {
        self.child.as_ref().expect("a running daemon").id()
    }

    /// Returns the exit status if the process has exited since the last call.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self
            .child
            .as_mut()?
            .try_wait()
            .expect("a child of this process");
        if status.is_some() {
            self.child = None;
        }
        status
    }

    /// Sends a signal to the running process.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("a running daemon");
        let status = Command::new("kill")
            .args([signal.option(), &child.id().to_string()])
            .status()
            .expect("the kill program");
        assert!(status.success(), "kill {} {}", signal.option(), self.name);
    }

    /// Kills the process, even if it is stopped.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has exited and been reaped.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
