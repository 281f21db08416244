//! Case 6: a faulty leaf sends some of its answers a second time, late: at the point where the next answer on the
//! connection is expected. Some of them are rejections, and the next request on the connection is the same one.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_cases_2::caller::head;
use review_cases_2::daemon::temporary_folder;
use review_cases_2::{
    BROKEN, CallerConnection, Fleet, HELD, Leaf, LeafAnswer, NOT_RUN, Record, Store, has_trouble,
};
use serde_json::json;
use tokio::time::sleep;

/// The leafs are full for the first part of each period, through other callers.
const PERIOD: Duration = Duration::from_millis(400);
const FULL: Duration = Duration::from_millis(60);
/// Work of a request.
const WORK: Duration = Duration::from_millis(60);
/// Number of daemons.
const DAEMONS: usize = 12;
/// Requests of the callers, and the time between them.
const REQUESTS: usize = 3_600;
const INTERVAL: Duration = Duration::from_millis(25);
/// One in so many answers of the faulty leaf is sent a second time, for the first part of each period.
const COPIED_ONE_IN: u64 = 25;
const FAULT_PERIOD: Duration = Duration::from_millis(6_000);
const FAULT: Duration = Duration::from_millis(5_000);
/// The leafs with their services. The first one sends extra answers.
const LEAFS: [(&str, &str); 3] = [("i-1", "invoices"), ("i-2", "sheets"), ("i-3", "sheets")];
/// One in so many requests is a single fetch of a sheet, the others submit an invoice.
const FETCHES_ONE_IN: usize = 8;
const TIME_LIMIT_MS: u64 = 4_000;

/// Chooses one in [`COPIED_ONE_IN`] answers, the same ones in each run.
fn is_chosen(count: u64) -> bool {
    let mixed = (count + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) >> 33;
    mixed.is_multiple_of(COPIED_ONE_IN)
}

#[tokio::main]
async fn main() {
    std::process::exit(run().await.unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        NOT_RUN
    }));
}

async fn run() -> std::io::Result<i32> {
    let record = Record::create(Path::new("review/6/record.txt"))?;
    let folder = temporary_folder("case-6")?;
    let store = Store::start().await?;
    let started = Instant::now();
    let mut leafs = Vec::new();
    for (id, service) in LEAFS {
        let runs = record.clone();
        // The answer on each connection of which a copy is still to be sent.
        let copies: Arc<Mutex<BTreeMap<u64, Vec<u8>>>> = Arc::default();
        let answered = Arc::new(AtomicU64::new(0));
        let leaf = Leaf::start(id, service, &record, move |leaf, connection, request| {
            let (record, copies) = (runs.clone(), Arc::clone(&copies));
            let count = answered.fetch_add(1, Ordering::Relaxed);
            let is_faulty =
                started.elapsed().as_millis() % FAULT_PERIOD.as_millis() < FAULT.as_millis();
            let is_copied = has_trouble() && leaf.id == LEAFS[0].0 && is_faulty && is_chosen(count);
            Box::pin(async move {
                let early = copies
                    .lock()
                    .unwrap()
                    .remove(&connection)
                    .unwrap_or_default();
                let copy = move |answer: &[u8]| {
                    if is_copied {
                        copies.lock().unwrap().insert(connection, answer.to_vec());
                    }
                };
                let elapsed_ms = started.elapsed().as_millis() % PERIOD.as_millis();
                if elapsed_ms < FULL.as_millis() {
                    let rejection = Leaf::rejection(&request.id);
                    copy(&rejection);
                    return LeafAnswer::Bytes([early, rejection].concat());
                }
                leaf.runs(&record, &request.id);
                let work = async move {
                    sleep(WORK).await;
                    let answer = leaf.answer(
                        &request.id,
                        "200 OK",
                        "Keep-Alive: timeout=10\r\n",
                        b"invoice",
                    );
                    copy(&answer);
                    answer
                };
                if early.is_empty() {
                    return LeafAnswer::Bytes(work.await);
                }
                LeafAnswer::Early(early, Box::pin(work))
            })
        })
        .await?;
        store.put(
            &format!("servers/{}", leaf.id),
            leaf.entry(1).to_string().as_bytes(),
        );
        leafs.push(leaf);
    }
    let config = json!({
        "version": 7,
        "routes": [{
            "name": "r-invoice", "host": "search.example", "prefix": "/invoice/",
            "type": "non_idempotent", "timeoutMs": TIME_LIMIT_MS, "targetLatencyMs": 600,
            "priority": 1, "service": "invoices", "attempts": 2,
        }, {
            "name": "r-sheet", "host": "search.example", "prefix": "/sheet/",
            "type": "idempotent", "timeoutMs": TIME_LIMIT_MS, "targetLatencyMs": 600,
            "priority": 1, "service": "sheets", "attempts": 2,
        }],
        "services": [
            {"name": "invoices", "healthPath": "/health", "maxConns": 58},
            {"name": "sheets", "healthPath": "/health", "maxConns": 58},
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    });
    store.put("op/config", config.to_string().as_bytes());
    let fleet = Fleet::start(DAEMONS, store.address, &folder).await?;
    if !fleet.wait_until_ready(Duration::from_secs(15)).await {
        record.result("the daemons did not get ready");
        return Ok(NOT_RUN);
    }
    // The daemons divide the service's retry budget once they know each other.
    sleep(Duration::from_secs(7)).await;
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let query = fleet.daemons[number % DAEMONS].query;
        let record = record.clone();
        callers.push(tokio::spawn(async move {
            let is_fetch = number.is_multiple_of(FETCHES_ONE_IN);
            let id = format!("{}{number:04}", if is_fetch { "fetch" } else { "submit" });
            record.line(&format!("caller sends {id}"));
            let (method, path, body): (_, _, &[u8]) = if is_fetch {
                ("GET", "/sheet/1", b"")
            } else {
                ("POST", "/invoice/1", b"lot7")
            };
            let head = head(method, path, &id, TIME_LIMIT_MS, body.len(), "");
            let answer = async {
                let mut connection = CallerConnection::open(query).await?;
                connection
                    .ask(&head, body, Duration::from_millis(TIME_LIMIT_MS))
                    .await
            };
            let status = match answer.await {
                Ok(answer) => answer.status,
                Err(error) => {
                    record.line(&format!("caller of {id}: {error}"));
                    0
                }
            };
            record.line(&format!("caller of {id} gets {status}"));
            (id, status)
        }));
        sleep(INTERVAL).await;
    }
    let mut answers = Vec::new();
    for caller in callers {
        answers.extend(caller.await);
    }
    sleep(Duration::from_secs(1)).await;
    drop(fleet);
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for leaf in &leafs {
        for id in leaf.ran.lock().unwrap().iter() {
            *runs.entry(id.clone()).or_default() += 1;
        }
    }
    // Fetches may run more than once.
    runs.retain(|id, _| id.starts_with("submit"));
    let twice = runs.values().filter(|count| **count > 1).count();
    let refused = answers
        .iter()
        .filter(|(id, status)| matches!(status, 408 | 421 | 429 | 503) && runs.contains_key(id));
    let refused = refused.count();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    record.result(&format!(
        "requests: {REQUESTS}, served: {served}; requests that may run once at most: \
         run more than once: {twice}, refused and run: {refused}"
    ));
    let _ = std::fs::remove_dir_all(&folder);
    Ok(if twice + refused > 0 { BROKEN } else { HELD })
}
