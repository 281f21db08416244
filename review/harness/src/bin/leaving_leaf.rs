//! A leaf begins to leave while the store is down, and says so in its answers. One daemon, whose links to
//! the leafs are cut, gets such an answer only through another daemon and passes it on to its caller.
//!
//! Each daemon reaches each leaf over an address of its own, so that the links of one can be cut and the leaf
//! knows who sent a request. For this each daemon has a copy of the store; both are written alike.

use std::collections::HashMap;
use std::io;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use platform_stand_in::{FakeLink, FakeStore, LinkCut, StoreMode};
use review_harness::{
    Case, Fleet, Leaf, LeafReply, LeafRequest, Record, Verdict, answer, ask, run_case,
};
use serde_json::{Value, json};
use tokio::time::{sleep, sleep_until};

const DAEMONS: usize = 2;
const LEAFS: usize = 2;
/// Number of the daemon whose links are cut, and of the leaf that leaves. The route has a single caller,
/// which the balancer has sent to that daemon.
const STRANDED: usize = 0;
const LEAVING: usize = 0;
const DOWN_AT: Duration = Duration::from_millis(8_000);
/// The brief says that the store can be down for long periods.
const DOWN_FOR: Duration = Duration::from_millis(8_000);
const CUT_AT: Duration = Duration::from_millis(8_200);
const CUT_FOR: Duration = Duration::from_millis(3_400);
const LEAVES_AT: Duration = Duration::from_millis(8_300);
/// The platform's `drainMs`. The leaf serves that long after the store has accepted that it drains, and a
/// little longer.
const DRAIN: Duration = Duration::from_millis(3_000);
const SERVES_LONGER: Duration = Duration::from_millis(1_000);
const RUN: Duration = Duration::from_secs(24);
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

struct Shared {
    record: Record,
    started: Instant,
    is_leaving: AtomicBool,
    has_left: AtomicBool,
    /// Time at which each request was sent.
    sent_at: Mutex<HashMap<String, Instant>>,
    /// Time at which each daemon first passed on an answer in which the leaf says that it is leaving.
    passed_on_at: Mutex<[Option<Instant>; DAEMONS]>,
    late: AtomicU64,
}

fn main() -> ExitCode {
    run_case(run)
}

async fn serve(
    shared: Arc<Shared>,
    leaf: String,
    number: usize,
    daemon: usize,
    request: LeafRequest,
) -> LeafReply {
    let id = &request.id;
    shared
        .record
        .line(&format!("{leaf} runs {id} from daemon {daemon}"));
    if number != LEAVING {
        return LeafReply::Send(answer(&leaf, id, b"ok", ""));
    }
    if shared.has_left.load(Ordering::Relaxed) {
        return LeafReply::Close;
    }
    let sent_at = shared
        .sent_at
        .lock()
        .expect("no holder panics")
        .get(id)
        .copied();
    let passed_on_at = shared.passed_on_at.lock().expect("no holder panics")[daemon];
    if let (Some(sent_at), Some(passed_on_at)) = (sent_at, passed_on_at)
        && sent_at > passed_on_at + DRAIN
    {
        shared.late.fetch_add(1, Ordering::Relaxed);
        let after = sent_at.duration_since(passed_on_at).as_millis();
        shared.record.line(&format!(
            "{id} was sent {after} ms after daemon {daemon} had passed on that {leaf} leaves"
        ));
    }
    let is_leaving = shared.is_leaving.load(Ordering::Relaxed);
    let header = if is_leaving {
        "Server-Leaving: 1\r\n"
    } else {
        ""
    };
    LeafReply::Send(answer(&leaf, id, b"ok", header))
}

fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "sheet", "host": "a.example", "prefix": "/sheet/", "service": "sheets",
            "type": "idempotent", "attempts": 2, "timeoutMs": 4000, "targetLatencyMs": 600,
            "priority": 2,
        }],
        "services": [{"name": "sheets", "maxConns": 244, "healthPath": "/health"}],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    })
}

