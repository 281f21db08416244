//! Another writer puts entries that cannot be read beside those of the leafs, up to the store's largest
//! value each. Later the store is down for some seconds, and after that the operator changes the configuration.

use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use review_harness::{
    BoundedStore, Case, Fleet, Leaf, LeafReply, Record, Verdict, answer, ask, run_case,
};
use serde_json::{Value, json};
use tokio::time::{sleep, sleep_until};

const DAEMONS: usize = 4;
/// The platform's `valueBytes`.
const VALUE_BYTES: usize = 1_048_576;
const FOREIGN_ENTRIES: usize = 36;
const FOREIGN_AT: Duration = Duration::from_secs(4);
/// Time between two foreign entries.
const FOREIGN_GAP: Duration = Duration::from_millis(400);
const DOWN_AT: Duration = Duration::from_secs(35);
/// The length of the outage in the site file of the search installation.
const DOWN_FOR: Duration = Duration::from_millis(4_500);
const CHANGE_AT: Duration = Duration::from_secs(48);
/// The platform's `configApplyMs`.
const APPLY: Duration = Duration::from_millis(3_000);
const RUN: Duration = Duration::from_secs(70);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    run_case(run)
}

fn config(version: u64, service: &str) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "sheet", "host": "a.example", "prefix": "/sheet/", "service": service,
            "type": "idempotent", "attempts": 2, "timeoutMs": 4000, "targetLatencyMs": 600, "priority": 2,
        }],
        "services": [
            {"name": "old", "maxConns": 244, "healthPath": "/health"},
            {"name": "new", "maxConns": 244, "healthPath": "/health"},
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    })
}

/// Publishes the leafs of both services.
async fn start_leafs(record: &Arc<Record>, store: &BoundedStore) -> io::Result<()> {
    for service in ["old", "new"] {
        for number in 0..2 {
            let id = format!("i-{service}-{number}");
            let (name, record) = (id.clone(), Arc::clone(record));
            let leaf = Leaf::start(&id, move |request| {
                record.line(&format!("{name} of service {service} runs {}", request.id));
                let bytes = answer(&name, &request.id, service.as_bytes(), "");
                async move { LeafReply::Send(bytes) }
            });
            let entry = leaf.await?.entry(service, "ready", 1).to_string();
            store.put(&format!("servers/{id}"), entry.as_bytes());
        }
    }
    Ok(())
}

async fn run(case: Case) -> io::Result<Verdict> {
    let record = Arc::new(Record::create(&case.folder)?);
    let store = Arc::new(BoundedStore::start().await?);
    start_leafs(&record, &store).await?;
    store.put("op/config", config(1, "old").to_string().as_bytes());
    let fleet = Fleet::start("foreign-entries", DAEMONS, |_| store.address).await?;
    let started = Instant::now();

    let (platform, platform_record) = (Arc::clone(&store), Arc::clone(&record));
    let is_disrupted = case.is_disrupted;
    tokio::spawn(async move {
        sleep_until((started + FOREIGN_AT).into()).await;
        for number in 0..FOREIGN_ENTRIES {
            if is_disrupted {
                platform.put(&format!("servers/x-{number:02}"), &vec![b'#'; VALUE_BYTES]);
                platform_record.line(&format!("another writer puts entry x-{number:02}"));
            }
            sleep(FOREIGN_GAP).await;
        }
        if is_disrupted {
            sleep_until((started + DOWN_AT).into()).await;
            platform.set_down(true);
            platform_record.line("the store is down");
            sleep(DOWN_FOR).await;
            platform.set_down(false);
            platform_record.line("the store is back");
        }
        sleep_until((started + CHANGE_AT).into()).await;
        platform.put("op/config", config(2, "new").to_string().as_bytes());
        platform_record.line("the store has accepted version 2 of the configuration");
    });

    let late = Arc::new(AtomicU64::new(0));
    let judged = Arc::new(AtomicU64::new(0));
    let mut number = 0_usize;
    while started.elapsed() < RUN {
        number += 1;
        let daemon = fleet.daemons[number % DAEMONS].query;
        let id = format!("r{number}");
        let is_judged = started.elapsed() > CHANGE_AT + APPLY;
        let (record, late, judged) = (Arc::clone(&record), Arc::clone(&late), Arc::clone(&judged));
        tokio::spawn(async move {
            let result = ask(daemon, "GET", "/sheet/1", &id, Duration::from_secs(4)).await;
            let text = match &result {
                Ok(answer) => {
                    let service = String::from_utf8_lossy(&answer.body);
                    format!("{} {service}", answer.status)
                }
                Err(error) => error.to_string(),
            };
            record.line(&format!("answer to {id} at {daemon}: {text}"));
            if is_judged {
                judged.fetch_add(1, Ordering::Relaxed);
                late.fetch_add(u64::from(text == "200 old"), Ordering::Relaxed);
            }
        });
        sleep(REQUEST_INTERVAL).await;
    }
    sleep(Duration::from_secs(2)).await;
    let (late, judged) = (late.load(Ordering::Relaxed), judged.load(Ordering::Relaxed));
    let summary = format!(
        "{late} of {judged} requests sent later than 3 s after version 2 were run by the old service; \
         {} calls to the store",
        store.calls()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
