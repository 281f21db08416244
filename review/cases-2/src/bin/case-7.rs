//! Case 7: one of the two leafs of a service is lost for good, silently; the other one is sound.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use review_cases_2::daemon::temporary_folder;
use review_cases_2::{
    BROKEN, Fleet, HELD, Leaf, LeafAnswer, NOT_RUN, Record, Store, ask, has_trouble,
};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Number of daemons.
const DAEMONS: usize = 3;
/// Connections that a leaf takes: about as many for each daemon as on the small sites (58 for 20).
const CONNECTIONS: u32 = 8;
/// Time after which the store removes the entry of a silent leaf: three check-ins of 1.2 s.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);
/// Calm after the removal, above `stabilityWindowMs` and `drainMs`.
const CALM: Duration = Duration::from_secs(8);
/// Requests on the later route that are judged, and on the first route.
const JUDGED: usize = 60;
const TIME_LIMIT_MS: u64 = 4_000;

#[tokio::main]
async fn main() {
    std::process::exit(run().await.unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        NOT_RUN
    }));
}

fn config(version: u64, services: &[&str]) -> Value {
    let route = |service: &&str| {
        json!({
            "name": format!("r-{service}"), "host": "search.example", "prefix": format!("/{service}/"),
            "type": "idempotent", "timeoutMs": TIME_LIMIT_MS, "targetLatencyMs": 600, "priority": 1,
            "service": service, "attempts": 1,
        })
    };
    let service =
        |name: &&str| json!({"name": name, "healthPath": "/health", "maxConns": CONNECTIONS});
    json!({
        "version": version,
        "routes": services.iter().map(route).collect::<Vec<_>>(),
        "services": services.iter().map(service).collect::<Vec<_>>(),
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    })
}

/// Sends some requests to each daemon at the same time and waits for their answers.
async fn burst(fleet: &Fleet, record: &Record, name: &str, path: &'static str, count: usize) {
    let mut callers = Vec::new();
    for (number, daemon) in fleet.daemons.iter().enumerate() {
        for request in 0..count {
            let (record, query) = (record.clone(), daemon.query);
            let id = format!("{name}-{number}-{request}");
            callers.push(tokio::spawn(async move {
                let answer = ask(query, "GET", path, &id, TIME_LIMIT_MS).await;
                let result =
                    answer.map_or_else(|error| error.to_string(), |got| got.status.to_string());
                record.line(&format!("caller of {id} gets {result}"));
            }));
        }
    }
    for caller in callers {
        let _ = caller.await;
    }
}

async fn run() -> std::io::Result<i32> {
    let record = Record::create(Path::new("review/7/record.txt"))?;
    let folder = temporary_folder("case-7")?;
    let store = Store::start().await?;
    let mut leafs = Vec::new();
    for (id, service) in [
        ("i-1", "sheets"),
        ("i-2", "sheets"),
        ("i-3", "orders"),
        ("i-4", "orders"),
    ] {
        let runs = record.clone();
        let leaf = Leaf::start(id, service, &record, move |leaf, _, request| {
            let record = runs.clone();
            Box::pin(async move {
                leaf.runs(&record, &request.id);
                // A burst keeps both connections of a daemon busy.
                let work_ms = if request.id.starts_with("warm") {
                    100
                } else {
                    2
                };
                sleep(Duration::from_millis(work_ms)).await;
                let answer = leaf.answer(
                    &request.id,
                    "200 OK",
                    "Keep-Alive: timeout=60\r\n",
                    b"answer",
                );
                LeafAnswer::Bytes(answer)
            })
        })
        .await?;
        store.put(
            &format!("servers/{}", leaf.id),
            leaf.entry(1).to_string().as_bytes(),
        );
        leafs.push(leaf);
    }
    store.put("op/config", config(7, &["sheets"]).to_string().as_bytes());
    let fleet = Fleet::start(DAEMONS, store.address, &folder).await?;
    if !fleet.wait_until_ready(Duration::from_secs(15)).await {
        record.result("the daemons did not get ready");
        return Ok(NOT_RUN);
    }
    // The daemons get to know each other and divide the leafs' connections.
    sleep(Duration::from_secs(7)).await;
    store.put(
        "op/config",
        config(9, &["sheets", "orders"]).to_string().as_bytes(),
    );
    record.line("the operator adds the route of the service orders");
    sleep(Duration::from_secs(4)).await;
    for round in 0..3 {
        burst(&fleet, &record, &format!("warm{round}"), "/orders/1", 4).await;
    }
    sleep(Duration::from_millis(500)).await;
    if has_trouble() {
        leafs[2].go_dark();
        record.line("leaf i-3 is lost for good and silent");
    }
    sleep(Duration::from_millis(100)).await;
    let lost = tokio::spawn({
        let store = store.clone();
        let record = record.clone();
        async move {
            sleep(ENTRY_LIFETIME).await;
            if has_trouble() {
                store.delete("servers/i-3");
                record.line("the store removes the entry of leaf i-3");
            }
        }
    });
    // Few callers ask for orders at this time.
    burst(&fleet, &record, "few", "/orders/1", 2).await;
    let _ = lost.await;
    sleep(CALM).await;
    record.line("steady state");
    let mut served = Vec::new();
    for (name, path) in [("later", "/orders/1"), ("first", "/sheets/1")] {
        let count = Arc::new(AtomicUsize::new(0));
        served.push((name, path, count));
    }
    for number in 0..JUDGED {
        let query = fleet.daemons[number % DAEMONS].query;
        for (name, path, count) in &served {
            let id = format!("{name}{number:03}");
            let answer = ask(query, "GET", path, &id, TIME_LIMIT_MS).await;
            let status = answer.map(|answer| answer.status);
            record.line(&format!("caller of {id} gets {status:?}"));
            if matches!(status, Ok(200)) {
                count.fetch_add(1, Ordering::Relaxed);
            }
        }
        sleep(Duration::from_millis(150)).await;
    }
    drop(fleet);
    let counts: Vec<usize> = served
        .iter()
        .map(|(_, _, count)| count.load(Ordering::Relaxed))
        .collect();
    record.result(&format!(
        "steady state: {} of {JUDGED} requests on the later route served, {} of {JUDGED} on the first route",
        counts[0], counts[1]
    ));
    let _ = std::fs::remove_dir_all(&folder);
    Ok(if counts[0] * 4 < counts[1] {
        BROKEN
    } else {
        HELD
    })
}