async fn run(case: Case) -> io::Result<Verdict> {
    let stores = Arc::new([FakeStore::start()?, FakeStore::start()?]);
    let shared = Arc::new(Shared {
        record: Record::create(&case.folder)?,
        started: Instant::now(),
        is_leaving: AtomicBool::default(),
        has_left: AtomicBool::default(),
        sent_at: Mutex::default(),
        passed_on_at: Mutex::default(),
        late: AtomicU64::default(),
    });
    // The links of the daemon that loses them.
    let mut links = Vec::new();
    let mut draining = Vec::new();
    for number in 0..LEAFS {
        let id = format!("i-{number}");
        for (daemon, store) in stores.iter().enumerate() {
            let (handled, name) = (Arc::clone(&shared), id.clone());
            let leaf = Leaf::start(&id, move |request| {
                serve(Arc::clone(&handled), name.clone(), number, daemon, request)
            });
            let mut leaf = leaf.await?;
            if daemon == STRANDED {
                let link = FakeLink::start(leaf.address).await?;
                leaf.address = link.address();
                links.push(link);
            }
            store.put(&format!("servers/{id}"), &leaf.entry("sheets", "ready", 1));
            if number == LEAVING {
                draining.push(leaf.entry("sheets", "draining", 2));
            }
        }
    }
    for store in stores.iter() {
        store.put("op/config", &config());
    }
    let fleet = Fleet::start("leaving-leaf", DAEMONS, |daemon| stores[daemon].address()).await?;
    let started = Instant::now();
    let is_disrupted = case.is_disrupted;
    let (platform, platform_shared) = (Arc::clone(&stores), Arc::clone(&shared));
    tokio::spawn(async move {
        let at = |after: Duration| sleep_until((started + after).into());
        let record = |text: &str| platform_shared.record.line(text);
        at(DOWN_AT).await;
        if is_disrupted {
            for store in platform.iter() {
                store.set_mode(StoreMode::Unavailable);
            }
            record("the store is down");
            at(CUT_AT).await;
            for link in &links {
                link.set_cut(Some(LinkCut::Reset));
            }
            record("the links of a daemon to all leafs are reset");
        }
        at(LEAVES_AT).await;
        platform_shared.is_leaving.store(true, Ordering::Relaxed);
        record("leaf i-0 begins to leave and says so in its answers");
        if is_disrupted {
            at(CUT_AT + CUT_FOR).await;
            for link in &links {
                link.set_cut(None);
            }
            record("the links are back");
            at(DOWN_AT + DOWN_FOR).await;
            for store in platform.iter() {
                store.set_mode(StoreMode::Serving);
            }
            record("the store is back");
        }
        for (store, entry) in platform.iter().zip(&draining) {
            store.put("servers/i-0", entry);
        }
        record("the store has accepted that leaf i-0 drains");
        sleep(DRAIN + SERVES_LONGER).await;
        platform_shared.has_left.store(true, Ordering::Relaxed);
        for store in platform.iter() {
            store.delete("servers/i-0");
        }
        record("leaf i-0 has left");
    });

    let mut number = 0_usize;
    while started.elapsed() < RUN {
        number += 1;
        let position = STRANDED;
        let daemon = fleet.daemons[position].query;
        let id = format!("r{number}");
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let sent_at = Instant::now();
            shared
                .sent_at
                .lock()
                .expect("no holder panics")
                .insert(id.clone(), sent_at);
            let result = ask(daemon, "GET", "/sheet/1", &id, Duration::from_secs(4)).await;
            let (text, says_leaving) = match &result {
                Ok(answer) => {
                    let stamp = answer
                        .header("x-medlarpin-server-stamp")
                        .unwrap_or("no stamp");
                    let says_leaving = answer.header("server-leaving") == Some("1");
                    (format!("{} {stamp}", answer.status), says_leaving)
                }
                Err(error) => (error.to_string(), false),
            };
            let note = if says_leaving {
                ", the leaf is leaving"
            } else {
                ""
            };
            shared.record.line(&format!(
                "answer to {id} at daemon {position}: {text}{note}"
            ));
            if says_leaving {
                let mut passed_on_at = shared.passed_on_at.lock().expect("no holder panics");
                passed_on_at[position].get_or_insert_with(Instant::now);
            }
        });
        sleep(REQUEST_INTERVAL).await;
    }
    sleep(Duration::from_secs(1)).await;
    let late = shared.late.load(Ordering::Relaxed);
    let summary = format!(
        "{number} requests in {:.0} s; {late} reached the leaving leaf from a machine that had passed on \
         its notice more than 3 s before they were sent",
        shared.started.elapsed().as_secs_f64()
    );
    shared.record.line(&summary);
    println!("{summary}");
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
