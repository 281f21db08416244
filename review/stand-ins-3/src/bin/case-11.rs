//! Large configurations follow each other; the platform kills a process that exceeds its memory.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform_stand_in::FakeStore;
use review_stand_ins_3::{
    Client, EXIT_BROKEN, EXIT_NOT_RUN, Fleet, Leaf, LeafReply, Record, has_trouble,
};
use serde_json::{Value, json};
use tokio::time::{interval, sleep};

const DAEMONS: usize = 3;
const LEAFS: usize = 6;
/// Memory of a machine of the site, in KiB.
const MEMORY_KB: u64 = 182 << 10;
/// Clients of each daemon, each with a kept connection.
const CLIENTS: usize = 8;
/// Time that a leaf works on a request.
const WORK: Duration = Duration::from_millis(150);
/// Routes by which the configuration grows, as in the site file's largest `big_config`.
const MORE_ROUTES: usize = 420;
/// Shards of the site's second set, over which these routes fan out.
const SHARDS: usize = 30;
/// A storm of configurations, as in a day of the site file (`gap_s` 0.08 for 2 s), and the pause after it.
const STORM_VERSIONS: u64 = 25;
const VERSION_INTERVAL: Duration = Duration::from_millis(80);
const STORM_PAUSE: Duration = Duration::from_millis(1_500);
/// Interval at which leafs write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LENGTH: Duration = Duration::from_secs(95);
/// Requests that may be closed without an answer.
const LOST_MAX: usize = 3;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let [program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: case-11 PROGRAM FOLDER RECORD");
        return ExitCode::from(EXIT_NOT_RUN);
    };
    match run(program, folder, record).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cannot run: {error}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

