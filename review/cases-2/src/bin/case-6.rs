//! Case 6: a crowd of callers whose requests are inside the published limits, while the platform kills processes that
//! exceed the memory of their machine.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use review_cases_2::caller::head;
use review_cases_2::daemon::temporary_folder;
use review_cases_2::{
    BROKEN, CallerConnection, Fleet, HELD, Leaf, LeafAnswer, NOT_RUN, Record, Store, has_trouble,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Number of daemons.
const DAEMONS: usize = 3;
/// `memoryMb` of a machine, and the descriptors that it has.
const MEMORY_MB: u64 = 182;
const DESCRIPTORS: u32 = 2_870;
/// Shards of the two indexes, each with two leafs, and connections of a leaf, as on the site.
const INDEXES: [(&str, usize); 2] = [("trace", 20), ("dispute", 30)];
const CONNECTIONS: u32 = 58;
/// Requests that a leaf runs at the same time; it has fewer connections, so that none waits or is rejected.
const SLOTS: u32 = 64;
/// Least work of a leaf for its part and the spread above it, and the size of the part.
const WORK_MIN_MS: u64 = 100;
const WORK_SPREAD_MS: u64 = 1_000;
const PART_BYTES: usize = 20_000;
/// Callers of each daemon, and the length of their heads; `maxHeaderBytes` is 16,384.
const CROWD: usize = 200;
const CROWD_HEAD_BYTES: usize = 15_000;
/// Callers of each daemon in ordinary times, with heads of some hundred bytes.
const ORDINARY: usize = 2;
/// Time for which the requests are sent at most.
const TRAFFIC: Duration = Duration::from_secs(90);
/// Time after which a killed process is started again.
const RESTART: Duration = Duration::from_millis(500);
/// Ends of a process with which the rule is broken, and machines on which they must come about.
const ENDS: usize = 3;
const MACHINES: usize = 2;
const TIME_LIMIT_MS: u64 = 4_000;

#[tokio::main]
async fn main() {
    std::process::exit(run().await.unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        NOT_RUN
    }));
}

fn shards(index: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("{index}-{number:02}"))
        .collect()
}

fn config() -> Value {
    let route = |(index, count): &(&str, usize)| {
        json!({
            "name": format!("r-{index}"), "host": "search.example", "prefix": format!("/{index}/"),
            "type": "idempotent", "timeoutMs": TIME_LIMIT_MS, "targetLatencyMs": 3000, "priority": 1,
            "fanout": shards(index, *count), "attempts": 2, "topK": 10, "minCoverage": 0.75,
        })
    };
    let names = INDEXES
        .iter()
        .flat_map(|(index, count)| shards(index, *count));
    let service = |name| json!({"name": name, "healthPath": "/health", "maxConns": CONNECTIONS});
    json!({
        "version": 7,
        "routes": INDEXES.iter().map(route).collect::<Vec<_>>(),
        "services": names.map(service).collect::<Vec<_>>(),
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    })
}

/// Returns the work of a leaf for a request, the same one in each run.
fn work(leaf: &Leaf, id: &str) -> Duration {
    let text = [leaf.id.as_bytes(), id.as_bytes()].concat();
    let hash = text.iter().fold(0xCBF2_9CE4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01B3)
    });
    Duration::from_millis(WORK_MIN_MS + (hash >> 16) % WORK_SPREAD_MS)
}

/// Returns the memory of a process in use, in KiB; 0 if it has ended.
fn resident_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or_default()
}

/// Sends one request after another on a kept connection until the traffic ends.
async fn call(query: std::net::SocketAddr, name: String, has_long_head: bool, counts: Arc<Counts>) {
    let mut connection = None;
    let mut number = 0;
    while !counts.is_over.load(Ordering::Relaxed) {
        if connection.is_none() {
            connection = CallerConnection::open(query).await.ok();
        }
        let Some(open) = &mut connection else {
            sleep(Duration::from_millis(250)).await;
            continue;
        };
        number += 1;
        let (index, _) = INDEXES[number % INDEXES.len()];
        let more = if has_long_head {
            let cookie = "v".repeat(CROWD_HEAD_BYTES / 5);
            (0..5)
                .map(|part| format!("X-Session-{part}: {cookie}\r\n"))
                .collect()
        } else {
            String::new()
        };
        let path = format!("/{index}/{name}");
        let head = head(
            "GET",
            &path,
            &format!("{name}-{number}"),
            TIME_LIMIT_MS,
            0,
            &more,
        );
        counts.sent.fetch_add(1, Ordering::Relaxed);
        match open
            .ask(&head, b"", Duration::from_millis(TIME_LIMIT_MS))
            .await
        {
            Ok(answer) if answer.status == 200 => {
                counts.served.fetch_add(1, Ordering::Relaxed);
            }
            // Callers honour Retry-After.
            Ok(answer) => {
                let pause = answer.message.header("retry-after").parse().unwrap_or(0.2);
                sleep(Duration::from_secs_f64(pause)).await;
            }
            Err(_) => {
                connection = None;
                sleep(Duration::from_millis(250)).await;
            }
        }
    }
}

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
    is_over: AtomicBool,
}

