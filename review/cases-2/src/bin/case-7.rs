//! Case 7: another writer leaves entries in the store that name no leaf; then all daemons are killed.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use review_cases_2::daemon::temporary_folder;
use review_cases_2::{
    BROKEN, Fleet, HELD, Leaf, LeafAnswer, NOT_RUN, Record, Store, ask, has_trouble,
};
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Entries of the other writer, each within `valueBytes` of the settings (1,048,576).
const ODD_ENTRIES: usize = 48;
const ODD_ENTRY_BYTES: usize = 700_000;
/// Time that the killed processes are down.
const DOWN: Duration = Duration::from_secs(1);
/// `recoverS` of the deployment.
const RECOVER: Duration = Duration::from_secs(12);
const TIME_LIMIT_MS: u64 = 4_000;

#[tokio::main]
async fn main() {
    std::process::exit(run().await.unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        NOT_RUN
    }));
}

/// Sends requests to all daemons in turn; returns how many were sent and served.
async fn send_for(fleet: &Fleet, record: &Record, name: &str, time: Duration) -> (usize, usize) {
    let until = Instant::now() + time;
    let served = Arc::new(AtomicUsize::new(0));
    let mut callers = Vec::new();
    while Instant::now() < until {
        let number = callers.len();
        let query = fleet.daemons[number % fleet.daemons.len()].query;
        let (record, served, id) = (
            record.clone(),
            Arc::clone(&served),
            format!("{name}{number:04}"),
        );
        callers.push(tokio::spawn(async move {
            let result = match ask(query, "GET", "/sheet/1", &id, TIME_LIMIT_MS).await {
                Ok(answer) => answer.status.to_string(),
                Err(error) => error.to_string(),
            };
            record.line(&format!("caller of {id} gets {result}"));
            if result == "200" {
                served.fetch_add(1, Ordering::Relaxed);
            }
        }));
        sleep(Duration::from_millis(50)).await;
    }
    let sent = callers.len();
    for caller in callers {
        let _ = caller.await;
    }
    (sent, served.load(Ordering::Relaxed))
}

async fn run() -> std::io::Result<i32> {
    let record = Record::create(Path::new("review/7/record.txt"))?;
    let folder = temporary_folder("case-7")?;
    let store = Store::start().await?;
    for number in 1..=2 {
        let runs = record.clone();
        let leaf = Leaf::start(
            &format!("i-{number}"),
            "sheets",
            &record,
            move |leaf, _, request| {
                let record = runs.clone();
                Box::pin(async move {
                    leaf.runs(&record, &request.id);
                    sleep(Duration::from_millis(20)).await;
                    let answer = leaf.answer(
                        &request.id,
                        "200 OK",
                        "Keep-Alive: timeout=10\r\n",
                        b"sheet",
                    );
                    LeafAnswer::Bytes(answer)
                })
            },
        )
        .await?;
        store.put(
            &format!("servers/{}", leaf.id),
            leaf.entry(1).to_string().as_bytes(),
        );
    }
    let config = json!({
        "version": 7,
        "routes": [{
            "name": "r-sheet", "host": "search.example", "prefix": "/sheet/", "type": "idempotent",
            "timeoutMs": TIME_LIMIT_MS, "targetLatencyMs": 600, "priority": 1, "service": "sheets",
            "attempts": 2,
        }],
        "services": [{"name": "sheets", "healthPath": "/health", "maxConns": 58}],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    });
    store.put("op/config", config.to_string().as_bytes());
    let mut fleet = Fleet::start(3, store.address, &folder).await?;
    if !fleet.wait_until_ready(Duration::from_secs(15)).await {
        record.result("the daemons did not get ready");
        return Ok(NOT_RUN);
    }
    if has_trouble() {
        let odd_store = store.clone();
        let record = record.clone();
        tokio::spawn(async move {
            for number in 0..ODD_ENTRIES {
                // Bytes that cannot be read as an entry.
                let value: Vec<u8> = (0..ODD_ENTRY_BYTES)
                    .map(|index| (index % 251) as u8)
                    .collect();
                odd_store.put(&format!("servers/odd-{number:02}"), &value);
                record.line(&format!("another writer puts servers/odd-{number:02}"));
                sleep(Duration::from_millis(250)).await;
            }
        });
    }
    let (sent, served) = send_for(&fleet, &record, "before", Duration::from_secs(16)).await;
    record.result(&format!(
        "before the final fault: {served} of {sent} requests served"
    ));
    for daemon in &mut fleet.daemons {
        daemon.kill().await;
    }
    record.line("all daemons are killed");
    sleep(DOWN).await;
    for daemon in &mut fleet.daemons {
        daemon.spawn()?;
    }
    record.line("all daemons are started again");
    sleep(RECOVER).await;
    let (sent_after, served_after) =
        send_for(&fleet, &record, "after", Duration::from_secs(12)).await;
    let ready = fleet.wait_until_ready(Duration::from_secs(1)).await;
    record.result(&format!(
        "later than 12 s after the machines are back: {served_after} of {sent_after} requests served; \
         all daemons ready: {ready}"
    ));
    drop(fleet);
    let _ = std::fs::remove_dir_all(&folder);
    if served * 4 < sent {
        return Ok(NOT_RUN);
    }
    Ok(if served_after * 4 < sent_after {
        BROKEN
    } else {
        HELD
    })
}
