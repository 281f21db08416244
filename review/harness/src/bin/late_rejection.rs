//! A leaf that is full turns a request away and sends a copy of that answer late, before its next answer on
//! the connection. The next request on the connection may be the same one, so that its identifier does not
//! tell the copy from the answer.

use std::collections::HashMap;
use std::io;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform_stand_in::FakeStore;
use review_harness::{
    Case, Fleet, Leaf, LeafReply, LeafRequest, Record, Verdict, answer, ask, rejection, run_case,
};
use serde_json::json;
use tokio::time::sleep;

const DAEMONS: usize = 12;
const LEAFS: usize = 2;
/// The only leaf that sends extra answers: a share of 0.5.
const FAULTY: &str = "i-0";
/// Requests that a leaf works on at a time, and that it queues beyond these.
const SLOTS: usize = 2;
const QUEUE: usize = 2;
const WORK: Duration = Duration::from_millis(60);
const CALLERS: u64 = 24;
const THINK: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(4);
const RUN: Duration = Duration::from_secs(85);
/// The disruption comes for 5 s, again and again.
const PERIOD: Duration = Duration::from_secs(8);
const DISRUPTED: Duration = Duration::from_secs(5);
/// At most one in this many answers is sent a second time: 0.04 of them.
const EXTRA_EACH: u64 = 25;

/// State of a leaf.
#[derive(Default)]
struct State {
    in_system: usize,
    /// Copies of answers that are sent before the next answer, by connection.
    extra: HashMap<u64, Vec<u8>>,
    answers: u64,
    extra_answers: u64,
}

struct Shared {
    record: Record,
    started: Instant,
    is_disrupted: bool,
    /// Number of runs by request.
    runs: Mutex<HashMap<String, u32>>,
    /// Requests that were answered with a status which says that they have not run.
    refused: Mutex<Vec<String>>,
    next: AtomicU64,
}

impl Shared {
    fn is_disruption_on(&self) -> bool {
        let into = self.started.elapsed().as_millis() % PERIOD.as_millis();
        self.is_disrupted && into < DISRUPTED.as_millis()
    }
}

/// Takes a request out of the leaf when it ends or is dropped.
struct InSystem(Arc<Mutex<State>>);

impl Drop for InSystem {
    fn drop(&mut self) {
        self.0.lock().expect("no holder panics").in_system -= 1;
    }
}

fn main() -> ExitCode {
    run_case(run)
}

async fn serve(
    shared: Arc<Shared>,
    leaf: String,
    state: Arc<Mutex<State>>,
    slots: Arc<tokio::sync::Semaphore>,
    request: LeafRequest,
) -> LeafReply {
    let is_full = {
        let mut state = state.lock().expect("no holder panics");
        let is_full = state.in_system >= SLOTS + QUEUE;
        state.in_system += usize::from(!is_full);
        is_full
    };
    let id = &request.id;
    let own = if is_full {
        shared.record.line(&format!("{leaf} turns {id} away"));
        rejection(id)
    } else {
        let _in_system = InSystem(Arc::clone(&state));
        let _slot = slots.acquire().await.expect("the semaphore stays open");
        let runs = {
            let mut runs = shared.runs.lock().expect("no holder panics");
            let runs = runs.entry(id.clone()).or_default();
            *runs += 1;
            *runs
        };
        shared.record.line(&format!("{leaf} runs {id}, run {runs}"));
        sleep(WORK).await;
        answer(&leaf, id, b"ok", "")
    };
    let mut state = state.lock().expect("no holder panics");
    let mut bytes = state.extra.remove(&request.connection).unwrap_or_default();
    if !bytes.is_empty() {
        shared.record.line(&format!(
            "{leaf} sends a late copy before its answer to {id}"
        ));
    }
    state.answers += 1;
    let has_extra = leaf == FAULTY && is_full && state.extra_answers * EXTRA_EACH < state.answers;
    if has_extra && shared.is_disruption_on() {
        state.extra_answers += 1;
        state.extra.insert(request.connection, own.clone());
    }
    bytes.extend(own);
    LeafReply::Send(bytes)
}

async fn call(shared: Arc<Shared>, daemons: Vec<std::net::SocketAddr>) {
    while shared.started.elapsed() < RUN {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        let daemon = daemons[number as usize % daemons.len()];
        let result = ask(daemon, "POST", "/tally/1", &id, DEADLINE).await;
        let text = match &result {
            Ok(answer) => answer.status.to_string(),
            Err(error) => error.to_string(),
        };
        shared.record.line(&format!("answer to {id}: {text}"));
        if matches!(result, Ok(answer) if [408, 421, 429, 503].contains(&answer.status)) {
            shared.refused.lock().expect("no holder panics").push(id);
        }
        sleep(THINK).await;
    }
}

async fn run(case: Case) -> io::Result<Verdict> {
    let store = FakeStore::start()?;
    let shared = Arc::new(Shared {
        record: Record::create(&case.folder)?,
        started: Instant::now(),
        is_disrupted: case.is_disrupted,
        runs: Mutex::default(),
        refused: Mutex::default(),
        next: AtomicU64::default(),
    });
    for number in 0..LEAFS {
        let id = format!("i-{number}");
        let state = Arc::new(Mutex::new(State::default()));
        let slots = Arc::new(tokio::sync::Semaphore::new(SLOTS));
        let (handled, name) = (Arc::clone(&shared), id.clone());
        let leaf = Leaf::start(&id, move |request| {
            let (shared, state) = (Arc::clone(&handled), Arc::clone(&state));
            serve(shared, name.clone(), state, Arc::clone(&slots), request)
        });
        let entry = leaf.await?.entry("tallies", "ready", 1);
        store.put(&format!("servers/{id}"), &entry);
    }
    store.put(
        "op/config",
        &json!({
            "version": 1,
            "routes": [{
                "name": "tally", "host": "a.example", "prefix": "/tally/", "service": "tallies",
                "type": "non_idempotent", "attempts": 2, "timeoutMs": 4000, "targetLatencyMs": 600,
                "priority": 1,
            }],
            "services": [{"name": "tallies", "maxConns": 244, "healthPath": "/health"}],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576, "headerTimeoutMs": 5000,
                "idleTimeoutMs": 30000,
            },
        }),
    );
    let fleet = Fleet::start("late-rejection", DAEMONS, |_| store.address()).await?;
    let daemons: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.query).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(call(Arc::clone(&shared), daemons.clone())))
        .collect();
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    // A request that was refused must not run later either.
    sleep(DEADLINE).await;
    let runs = shared.runs.lock().expect("no holder panics").clone();
    let twice = runs.values().filter(|runs| **runs > 1).count();
    let refused = shared.refused.lock().expect("no holder panics").clone();
    let mut refused_and_run = 0;
    for id in refused.iter().filter(|id| runs.contains_key(*id)) {
        refused_and_run += 1;
        shared
            .record
            .line(&format!("{id} was refused with a promise and has run"));
    }
    let sent = shared.next.load(Ordering::Relaxed);
    let summary = format!(
        "{sent} requests; {refused_and_run} refused with a promise and run; {twice} ran more than once"
    );
    shared.record.line(&summary);
    println!("{summary}");
    Ok(if refused_and_run > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
