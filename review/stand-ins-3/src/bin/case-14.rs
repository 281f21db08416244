//! Leafs of one service state rates that change; then a leaf of another service states a low one.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use platform_stand_in::FakeStore;
use review_stand_ins_3::{EXIT_BROKEN, EXIT_NOT_RUN, Fleet, Leaf, Record, ask, has_trouble};
use serde_json::json;
use tokio::time::{interval, sleep, sleep_until};

const DAEMONS: usize = 8;
/// Leafs whose rates change.
const CHANGING_LEAFS: usize = 8;
/// Time for which only the rates of these leafs are stated.
const FIRST_PHASE: Duration = Duration::from_secs(40);
/// Time for which the other leaf states its low rate.
const SECOND_PHASE: Duration = Duration::from_secs(30);
/// Requests a second that it takes from all daemons together.
const LOW_RATE_PER_S: f64 = 1.0;
/// The rule's `stabilityWindowMs`.
const STABILITY_WINDOW: Duration = Duration::from_millis(4_000);
/// Time after which an answer that a daemon has passed on counts for the rule.
const PASSED_ON: Duration = Duration::from_millis(500);
/// Window of the rule.
const WINDOW: Duration = Duration::from_secs(4);

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let [program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: case-14 PROGRAM FOLDER RECORD");
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
    let store = FakeStore::start()?;
    let mut changing = Vec::new();
    for number in 0..CHANGING_LEAFS {
        let leaf = Leaf::start(&format!("a{number}"), b"0123456789abcdef", &record).await?;
        store.put(&format!("servers/a{number}"), &leaf.entry("busy", "z1", 1));
        changing.push(leaf);
    }
    let low = Leaf::start("b0", b"0123456789abcdef", &record).await?;
    store.put("servers/b0", &low.entry("low", "z1", 1));
    let route = |name: &str, service: &str| {
        json!({"name": name, "host": "search.example", "prefix": format!("/{name}/"),
            "type": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 500, "attempts": 1,
            "service": service})
    };
    store.put(
        "op/config",
        &json!({
            "version": 3, "routes": [route("busy", "busy"), route("low", "low")],
            "services": [
                {"name": "busy", "maxConns": 244, "healthPath": "/health"},
                {"name": "low", "maxConns": 244, "healthPath": "/health"},
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 5000,
                "idleTimeoutMs": 10_000},
        }),
    );
    let fleet = Fleet::start(DAEMONS, program, folder, store.address(), |_, _, _| {})?;
    if !fleet.wait_until_ready().await {
        eprintln!("a daemon is not ready");
        return Ok(ExitCode::from(EXIT_NOT_RUN));
    }
    record.line(format!("{DAEMONS} daemons are ready"));

    let numbers = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let first_end = started + FIRST_PHASE;
    let callers = fleet.daemons.iter().map(|daemon| {
        let (query, numbers, record) =
            (daemon.addresses.query, Arc::clone(&numbers), record.clone());
        tokio::spawn(async move {
            let mut ticks = interval(Duration::from_millis(50));
            loop {
                ticks.tick().await;
                let number = numbers.fetch_add(1, Ordering::Relaxed);
                let record = record.clone();
                tokio::spawn(async move {
                    let (path, id) = (format!("/busy/{number}"), format!("busy-{number}"));
                    let answer = ask(query, "GET", &path, &id, 2_000, b"").await;
                    record.line(format!(
                        "client: {id} got {} {}",
                        answer.status, answer.error
                    ));
                });
            }
        })
    });
    let callers: Vec<_> = callers.collect();

    // Each leaf states another rate once a second, or always the same one.
    let is_changing = has_trouble();
    let changes = tokio::spawn(async move {
        let mut ticks =
            interval(Duration::from_secs(1) / u32::try_from(CHANGING_LEAFS).unwrap_or(1));
        for step in 0_usize.. {
            ticks.tick().await;
            let is_high = is_changing && (step / CHANGING_LEAFS) % 2 == 1;
            let rate = if is_high { 150 } else { 120 };
            let lines = format!("Server-Limit: {rate}\r\n");
            changing[step % CHANGING_LEAFS].set_lines(&lines);
        }
    });
    sleep_until(first_end.into()).await;

    low.set_lines(&format!("Server-Limit: {LOW_RATE_PER_S}\r\n"));
    record.line(format!("leaf b0 states Server-Limit: {LOW_RATE_PER_S}"));
    let second_end = first_end + SECOND_PHASE;
    let low_callers = fleet.daemons.iter().enumerate().map(|(daemon, known)| {
        let (query, record) = (known.addresses.query, record.clone());
        tokio::spawn(async move {
            let mut ticks = interval(Duration::from_millis(200));
            let mut passed_on: Option<Instant> = None;
            for number in 0.. {
                ticks.tick().await;
                if Instant::now() >= second_end {
                    return passed_on;
                }
                let id = format!("low-{daemon}-{number}");
                let path = format!("/low/{daemon}/{number}");
                let answer = ask(query, "GET", &path, &id, 2_000, b"").await;
                record.line(format!(
                    "client: {id} got {} {}",
                    answer.status, answer.error
                ));
                let head = answer
                    .head
                    .filter(|head| !head.get("server-limit").is_empty());
                if head.is_some() {
                    passed_on.get_or_insert_with(Instant::now);
                }
            }
            passed_on
        })
    });
    let low_callers: Vec<_> = low_callers.collect();
    let mut passed_on = Vec::new();
    for caller in low_callers {
        passed_on.push(caller.await.ok().flatten());
    }
    changes.abort();
    for caller in callers {
        caller.abort();
    }
    sleep(Duration::from_millis(200)).await;

    // Only arrivals from daemons that had passed on an answer with the rate half a second before.
    let first_named = low
        .arrived()
        .iter()
        .map(|(at, _)| *at)
        .find(|at| *at >= first_end);
    let Some(first_named) = first_named else {
        eprintln!("no request reached the leaf with the low rate");
        return Ok(ExitCode::from(EXIT_NOT_RUN));
    };
    let counted: Vec<Instant> = low
        .arrived()
        .into_iter()
        .filter(|(at, id)| {
            let daemon = id
                .split('-')
                .nth(1)
                .and_then(|text| text.parse::<usize>().ok());
            let since = daemon.and_then(|daemon| passed_on.get(daemon).copied().flatten());
            since.is_some_and(|since| *at >= since + PASSED_ON)
                && *at >= first_named + STABILITY_WINDOW
        })
        .map(|(at, _)| at)
        .collect();
    let most = counted
        .iter()
        .map(|from| {
            counted
                .iter()
                .filter(|at| **at >= *from && **at < *from + WINDOW)
                .count()
        })
        .max()
        .unwrap_or(0);
    let allowed = 1.5 * LOW_RATE_PER_S * WINDOW.as_secs_f64() + 5.0;
    let knowing = passed_on.iter().flatten().count();
    let result = format!(
        "leaf b0 got at most {most} requests in 4 s from {knowing} daemons that had passed on its rate; {allowed} are allowed"
    );
    record.line(&result);
    println!("{result}");
    drop(fleet);
    #[expect(clippy::cast_precision_loss, reason = "the count is small")]
    let is_broken = most as f64 > allowed;
    Ok(ExitCode::from(if is_broken { EXIT_BROKEN } else { 0 }))
}
