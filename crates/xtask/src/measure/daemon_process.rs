//! One `medlarpind` child process.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde_json::{Value, json};
use stand_ins::server::reserve_port;
use tokio::net::TcpSocket;

use super::error::MeasureError;

/// Reserved addresses of a daemon.
///
/// The reserving sockets are bound without listening. While the daemon is down, no other process
/// can take its ports, and connections to them are refused.
#[derive(Debug)]
struct Ports {
    query: SocketAddr,
    rpc: SocketAddr,
    operator: SocketAddr,
    _reservations: [TcpSocket; 3],
}

impl Ports {
    fn reserve() -> Result<Self, MeasureError> {
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

/// A daemon that can be started again on the same ports; dropping it kills the process.
#[derive(Debug)]
pub(super) struct DaemonProcess {
    name: String,
    failure_domain: String,
    ports: Ports,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Reserves ports and writes the settings; no process is started.
    pub(super) fn new(
        position: usize,
        failure_domain: &str,
        directory: &Path,
        platform: SocketAddr,
        overrides: &[(&'static str, Value)],
    ) -> Result<Self, MeasureError> {
        let name = format!("vm-{position}");
        let ports = Ports::reserve()?;
        let mut settings = json!({
            "vm": name,
            "failure_domain": failure_domain,
            "region": "region-0",
            "query_address": ports.query.to_string(),
            "rpc_address": ports.rpc.to_string(),
            "operator_address": ports.operator.to_string(),
            "platform_addresses": [platform.to_string()],
            "workers": 2,
        });
        for (key, value) in overrides {
            settings[*key] = value.clone();
        }
        let path = directory.join(format!("{name}.jsonc"));
        std::fs::write(&path, format!("{settings:#}\n"))?;
        Ok(Self {
            failure_domain: failure_domain.to_owned(),
            ports,
            settings_path: path,
            log_path: directory.join(format!("{name}.log")),
            child: None,
            name,
        })
    }

    /// Starts the process.
    pub(super) fn start(&mut self, program: &Path) -> Result<(), MeasureError> {
        let log = File::create(&self.log_path)?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGTERM to the process, if it is running.
    pub(super) fn terminate(&self) -> Result<(), MeasureError> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let id = child.id();
        let status = Command::new("kill")
            .args(["-TERM", &id.to_string()])
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(MeasureError::Signal(id))
        }
    }

    /// Returns true once the process has exited.
    pub(super) fn has_exited(&mut self) -> Result<bool, MeasureError> {
        let Some(child) = &mut self.child else {
            return Ok(true);
        };
        let exited = child.try_wait()?.is_some();
        if exited {
            self.child = None;
        }
        Ok(exited)
    }

    /// Returns the identifier of the running process.
    pub(super) fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the VM's name.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the VM's failure domain.
    pub(super) fn failure_domain(&self) -> &str {
        &self.failure_domain
    }

    /// Returns the address that takes queries from callers.
    pub(super) fn query_address(&self) -> SocketAddr {
        self.ports.query
    }

    /// Returns the address that takes RPCs from other daemons.
    pub(super) fn rpc_address(&self) -> SocketAddr {
        self.ports.rpc
    }

    /// Returns the address that takes operators' requests.
    pub(super) fn operator_address(&self) -> SocketAddr {
        self.ports.operator
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has exited and been reaped.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