async fn run(program: &Path, folder: &Path, record: &Path) -> std::io::Result<ExitCode> {
    let record = Record::create(record)?;
    let store = Arc::new(FakeStore::start()?);
    let mut leafs = Vec::new();
    for number in 0..LEAFS {
        let leaf = Leaf::start(&format!("a{number}"), b"0123456789abcdef", &record).await?;
        leaf.set_reply(|_| LeafReply::Run(WORK));
        leafs.push(leaf);
    }
    let leafs = Arc::new(leafs);
    let entries = {
        let (leafs, store) = (Arc::clone(&leafs), Arc::clone(&store));
        move |seq| {
            for leaf in leafs.iter() {
                store.put(
                    &format!("servers/{}", leaf.id()),
                    &leaf.entry("desk", "z1", seq),
                );
            }
        }
    };
    entries(1);
    store.put("op/config", &config(1, 0));
    let mut fleet = Fleet::start(DAEMONS, program, folder, store.address(), |_, _, _| {})?;
    if !fleet.wait_until_ready().await {
        eprintln!("a daemon is not ready");
        return Ok(ExitCode::from(EXIT_NOT_RUN));
    }
    record.line(format!("{DAEMONS} daemons are ready"));
    let started = Instant::now();

    let heartbeats = tokio::spawn(async move {
        let mut ticks = interval(HEARTBEAT);
        for seq in 2.. {
            ticks.tick().await;
            entries(seq);
        }
    });
    let is_over = Arc::new(AtomicBool::new(false));
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let answered = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for (daemon, known) in fleet.daemons.iter().enumerate() {
        for client in 0..CLIENTS {
            let (query, record) = (known.addresses.query, record.clone());
            let (is_over, unanswered) = (Arc::clone(&is_over), Arc::clone(&unanswered));
            let answered = Arc::clone(&answered);
            clients.push(tokio::spawn(async move {
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let Ok(mut connection) = Client::connect(query).await else {
                        sleep(Duration::from_millis(100)).await;
                        continue;
                    };
                    let mut is_kept = false;
                    while !is_over.load(Ordering::Relaxed) {
                        number += 1;
                        let id = format!("{daemon}-{client}-{number}");
                        let path = format!("/desk/{id}");
                        let answer = connection.send("GET", &path, &id, 2_000, b"").await;
                        if answer.status == 0 {
                            record.line(format!("client: {id} got no answer: {}", answer.error));
                            if is_kept && let Ok(mut unanswered) = unanswered.lock() {
                                unanswered.push(id);
                            }
                            break;
                        }
                        is_kept = true;
                        answered.fetch_add(1, Ordering::Relaxed);
                        if answer.status != 200 {
                            record.line(format!("client: {id} got {}", answer.status));
                        }
                    }
                }
            }));
        }
    }

    let operator = {
        let (store, record) = (Arc::clone(&store), record.clone());
        tokio::spawn(async move {
            let mut version = 1;
            while has_trouble() {
                let mut ticks = interval(VERSION_INTERVAL);
                for _ in 0..STORM_VERSIONS {
                    ticks.tick().await;
                    version += 1;
                    let config = config(version, MORE_ROUTES);
                    if version == 2 {
                        let bytes = config.to_string().len();
                        record.line(format!(
                            "operator: the configuration grows to {bytes} bytes"
                        ));
                    }
                    store.put("op/config", &config);
                }
                record.line(format!("operator: version {version} is acknowledged"));
                sleep(STORM_PAUSE).await;
            }
        })
    };

    // The platform kills a process that exceeds its memory and starts it again.
    let mut kills = vec![0; DAEMONS];
    let mut largest_kb = 0;
    while started.elapsed() < LENGTH && kills.contains(&0) {
        sleep(Duration::from_millis(50)).await;
        for (number, daemon) in fleet.daemons.iter_mut().enumerate() {
            if daemon.has_ended() {
                record.line(format!("platform: daemon {number} has ended by itself"));
            }
            let used_kb = daemon.pid().and_then(memory_kb).unwrap_or(0);
            largest_kb = largest_kb.max(used_kb);
            if used_kb > MEMORY_KB {
                record.line(format!(
                    "platform: daemon {number} uses {used_kb} KiB and is killed"
                ));
                kills[number] += 1;
                daemon.kill().await?;
                sleep(Duration::from_millis(100)).await;
                daemon.start()?;
            }
        }
    }
    sleep(Duration::from_secs(3)).await;
    operator.abort();
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        // The last requests end within their time limit.
        let _ = client.await;
    }
    heartbeats.abort();

    let ran: Vec<String> = leafs
        .iter()
        .flat_map(|leaf| leaf.ran())
        .map(|(_, id)| id)
        .collect();
    let unanswered = unanswered.lock().map(|ids| ids.clone()).unwrap_or_default();
    let lost = unanswered.iter().filter(|id| ran.contains(id)).count();
    let result = format!(
        "{lost} requests of kept connections reached a leaf and were closed without an answer, {LOST_MAX} are allowed; \
         kills for memory: {kills:?}, largest use {largest_kb} KiB of {MEMORY_KB}; {} requests answered",
        answered.load(Ordering::Relaxed)
    );
    record.line(&result);
    println!("{result}");
    drop(fleet);
    Ok(ExitCode::from(if lost > LOST_MAX {
        EXIT_BROKEN
    } else {
        0
    }))
}

/// Returns the resident memory of a process.
fn memory_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn config(version: u64, more_routes: usize) -> Value {
    let shard = |number: usize| format!("subwencje-shard-{number:02}");
    let shards: Vec<String> = (0..SHARDS).map(shard).collect();
    let mut routes = vec![json!({
        "name": "desk", "host": "search.example", "prefix": "/desk/", "type": "idempotent",
        "timeoutMs": 2000, "targetLatencyMs": 600, "attempts": 2, "priority": 2, "service": "desk",
    })];
    routes.extend((0..more_routes).map(|number| {
        json!({
            "name": format!("spis-calosci-{number}"), "host": format!("herd{number}.example"),
            "prefix": format!("/spis{number}/"), "type": "idempotent", "timeoutMs": 1200,
            "targetLatencyMs": 120, "attempts": 2, "priority": 1, "fanout": shards, "topK": 50,
            "minCoverage": 0.89,
        })
    }));
    let mut services = vec![json!({"name": "desk", "maxConns": 90, "healthPath": "/health"})];
    services.extend(
        shards
            .iter()
            .map(|name| json!({"name": name, "maxConns": 58, "healthPath": "/health"})),
    );
    json!({
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 5000,
            "idleTimeoutMs": 10_000},
    })
}
