//! The leafs of a service state limits of their request rate that follow their load. Each daemon passes
//! each change on to four others, over a new connection that stays open for a minute.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use platform_stand_in::FakeStore;
use review_harness::{Case, Fleet, Leaf, LeafReply, Record, Verdict, answer, ask, run_case};
use serde_json::json;
use tokio::time::sleep;

const DAEMONS: usize = 8;
const LEAFS: usize = 5;
const WORK: Duration = Duration::from_millis(50);
/// Requests a second that a leaf without any work takes.
const LIMIT_PER_S: f64 = 120.0;
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after the route's timeout by which half of the unanswered requests must have an answer.
const SLACK: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(4_000);
const RUN: Duration = Duration::from_secs(90);
const USAGE_INTERVAL: Duration = Duration::from_secs(5);
/// Fewest requests without an answer for which the rule counts.
const UNANSWERED_MIN: u64 = 8;

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    /// Requests without an answer at the route's timeout, and half a second later.
    unanswered: AtomicU64,
    still_unanswered: AtomicU64,
}

fn main() -> ExitCode {
    run_case(run)
}

async fn start_leafs(case: &Case, record: &Arc<Record>, store: &FakeStore) -> io::Result<()> {
    for number in 0..LEAFS {
        let id = format!("i-{number}");
        let in_progress = Arc::new(AtomicUsize::new(0));
        let (name, record, is_disrupted) = (id.clone(), Arc::clone(record), case.is_disrupted);
        let leaf = Leaf::start(&id, move |request| {
            let in_progress = Arc::clone(&in_progress);
            let (name, record) = (name.clone(), Arc::clone(&record));
            async move {
                in_progress.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("{name} runs {}", request.id));
                sleep(WORK).await;
                let others = in_progress.fetch_sub(1, Ordering::Relaxed) - 1;
                // Without the disruption, the limit stays the same.
                let others = if is_disrupted { others } else { 0 };
                let limit = LIMIT_PER_S / (1.0 + others as f64);
                let header = format!("Server-Limit: {limit:.1}\r\n");
                LeafReply::Send(answer(&name, &request.id, b"ok", &header))
            }
        });
        let entry = leaf.await?.entry("sheets", "ready", 1);
        store.put(&format!("servers/{id}"), &entry);
    }
    Ok(())
}

async fn call(record: Arc<Record>, counts: Arc<Counts>, daemon: SocketAddr, number: u64) {
    let id = format!("r{number}");
    let sent_at = Instant::now();
    let result = ask(daemon, "POST", "/sheet/1", &id, DEADLINE).await;
    let elapsed = sent_at.elapsed();
    let text = match &result {
        Ok(answer) => answer.status.to_string(),
        Err(error) => format!("no answer: {error}"),
    };
    record.line(&format!(
        "{id} at {daemon}: {text} after {} ms",
        elapsed.as_millis()
    ));
    if matches!(&result, Ok(answer) if answer.status == 200) {
        counts.served.fetch_add(1, Ordering::Relaxed);
    }
    if elapsed >= TIMEOUT {
        counts.unanswered.fetch_add(1, Ordering::Relaxed);
    }
    if elapsed >= TIMEOUT + SLACK {
        counts.still_unanswered.fetch_add(1, Ordering::Relaxed);
    }
}

async fn run(case: Case) -> io::Result<Verdict> {
    let record = Arc::new(Record::create(&case.folder)?);
    let store = FakeStore::start()?;
    start_leafs(&case, &record, &store).await?;
    store.put(
        "op/config",
        &json!({
            "version": 1,
            "routes": [{
                "name": "sheet", "host": "a.example", "prefix": "/sheet/", "service": "sheets",
                "type": "non_idempotent", "attempts": 2, "timeoutMs": TIMEOUT.as_millis() as u64,
                "targetLatencyMs": 600, "priority": 2,
            }],
            "services": [{"name": "sheets", "maxConns": 244, "healthPath": "/health"}],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }),
    );
    let fleet = Fleet::start("changing-limits", DAEMONS, |_| store.address()).await?;
    let counts = Arc::new(Counts::default());
    let started = Instant::now();
    let mut next_usage = Instant::now();
    let mut callers = Vec::new();
    while started.elapsed() < RUN {
        let number = counts.sent.fetch_add(1, Ordering::Relaxed);
        let daemon = fleet.daemons[number as usize % DAEMONS].query;
        let (record_of_call, counts_of_call) = (Arc::clone(&record), Arc::clone(&counts));
        callers.push(tokio::spawn(call(
            record_of_call,
            counts_of_call,
            daemon,
            number,
        )));
        if Instant::now() >= next_usage {
            next_usage += USAGE_INTERVAL;
            let usage: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.usage()).collect();
            record.line(&format!("descriptors and MB of the daemons: {usage:?}"));
        }
        sleep(REQUEST_INTERVAL).await;
    }
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    let unanswered = counts.unanswered.load(Ordering::Relaxed);
    let still_unanswered = counts.still_unanswered.load(Ordering::Relaxed);
    let summary = format!(
        "{} requests, {} served; {unanswered} without an answer at the route's timeout, \
         {still_unanswered} half a second later",
        counts.sent.load(Ordering::Relaxed),
        counts.served.load(Ordering::Relaxed),
    );
    record.line(&summary);
    println!("{summary}");
    let is_broken = still_unanswered >= UNANSWERED_MIN && still_unanswered * 2 > unanswered;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
