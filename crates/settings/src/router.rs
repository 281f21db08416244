use std::net::SocketAddr;
use std::time::Duration;

use medlarpin_core::prelude::{FailureDomain, Region, VmName};

use crate::document::{Source, read_document};
use crate::error::SettingsError;
use crate::reader::{Field, Fields};
use crate::subtree::NAME_MARKS;

const KEYS: &[&str] = &[
    "vm",
    "failure_domain",
    "region",
    "query_address",
    "readiness_address",
    "peer_address",
    "operator_address",
    "seed_addresses",
    "store_address",
    "drain_s",
    "shutdown_grace_s",
    "repeat_ratio",
    "repeat_window_s",
    "repeat_slack",
    "cpu_share",
    "cpu_speed",
    "log_lines_per_s",
];

/// Lines that a daemon logs in a second unless the settings say otherwise.
const LOG_LINES_PER_S_DEFAULT: u32 = 100;
/// Longest time that the settings can name; longer ones are a mistake.
const LONGEST_S: f64 = 3_600.0;

/// Settings of a daemon that serves published routes.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// VM that the daemon runs on.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the VM.
    pub region: Region,
    /// Listens to callers.
    pub query_address: SocketAddr,
    /// Answers whether the daemon takes connections.
    pub readiness_address: SocketAddr,
    /// Listens to other daemons; `None` if they cannot reach this one.
    pub peer_address: Option<SocketAddr>,
    /// Listens to operators (metrics, state).
    pub operator_address: SocketAddr,
    /// Peer addresses of some daemons; they may be down.
    pub seed_addresses: Vec<SocketAddr>,
    /// The store with the configuration and the leafs' entries.
    pub store_address: SocketAddr,
    /// Time for which a leaving leaf goes on serving.
    pub drain_duration: Duration,
    /// Time between the request to stop and the forced end of the process.
    pub shutdown_grace: Duration,
    /// Repeated leaf requests that a service may get for each request.
    pub retry_ratio: f64,
    /// Time over which repeats are counted.
    pub retry_window: Duration,
    /// Repeats within the window beside those of the ratio, from all daemons together.
    pub retry_reserve: f64,
    /// Part of a core that the daemon may use.
    pub cpu_share: f64,
    /// Speed of the core, as a multiple of the usual one.
    pub cpu_speed: f64,
    /// Most lines that are logged in a second; the others are counted.
    pub log_lines_per_s: u32,
}

impl RouterSettings {
    /// Returns the processor time of the VM in thousandths of a usual core.
    #[must_use]
    pub fn cpu_millicores(&self) -> u32 {
        let cpu_per_second = Duration::from_secs_f64(self.cpu_share * self.cpu_speed);
        u32::try_from(cpu_per_second.as_millis()).unwrap_or(u32::MAX)
    }
}

/// Parses the settings of a daemon that serves published routes; `file` names the text in errors.
///
/// # Errors
///
/// Returns the first error of the text.
pub fn parse_router(text: &str, file: &str) -> Result<RouterSettings, SettingsError> {
    read_document(Source { file, text }, read)
}

fn read(root: &Field<'_>) -> Result<RouterSettings, SettingsError> {
    let fields = root.object(KEYS)?;
    let name = |key, sample| fields.required(key, sample)?.name(NAME_MARKS);
    let listen = |key, sample| fields.required(key, sample)?.listen_address();
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
        seed_addresses: read_seeds(&fields)?,
        store_address: fields
            .required("store_address", "\"192.0.2.1:8102\"")?
            .peer_address()?,
        drain_duration: seconds(&fields, "drain_s", "3")?,
        shutdown_grace: seconds(&fields, "shutdown_grace_s", "6")?,
        retry_ratio: fields.required("repeat_ratio", "0.2")?.decimal(0.0, 10.0)?,
        retry_window: seconds(&fields, "repeat_window_s", "10")?,
        retry_reserve: fields
            .required("repeat_slack", "100")?
            .decimal(0.0, 1_000_000.0)?,
        cpu_share: positive_or_one(&fields, "cpu_share")?,
        cpu_speed: positive_or_one(&fields, "cpu_speed")?,
        log_lines_per_s: fields.small_number_or(
            "log_lines_per_s",
            1..=100_000,
            LOG_LINES_PER_S_DEFAULT,
        )?,
    })
}

fn read_seeds(fields: &Fields<'_>) -> Result<Vec<SocketAddr>, SettingsError> {
    let Some(field) = fields.optional("seed_addresses") else {
        return Ok(Vec::new());
    };
    field.items()?.map(|item| item.peer_address()).collect()
}

/// Reads a factor of the processor's capacity.
fn positive_or_one(fields: &Fields<'_>, key: &'static str) -> Result<f64, SettingsError> {
    fields
        .optional(key)
        .map_or(Ok(1.0), |field| field.decimal(0.001, 1_000.0))
}

fn seconds(
    fields: &Fields<'_>,
    key: &'static str,
    sample: &str,
) -> Result<Duration, SettingsError> {
    let seconds = fields.required(key, sample)?.decimal(0.0, LONGEST_S)?;
    Ok(Duration::from_secs_f64(seconds))
}
