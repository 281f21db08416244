//! A request crashes each leaf that begins to run it: the leaf falls silent, and a new one takes its place
//! after some seconds. The caller sends the request again and again, to one daemon after the other.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform_stand_in::FakeStore;
use review_harness::{
    Case, Fleet, Leaf, LeafReply, LeafRequest, Record, Verdict, answer, ask, run_case,
};
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::sleep;

const DAEMONS: usize = 4;
/// Leafs of the service, as many as the site's `export-agents` have.
const LEAFS: usize = 5;
const WORK: Duration = Duration::from_millis(160);
const CRASHING_PATH: &str = "/sheet/crash";
/// Time from a crash until the leaf is back, as a new incarnation.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Time from a crash until the entry of the silent leaf is removed: three heartbeats.
const ENTRY_EXPIRES_AFTER: Duration = Duration::from_millis(3_600);
const DEADLINE: Duration = Duration::from_secs(4);
const RETRY_INTERVAL: Duration = Duration::from_secs(3);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// The platform's `stabilityWindowMs`.
const STABILITY_WINDOW: Duration = Duration::from_secs(4);
/// Retries that may reach leafs after that window.
const RETRIES_MAX: usize = 3;
const CRASHES_FROM: Duration = Duration::from_secs(10);
const RUN: Duration = Duration::from_secs(45);

struct Shared {
    record: Record,
    is_disrupted: bool,
    /// Times at which leafs crashed.
    crashes: Mutex<Vec<Instant>>,
    /// Time at which each attempt of the caller was sent, and whether it reached a leaf.
    attempts: Mutex<Vec<(String, Instant, bool)>>,
    /// Other requests that a leaf began to run, and those of them that were answered.
    begun: AtomicU64,
    answered: AtomicU64,
    crashed: mpsc::UnboundedSender<String>,
}

impl Shared {
    fn record_attempt(&self, id: &str) {
        let attempt = (id.to_owned(), Instant::now(), false);
        let mut attempts = self.attempts.lock().expect("no holder panics");
        attempts.push(attempt);
    }

    fn record_arrival(&self, id: &str) {
        let mut attempts = self.attempts.lock().expect("no holder panics");
        if let Some(attempt) = attempts.iter_mut().find(|(known, _, _)| known == id) {
            attempt.2 = true;
        }
    }
}

fn main() -> ExitCode {
    run_case(run)
}

async fn serve(shared: Arc<Shared>, leaf: String, request: LeafRequest) -> LeafReply {
    let id = &request.id;
    shared.record.line(&format!("{leaf} runs {id}"));
    if request.path != CRASHING_PATH {
        shared.begun.fetch_add(1, Ordering::Relaxed);
    } else {
        shared.record_arrival(id);
        if shared.is_disrupted {
            shared.record.line(&format!("{leaf} crashes under {id}"));
            shared
                .crashes
                .lock()
                .expect("no holder panics")
                .push(Instant::now());
            // Fails only at the end of the run.
            let _ = shared.crashed.send(leaf);
            return std::future::pending().await;
        }
    }
    sleep(WORK).await;
    LeafReply::Send(answer(&leaf, id, b"ok", ""))
}

async fn start_leaf(shared: &Arc<Shared>, store: &FakeStore, number: u64) -> io::Result<Leaf> {
    let id = format!("i-{number}");
    let (handled, name) = (Arc::clone(shared), id.clone());
    let leaf = Leaf::start(&id, move |request| {
        serve(Arc::clone(&handled), name.clone(), request)
    });
    let leaf = leaf.await?;
    store.put(&format!("servers/{id}"), &leaf.entry("sheets", "ready", 1));
    Ok(leaf)
}

/// Lets crashed leafs fall silent and puts new ones in their place.
async fn replace_crashed(
    shared: Arc<Shared>,
    store: Arc<FakeStore>,
    mut leafs: Vec<Leaf>,
    mut crashed: mpsc::UnboundedReceiver<String>,
) {
    let mut next = LEAFS as u64;
    let (started, mut new_leafs) = mpsc::unbounded_channel();
    loop {
        tokio::select! {
            Some(id) = crashed.recv() => {
                let Some(index) = leafs.iter().position(|leaf| leaf.id == id) else {
                    continue;
                };
                let old = leafs.swap_remove(index);
                old.go_dark();
                let number = next;
                next += 1;
                let (shared, store, started) =
                    (Arc::clone(&shared), Arc::clone(&store), started.clone());
                tokio::spawn(async move {
                    sleep(BACK_AFTER).await;
                    if let Ok(leaf) = start_leaf(&shared, &store, number).await {
                        shared.record.line(&format!("{} takes the place of {id}", leaf.id));
                        // Fails only at the end of the run.
                        let _ = started.send(leaf);
                    }
                    sleep(ENTRY_EXPIRES_AFTER - BACK_AFTER).await;
                    store.delete(&format!("servers/{id}"));
                    drop(old);
                });
            }
            Some(leaf) = new_leafs.recv() => leafs.push(leaf),
        }
    }
}

