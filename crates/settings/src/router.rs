use std::net::SocketAddr;
use std::time::Duration;

use medlarpin_core::prelude::{FailureDomain, Region, VmName};

use crate::document::{Source, read_document};
use crate::error::SettingsError;
use crate::reader::{Field, Fields};
use crate::subtree::NAME_PUNCTUATION;

const KEYS: &[&str] = &[
    "vm",
    "failure_domain",
    "region",
    "query_address",
    "readiness_address",
    "peer_address",
    "operator_address",
    "seed_addresses",
    "first_start",
    "store_address",
    "drain_s",
    "shutdown_grace_s",
    "repeat_ratio",
    "repeat_window_s",
    "repeat_slack",
    "warmup_overage",
    "warmup_slack",
    "cpu_share",
    "cpu_speed",
    "memory_mb",
    "log_lines_per_s",
];

/// Default of `log_lines_per_s`.
const DEFAULT_LOG_LINES_PER_S: u32 = 100;
/// Default of `memory_mb`, in MiB: the memory of a small VM.
const DEFAULT_MEMORY_MB: u32 = 128;
/// Maximum of each duration in these settings; a longer one is a mistake.
const MAX_DURATION_S: f64 = 3_600.0;

/// Settings of a daemon that serves published routes.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// VM that the daemon runs on.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the VM.
    pub region: Region,
    /// Listen address for callers.
    pub query_address: SocketAddr,
    /// Listen address of the readiness check, which reports whether the daemon accepts connections.
    pub readiness_address: SocketAddr,
    /// Listen address for other daemons; `None` if they cannot reach this one.
    pub peer_address: Option<SocketAddr>,
    /// Listen address for operators (metrics, state).
    pub operator_address: SocketAddr,
    /// Peer addresses of daemons through which this one finds all others; some may be down.
    pub seed_addresses: Vec<SocketAddr>,
    /// True if the whole system starts for the first time, so that no earlier process of any daemon
    /// has used the service-wide limits.
    pub first_start: bool,
    /// Address of the platform's store, which holds the configuration and the leafs' entries.
    pub store_address: SocketAddr,
    /// Time for which a leaving leaf still serves requests.
    pub drain_duration: Duration,
    /// Time between the request to stop and the forced termination of the process.
    pub shutdown_grace: Duration,
    /// Retry budget of a service: retries allowed per request.
    pub retry_ratio: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Retries per window allowed in addition to `retry_ratio`, over all daemons together.
    pub retry_reserve: f64,
    /// Bound of the requests to a cold leaf in a second, from all daemons together, as a multiple of
    /// the rate that its service's configuration states; `None` if there is no such bound.
    pub warm_up_overage: Option<f64>,
    /// Requests to a cold leaf in a second that the bound allows in addition.
    pub warm_up_slack: Option<f64>,
    /// CPU time that the daemon may use, in cores.
    pub cpu_share: f64,
    /// Speed of a core, as a multiple of a standard core's.
    pub cpu_speed: f64,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u32,
    /// Maximum number of lines logged per second; lines above it are only counted.
    pub log_lines_per_s: u32,
}

impl RouterSettings {
    /// Returns the CPU capacity that the daemon may use, in thousandths of a standard core.
    #[must_use]
    pub fn cpu_millicores(&self) -> u32 {
        let cpu_per_second = Duration::from_secs_f64(self.cpu_share * self.cpu_speed);
        u32::try_from(cpu_per_second.as_millis()).unwrap_or(u32::MAX)
    }
}

/// Parses the settings of a daemon that serves published routes; errors name the text `file`.
///
/// # Errors
///
/// Returns the first error of the text.
pub fn parse_router(text: &str, file: &str) -> Result<RouterSettings, SettingsError> {
    read_document(Source { file, text }, read)
}

fn read(root: &Field<'_>) -> Result<RouterSettings, SettingsError> {
    let fields = root.object(KEYS)?;
    let name = |key, example| fields.required(key, example)?.name(NAME_PUNCTUATION);
    let listen = |key, example| fields.required(key, example)?.listen_address();
    Ok(RouterSettings {
        vm: name("vm", "\"vm-01\"")?.into(),
        failure_domain: name("failure_domain", "\"warmia-1\"")?.into(),
        region: name("region", "\"warmia\"")?.into(),
        query_address: listen("query_address", "\"192.0.2.7:8080\"")?,
        readiness_address: listen("readiness_address", "\"192.0.2.7:8081\"")?,
        peer_address: fields
            .optional("peer_address")
            .map(|field| field.listen_address())
            .transpose()?,
        operator_address: listen("operator_address", "\"192.0.2.7:9464\"")?,
        seed_addresses: read_seed_addresses(&fields)?,
        first_start: fields.boolean_or("first_start", false)?,
        store_address: fields
            .required("store_address", "\"192.0.2.1:8102\"")?
            .remote_address()?,
        drain_duration: read_seconds(&fields, "drain_s", "3")?,
        shutdown_grace: read_seconds(&fields, "shutdown_grace_s", "6")?,
        retry_ratio: fields.required("repeat_ratio", "0.2")?.decimal(0.0, 10.0)?,
        retry_window: read_seconds(&fields, "repeat_window_s", "10")?,
        retry_reserve: fields
            .required("repeat_slack", "100")?
            .decimal(0.0, 1_000_000.0)?,
        warm_up_overage: read_bound(&fields, "warmup_overage")?,
        warm_up_slack: read_bound(&fields, "warmup_slack")?,
        cpu_share: read_capacity_factor(&fields, "cpu_share")?,
        cpu_speed: read_capacity_factor(&fields, "cpu_speed")?,
        memory_mb: fields.integer_u32_or("memory_mb", 32..=1_048_576, DEFAULT_MEMORY_MB)?,
        log_lines_per_s: fields.integer_u32_or(
            "log_lines_per_s",
            1..=100_000,
            DEFAULT_LOG_LINES_PER_S,
        )?,
    })
}

fn read_seed_addresses(fields: &Fields<'_>) -> Result<Vec<SocketAddr>, SettingsError> {
    let Some(field) = fields.optional("seed_addresses") else {
        return Ok(Vec::new());
    };
    field.items()?.map(|item| item.remote_address()).collect()
}

/// Reads a number of the bound of the requests to cold leafs.
fn read_bound(fields: &Fields<'_>, key: &'static str) -> Result<Option<f64>, SettingsError> {
    let field = fields.optional(key);
    field
        .map(|field| field.decimal(0.0, 1_000_000.0))
        .transpose()
}

/// Reads a factor of the CPU capacity; 1 if the key is absent.
fn read_capacity_factor(fields: &Fields<'_>, key: &'static str) -> Result<f64, SettingsError> {
    fields
        .optional(key)
        .map_or(Ok(1.0), |field| field.decimal(0.001, 1_000.0))
}

fn read_seconds(
    fields: &Fields<'_>,
    key: &'static str,
    example: &str,
) -> Result<Duration, SettingsError> {
    let seconds = fields
        .required(key, example)?
        .decimal(0.0, MAX_DURATION_S)?;
    Ok(Duration::from_secs_f64(seconds))
}
