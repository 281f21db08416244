use std::net::SocketAddr;

use medlarpin_core::fair_queue::Discipline;
use medlarpin_core::ownership::Routing;
use medlarpin_core::prelude::{FailureDomain, Region, VmName};

use crate::document::{Source, read_document};
use crate::error::SettingsError;
use crate::logs::LogSettings;
use crate::reader::{Field, Fields};
use crate::subtree::NAME_PUNCTUATION;

const KEYS: &[&str] = &[
    "vm",
    "failure_domain",
    "region",
    "query_address",
    "rpc_address",
    "operator_address",
    "platform_addresses",
    "routing",
    "hedging",
    "queue_discipline",
    "canary",
    "workers",
    "body_limit_bytes",
    "memory_mb",
    "shutdown_grace_ms",
    "drain_limit_ms",
    "probe_interval_ms",
    "suspect_timeout_ms",
    "pause_threshold_ms",
    "watch_wait_ms",
    "ticket_lifetime_ms",
    "logs",
];

/// Default of `memory_mb`, in MiB: the memory of a small VM.
const DEFAULT_MEMORY_MB: u32 = 128;

/// Settings of one daemon, read at startup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonSettings {
    /// VM that the daemon runs on.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the VM.
    pub region: Region,
    /// Listen address for callers; with port 0 the operating system chooses a port.
    pub query_address: SocketAddr,
    /// Listen address for other daemons, published in the VM list; with port 0 the operating system
    /// chooses a port.
    pub rpc_address: SocketAddr,
    /// Listen address for operators (metrics, state); with port 0 the operating system chooses a
    /// port.
    pub operator_address: SocketAddr,
    /// Addresses of the platform's replicas; at least one.
    pub platform_addresses: Vec<SocketAddr>,
    /// Which daemons send requests to a leaf.
    pub routing: Routing,
    /// Whether a slow leaf request is hedged, i.e. also sent to a second replica.
    pub hedging: bool,
    /// Order in which a leaf's queue is served.
    pub queue_discipline: Discipline,
    /// Whether a query with an unproven fingerprint first runs on a single shard.
    pub canary: bool,
    /// Number of worker threads; at least 1.
    pub workers: usize,
    /// Maximum size of a request body from a caller.
    pub body_limit_bytes: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u32,
    /// Time for which the listeners stay open after readiness turned false.
    pub shutdown_grace_ms: u64,
    /// Maximum wait for requests in flight during a shutdown.
    pub drain_limit_ms: u64,
    /// Interval between probes of members.
    pub probe_interval_ms: u64,
    /// Time after which a suspect member is declared dead; at least the probe interval.
    pub suspect_timeout_ms: u64,
    /// Gap between two ticks above which the process is considered to have been paused.
    pub pause_threshold_ms: u64,
    /// Maximum time for which the platform may hold a watch request open.
    pub watch_wait_ms: u64,
    /// Lifetime of a ticket.
    pub ticket_lifetime_ms: u64,
    /// Log levels.
    pub logs: LogSettings,
}

/// Parses the settings of a daemon; errors name the text `file`.
///
/// # Errors
///
/// Returns the first error of the text.
pub fn parse_daemon(text: &str, file: &str) -> Result<DaemonSettings, SettingsError> {
    read_document(Source { file, text }, read)
}

fn read(root: &Field<'_>) -> Result<DaemonSettings, SettingsError> {
    let fields = root.object(KEYS)?;
    let name = |key, example| fields.required(key, example)?.name(NAME_PUNCTUATION);
    let listen = |key, example| fields.required(key, example)?.listen_address();
    let probe_interval_ms = fields.integer_or("probe_interval_ms", 10..=60_000, 1_000)?;
    Ok(DaemonSettings {
        vm: name("vm", "\"vm-01\"")?.into(),
        failure_domain: name("failure_domain", "\"warmia-1\"")?.into(),
        region: name("region", "\"warmia\"")?.into(),
        query_address: listen("query_address", "\"192.0.2.7:8080\"")?,
        rpc_address: listen("rpc_address", "\"192.0.2.7:8081\"")?,
        operator_address: listen("operator_address", "\"127.0.0.1:8082\"")?,
        platform_addresses: read_platform_addresses(&fields)?,
        routing: read_routing(&fields)?,
        hedging: fields.boolean_or("hedging", true)?,
        queue_discipline: read_queue_discipline(&fields)?,
        canary: fields.boolean_or("canary", true)?,
        workers: read_usize(&fields, "workers", 1, 64, 2)?,
        body_limit_bytes: read_usize(&fields, "body_limit_bytes", 1024, 64 << 20, 1 << 20)?,
        memory_mb: fields.integer_u32_or("memory_mb", 32..=1_048_576, DEFAULT_MEMORY_MB)?,
        shutdown_grace_ms: fields.integer_or("shutdown_grace_ms", 0..=60_000, 2_000)?,
        drain_limit_ms: fields.integer_or("drain_limit_ms", 0..=600_000, 10_000)?,
        probe_interval_ms,
        suspect_timeout_ms: read_suspect_timeout(&fields, probe_interval_ms)?,
        // The ticker runs every 100 ms; a threshold below two ticks would report ordinary jitter
        // as a pause.
        pause_threshold_ms: fields.integer_or("pause_threshold_ms", 200..=60_000, 1_000)?,
        watch_wait_ms: fields.integer_or("watch_wait_ms", 1..=300_000, 30_000)?,
        ticket_lifetime_ms: fields.integer_or("ticket_lifetime_ms", 100..=3_600_000, 600_000)?,
        logs: fields
            .optional("logs")
            .map_or(Ok(LogSettings::default()), |field| {
                LogSettings::read(&field)
            })?,
    })
}

fn read_platform_addresses(fields: &Fields<'_>) -> Result<Vec<SocketAddr>, SettingsError> {
    fields
        .required("platform_addresses", "[\"192.0.2.1:7000\"]")?
        .non_empty_items()?
        .map(|item| item.remote_address())
        .collect()
}

fn read_routing(fields: &Fields<'_>) -> Result<Routing, SettingsError> {
    let values = [("owners", Routing::Owners), ("direct", Routing::Direct)];
    fields.enum_value_or("routing", &values, Routing::Owners)
}

fn read_queue_discipline(fields: &Fields<'_>) -> Result<Discipline, SettingsError> {
    let values = [
        ("fair_share", Discipline::FairShare),
        ("first_come", Discipline::Fifo),
    ];
    fields.enum_value_or("queue_discipline", &values, Discipline::FairShare)
}

fn read_usize(
    fields: &Fields<'_>,
    key: &'static str,
    min: u32,
    max: u32,
    default: u32,
) -> Result<usize, SettingsError> {
    let size = fields.integer_u32_or(key, min..=max, default)?;
    Ok(usize::try_from(size).unwrap_or(usize::MAX))
}

/// Requires at least one probe interval, so that a suspect member receives a probe in which it can
/// refute the suspicion.
fn read_suspect_timeout(fields: &Fields<'_>, probe_interval_ms: u64) -> Result<u64, SettingsError> {
    let Some(field) = fields.optional("suspect_timeout_ms") else {
        return Ok(4_000.max(4 * probe_interval_ms));
    };
    let timeout_ms = field.integer(10..=600_000)?;
    if timeout_ms < probe_interval_ms {
        return Err(SettingsError::Contradiction {
            location: field.location(),
            other: "probe_interval_ms",
            hint: format!("write at least {probe_interval_ms} (milliseconds)"),
        });
    }
    Ok(timeout_ms)
}