async fn call(shared: Arc<Shared>, daemon: SocketAddr, method: &str, path: &str, id: &str) {
    let result = ask(daemon, method, path, id, DEADLINE).await;
    let text = match &result {
        Ok(answer) => answer.status.to_string(),
        Err(error) => error.to_string(),
    };
    shared
        .record
        .line(&format!("answer to {id} {path}: {text}"));
    if matches!(result, Ok(answer) if answer.status == 200) && path != CRASHING_PATH {
        shared.answered.fetch_add(1, Ordering::Relaxed);
    }
}

async fn run(case: Case) -> io::Result<Verdict> {
    let store = Arc::new(FakeStore::start()?);
    let (sender, receiver) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared {
        record: Record::create(&case.folder)?,
        is_disrupted: case.is_disrupted,
        crashes: Mutex::default(),
        attempts: Mutex::default(),
        begun: AtomicU64::default(),
        answered: AtomicU64::default(),
        crashed: sender,
    });
    let mut leafs = Vec::new();
    for number in 0..LEAFS as u64 {
        leafs.push(start_leaf(&shared, &store, number).await?);
    }
    tokio::spawn(replace_crashed(
        Arc::clone(&shared),
        Arc::clone(&store),
        leafs,
        receiver,
    ));
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": "a.example", "prefix": format!("/{name}/"), "service": "sheets",
            "type": kind, "attempts": 2, "timeoutMs": 4000, "targetLatencyMs": 600, "priority": 2,
        })
    };
    store.put(
        "op/config",
        &json!({
            "version": 1,
            "routes": [route("sheet", "idempotent"), route("tally", "non_idempotent")],
            "services": [{"name": "sheets", "maxConns": 244, "healthPath": "/health"}],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }),
    );
    let fleet = Fleet::start("silent-crash", DAEMONS, |_| store.address()).await?;
    let daemons: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.query).collect();
    let started = Instant::now();
    let (crashing, crashing_daemons) = (Arc::clone(&shared), daemons.clone());
    tokio::spawn(async move {
        sleep(CRASHES_FROM).await;
        for number in 0.. {
            let id = format!("c{number}");
            crashing.record_attempt(&id);
            let (shared, daemon) = (Arc::clone(&crashing), crashing_daemons[number % DAEMONS]);
            tokio::spawn(async move { call(shared, daemon, "GET", CRASHING_PATH, &id).await });
            sleep(RETRY_INTERVAL).await;
        }
    });
    let mut number = 0_usize;
    while started.elapsed() < RUN {
        number += 1;
        let (shared, daemon) = (Arc::clone(&shared), daemons[number % DAEMONS]);
        tokio::spawn(async move {
            let (path, id) = (format!("/tally/{number}"), format!("t{number}"));
            call(shared, daemon, "POST", &path, &id).await;
        });
        sleep(REQUEST_INTERVAL).await;
    }
    sleep(DEADLINE + Duration::from_secs(1)).await;
    let crashes = shared.crashes.lock().expect("no holder panics").clone();
    let attempts = shared.attempts.lock().expect("no holder panics").clone();
    let judged_from = crashes.get(2).map(|third| *third + STABILITY_WINDOW);
    let retries = judged_from.map_or(0, |from| {
        let late = attempts
            .iter()
            .filter(|(_, at, reached)| *reached && *at > from);
        late.count()
    });
    let begun = shared.begun.load(Ordering::Relaxed);
    let answered = shared.answered.load(Ordering::Relaxed);
    let summary = format!(
        "{} leafs crashed under one request; {retries} of its retries later than 4 s after the third \
         reached leafs; {} of {begun} other requests that a leaf began to run had no success",
        crashes.len(),
        begun - answered.min(begun),
    );
    shared.record.line(&summary);
    println!("{summary}");
    Ok(if retries > RETRIES_MAX {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
