//! All leafs of a shard crash while equal queries run, at a time when another shard has no leafs. The leafs
//! are back after some seconds.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use platform_stand_in::{FakeLeaf, FakeStore, LeafBehaviour};
use review_harness::{Case, Fleet, Record, Verdict, ask, run_case};
use serde_json::{Value, json};
use tokio::time::{sleep, sleep_until};

const DAEMONS: usize = 3;
const SHARDS: usize = 8;
/// Shard whose leafs are lost for good, and shard whose leafs crash.
const LOST: usize = 0;
const CRASHING: usize = 1;
const WORK: Duration = Duration::from_millis(100);
/// Callers that ask the same query again and again.
const POLLERS: usize = 16;
const PAUSE: Duration = Duration::from_millis(50);
/// Interval of the queries on the first route, each with a path of its own.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_millis(800);
/// The operator adds the second route.
const ADDED_AT: Duration = Duration::from_secs(4);
const POLLED_FROM: Duration = Duration::from_secs(7);
const CRASH_AT: Duration = Duration::from_secs(12);
/// The length of `srv_crash` in the site file of the search installation.
const CRASH_FOR: Duration = Duration::from_millis(4_500);
/// From here on nothing is disturbed.
const JUDGED_FROM: Duration = Duration::from_secs(26);
const RUN: Duration = Duration::from_secs(42);
/// Fewest requests on the later route for which the rule counts.
const LATER_MIN: u64 = 20;

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
}

struct Shared {
    record: Record,
    started: Instant,
    first: Counts,
    later: Counts,
}

fn main() -> ExitCode {
    run_case(run)
}

fn shard(number: usize) -> String {
    format!("shard-{number}")
}

fn config(version: u64) -> Value {
    let shards: Vec<String> = (0..SHARDS).map(shard).collect();
    let route = |name: &str| {
        json!({
            "name": name, "host": "a.example", "prefix": format!("/{name}/"), "fanout": &shards,
            "type": "idempotent", "attempts": 2, "timeoutMs": 800, "targetLatencyMs": 150,
            "priority": 1, "topK": 5, "minCoverage": 0.75,
        })
    };
    let routes: Vec<Value> = ["batch", "recall"][..version as usize]
        .iter()
        .map(|name| route(name))
        .collect();
    let services: Vec<Value> = shards
        .iter()
        .map(|name| json!({"name": name, "maxConns": 58, "healthPath": "/health"}))
        .collect();
    json!({
        "version": version, "routes": routes, "services": services,
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    })
}

fn start_leafs(
    store: &FakeStore,
    shard_number: usize,
    incarnation: u32,
) -> io::Result<Vec<FakeLeaf>> {
    let mut leafs = Vec::new();
    for number in 0..2 {
        let id = format!("i-{shard_number}-{number}-{incarnation}");
        let leaf = FakeLeaf::start(&id, [shard_number as u8; 16])?;
        leaf.set_behaviour(LeafBehaviour::Answers(WORK));
        store.put(
            &format!("servers/{id}"),
            &leaf.entry(&shard(shard_number), "ready", 1),
        );
        leafs.push(leaf);
    }
    Ok(leafs)
}

async fn query(shared: &Shared, daemon: SocketAddr, path: &str, id: &str, counts: &Counts) {
    let is_judged = shared.started.elapsed() >= JUDGED_FROM;
    let result = ask(daemon, "GET", path, id, DEADLINE).await;
    let text = match &result {
        Ok(answer) => {
            let missing = answer.header("x-medlarpin-missing-parts").unwrap_or("-");
            let after = answer.header("retry-after").unwrap_or("-");
            format!("{}, missing {missing}, retry after {after}", answer.status)
        }
        Err(error) => error.to_string(),
    };
    shared
        .record
        .line(&format!("answer to {id} {path}: {text}"));
    if is_judged {
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let is_served = matches!(result, Ok(answer) if answer.status == 200);
        counts
            .served
            .fetch_add(u64::from(is_served), Ordering::Relaxed);
    }
}

async fn run(case: Case) -> io::Result<Verdict> {
    let store = Arc::new(FakeStore::start()?);
    let mut leafs = Vec::new();
    let mut crashing = Vec::new();
    for number in 0..SHARDS {
        let of_shard = start_leafs(&store, number, 1)?;
        if number == CRASHING {
            crashing = of_shard;
        } else if number == LOST && case.is_disrupted {
            // Their entries have expired already.
            for leaf in &of_shard {
                leaf.crash();
                store.delete(&format!("servers/{}", leaf.id()));
            }
        } else {
            leafs.extend(of_shard);
        }
    }
    store.put("op/config", &config(1));
    let fleet = Fleet::start("popular-query", DAEMONS, |_| store.address()).await?;
    let daemons: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.query).collect();
    let shared = Arc::new(Shared {
        record: Record::create(&case.folder)?,
        started: Instant::now(),
        first: Counts::default(),
        later: Counts::default(),
    });
    let started = shared.started;
    let mut callers = Vec::new();
    for poller in 0..POLLERS {
        let (shared, daemons) = (Arc::clone(&shared), daemons.clone());
        callers.push(tokio::spawn(async move {
            sleep_until((started + POLLED_FROM).into()).await;
            let mut number = 0;
            while started.elapsed() < RUN {
                number += 1;
                let daemon = daemons[(poller + number) % DAEMONS];
                let id = format!("p{poller}-{number}");
                query(&shared, daemon, "/recall/today", &id, &shared.later).await;
                sleep(PAUSE).await;
            }
        }));
    }
    let (queried, addresses) = (Arc::clone(&shared), daemons.clone());
    callers.push(tokio::spawn(async move {
        let mut number = 0;
        while started.elapsed() < RUN {
            number += 1;
            let (shared, daemon) = (Arc::clone(&queried), addresses[number % DAEMONS]);
            tokio::spawn(async move {
                let (path, id) = (format!("/batch/{number}"), format!("q{number}"));
                query(&shared, daemon, &path, &id, &shared.first).await;
            });
            sleep(QUERY_INTERVAL).await;
        }
    }));
    sleep_until((started + ADDED_AT).into()).await;
    store.put("op/config", &config(2));
    shared
        .record
        .line("the store has accepted version 2, with the route `recall`");
    if case.is_disrupted {
        sleep_until((started + CRASH_AT).into()).await;
        for leaf in &crashing {
            leaf.crash();
        }
        shared.record.line("the leafs of a shard have crashed");
        sleep(CRASH_FOR).await;
        for leaf in &crashing {
            store.delete(&format!("servers/{}", leaf.id()));
        }
        leafs.extend(start_leafs(&store, CRASHING, 2)?);
        shared.record.line("the leafs of the shard are back");
    }
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    sleep(Duration::from_secs(1)).await;
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (first_sent, first_served) = (read(&shared.first.sent), read(&shared.first.served));
    let (later_sent, later_served) = (read(&shared.later.sent), read(&shared.later.served));
    let summary = format!(
        "from {} s on: {first_served} of {first_sent} served on the first route, \
         {later_served} of {later_sent} on the later one",
        JUDGED_FROM.as_secs()
    );
    shared.record.line(&summary);
    println!("{summary}");
    let share = |served: u64, sent: u64| served as f64 / sent.max(1) as f64;
    let is_broken = later_sent >= LATER_MIN
        && share(later_served, later_sent) < share(first_served, first_sent) / 4.0;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
