use std::net::SocketAddr;

use medlarpin_core::fair_queue::Discipline;
use medlarpin_core::ownership::Routing;
use medlarpin_core::prelude::{FailureDomain, Region, VmName};

use crate::document::{Source, read_document};
use crate::error::SettingsError;
use crate::logs::LogSettings;
use crate::reader::{Field, Fields};
use crate::subtree::NAME_MARKS;

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
    "shutdown_grace_ms",
    "drain_limit_ms",
    "probe_interval_ms",
    "suspect_timeout_ms",
    "pause_threshold_ms",
    "watch_wait_ms",
    "ticket_lifetime_ms",
    "logs",
];

/// Settings of one daemon, read at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonSettings {
    /// VM that the daemon runs on.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the VM.
    pub region: Region,
    /// Listens to callers; port 0 lets the operating system choose.
    pub query_address: SocketAddr,
    /// Listens to other daemons; the VM list publishes it. Port 0 lets the operating system choose.
    pub rpc_address: SocketAddr,
    /// Listens to operators (metrics, state); port 0 lets the operating system choose.
    pub operator_address: SocketAddr,
    /// Replicas of the platform's services; at least one.
    pub platform_addresses: Vec<SocketAddr>,
    /// How leaf requests reach the leafs.
    pub routing: Routing,
    /// Whether a straggling leaf request is sent to a second replica.
    pub hedging: bool,
    /// Order in which a leaf's queue is served.
    pub queue_discipline: Discipline,
    /// Whether an unproven query runs on one shard first.
    pub canary: bool,
    /// Worker threads; at least 1.
    pub workers: usize,
    /// Largest request body that callers may send.
    pub body_limit_bytes: usize,
    /// How long the listener stays open after readiness became false.
    pub shutdown_grace_ms: u64,
    /// Longest wait for requests in flight during a shutdown.
    pub drain_limit_ms: u64,
    /// Time between probes of members.
    pub probe_interval_ms: u64,
    /// Time after which a suspect member is dead; at least the probe interval.
    pub suspect_timeout_ms: u64,
    /// Gap between ticks that counts as a pause of the process.
    pub pause_threshold_ms: u64,
    /// Longest time that a watch waits at the platform.
    pub watch_wait_ms: u64,
    /// Time for which a ticket can be used.
    pub ticket_lifetime_ms: u64,
    /// What the daemon logs.
    pub logs: LogSettings,
}

/// Parses the settings of a daemon; `file` names the text in errors.
///
/// # Errors
///
/// Returns the first error of the text.
pub fn parse_daemon(text: &str, file: &str) -> Result<DaemonSettings, SettingsError> {
    read_document(Source { file, text }, read)
}

fn read(root: &Field<'_>) -> Result<DaemonSettings, SettingsError> {
    let fields = root.object(KEYS)?;
    let name = |key, sample| fields.required(key, sample)?.name(NAME_MARKS);
    let listen = |key, sample| fields.required(key, sample)?.listen_address();
    let probe_interval_ms = fields.number_or("probe_interval_ms", 10..=60_000, 1_000)?;
    Ok(DaemonSettings {
        vm: name("vm", "\"vm-01\"")?.into(),
        failure_domain: name("failure_domain", "\"warmia-1\"")?.into(),
        region: name("region", "\"warmia\"")?.into(),
        query_address: listen("query_address", "\"192.0.2.7:8080\"")?,
        rpc_address: listen("rpc_address", "\"192.0.2.7:8081\"")?,
        operator_address: listen("operator_address", "\"127.0.0.1:8082\"")?,
        platform_addresses: read_platform_addresses(&fields)?,
        routing: read_routing(&fields)?,
        hedging: fields.flag_or("hedging", true)?,
        queue_discipline: read_queue_discipline(&fields)?,
        canary: fields.flag_or("canary", true)?,
        workers: read_size(&fields, "workers", 1, 64, 2)?,
        body_limit_bytes: read_size(&fields, "body_limit_bytes", 1024, 64 << 20, 1 << 20)?,
        shutdown_grace_ms: fields.number_or("shutdown_grace_ms", 0..=60_000, 2_000)?,
        drain_limit_ms: fields.number_or("drain_limit_ms", 0..=600_000, 10_000)?,
        probe_interval_ms,
        suspect_timeout_ms: read_suspect_timeout(&fields, probe_interval_ms)?,
        // The ticker runs every 100 ms; a threshold below two ticks would report ordinary jitter.
        pause_threshold_ms: fields.number_or("pause_threshold_ms", 200..=60_000, 1_000)?,
        watch_wait_ms: fields.number_or("watch_wait_ms", 1..=300_000, 30_000)?,
        ticket_lifetime_ms: fields.number_or("ticket_lifetime_ms", 100..=3_600_000, 600_000)?,
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
        .some_items()?
        .map(|item| item.peer_address())
        .collect()
}

fn read_routing(fields: &Fields<'_>) -> Result<Routing, SettingsError> {
    let words = [("owners", Routing::Owners), ("direct", Routing::Direct)];
    fields.word_or("routing", &words, Routing::Owners)
}

fn read_queue_discipline(fields: &Fields<'_>) -> Result<Discipline, SettingsError> {
    let words = [
        ("fair_share", Discipline::FairShare),
        ("first_come", Discipline::Fifo),
    ];
    fields.word_or("queue_discipline", &words, Discipline::FairShare)
}

fn read_size(
    fields: &Fields<'_>,
    key: &'static str,
    least: u32,
    most: u32,
    default: u32,
) -> Result<usize, SettingsError> {
    let size = fields.small_number_or(key, least..=most, default)?;
    Ok(usize::try_from(size).unwrap_or(usize::MAX))
}

/// A suspect must get at least one probe in which it can refute the suspicion.
fn read_suspect_timeout(fields: &Fields<'_>, probe_interval_ms: u64) -> Result<u64, SettingsError> {
    let Some(field) = fields.optional("suspect_timeout_ms") else {
        return Ok(4_000.max(4 * probe_interval_ms));
    };
    let timeout_ms = field.number(10..=600_000)?;
    if timeout_ms < probe_interval_ms {
        return Err(SettingsError::Contradiction {
            location: field.location(),
            other: "probe_interval_ms",
            hint: format!("write at least {probe_interval_ms} (milliseconds)"),
        });
    }
    Ok(timeout_ms)
}