async fn run() -> std::io::Result<i32> {
    let record = Record::create(Path::new("review/6/record.txt"))?;
    let folder = temporary_folder("case-6")?;
    let store = Store::start().await?;
    let silent = Record::create(&folder.join("leafs.txt"))?;
    for (index, count) in INDEXES {
        for service in shards(index, count) {
            for number in 1..=2 {
                let id = format!("i-{service}-{number}");
                let mut leaf = Leaf::start(&id, &service, &silent, move |leaf, _, request| {
                    Box::pin(async move {
                        sleep(work(&leaf, &request.id)).await;
                        let part = vec![b'p'; PART_BYTES];
                        let more = "Keep-Alive: timeout=30\r\n";
                        LeafAnswer::Bytes(leaf.answer(&request.id, "200 OK", more, &part))
                    })
                })
                .await?;
                leaf.slots = SLOTS;
                store.put(
                    &format!("servers/{}", leaf.id),
                    leaf.entry(1).to_string().as_bytes(),
                );
            }
        }
    }
    store.put("op/config", config().to_string().as_bytes());
    let mut fleet = Fleet::start_with(DAEMONS, store.address, &folder, Some(DESCRIPTORS)).await?;
    if !fleet.wait_until_ready(Duration::from_secs(15)).await {
        record.result("the daemons did not get ready");
        return Ok(NOT_RUN);
    }
    sleep(Duration::from_secs(7)).await;
    let counts = Arc::new(Counts::default());
    let callers = if has_trouble() { CROWD } else { ORDINARY };
    for (number, daemon) in fleet.daemons.iter().enumerate() {
        for caller in 0..callers {
            let name = format!("c{number}-{caller}");
            tokio::spawn(call(daemon.query, name, has_trouble(), Arc::clone(&counts)));
        }
    }
    record.line(&format!("{callers} callers begin to send to each daemon"));
    let started = Instant::now();
    let mut ends = [0; DAEMONS];
    let mut peaks_kib = [0; DAEMONS];
    let mut restart_at: [Option<Instant>; DAEMONS] = [None; DAEMONS];
    let is_broken =
        |ends: &[usize]| ends.iter().filter(|count| **count >= ENDS).count() >= MACHINES;
    while started.elapsed() < TRAFFIC && !is_broken(&ends) {
        for (number, daemon) in fleet.daemons.iter_mut().enumerate() {
            if let Some(at) = restart_at[number] {
                if Instant::now() >= at {
                    daemon.spawn()?;
                    record.line(&format!("daemon {number} is started again"));
                    restart_at[number] = None;
                }
                continue;
            }
            let resident_kib = daemon.process().map_or(0, resident_kib);
            peaks_kib[number] = resident_kib.max(peaks_kib[number]);
            let has_ended = daemon.has_ended();
            if has_ended || resident_kib > MEMORY_MB << 10 {
                record.line(&format!(
                    "daemon {number} has {resident_kib} KiB, ended by itself: {has_ended}; it is killed"
                ));
                daemon.kill().await;
                ends[number] += 1;
                restart_at[number] = Some(Instant::now() + RESTART);
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
    counts.is_over.store(true, Ordering::Relaxed);
    drop(fleet);
    let _ = std::fs::remove_dir_all(&folder);
    record.result(&format!(
        "requests: {}, served: {}; most memory of the daemons: {} MiB of {MEMORY_MB}; ends for memory: {ends:?}",
        counts.sent.load(Ordering::Relaxed),
        counts.served.load(Ordering::Relaxed),
        peaks_kib.iter().max().unwrap_or(&0) >> 10,
    ));
    Ok(if is_broken(&ends) { BROKEN } else { HELD })
}
