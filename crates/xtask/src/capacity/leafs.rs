//! What a gatherer computes for each leaf request, and the tables of tickets and fingerprints.

use medlarpin_core::extra_budget::{ExtraBudget, try_spend_both};
use medlarpin_core::fair_queue::FairQueue;
use medlarpin_core::latency_window::{LatencyWindow, hedge_delay};
use medlarpin_core::leaf_state::LeafState;
use medlarpin_core::prelude::*;
use medlarpin_core::rate_limiter::RateLimiter;
use medlarpin_core::team_share::{ShareLedger, UNITS_PER_QUERY, UnitKind};

use crate::capacity::fixtures;
use crate::capacity::memory::{filled_book, filled_table, fingerprint, spread};
use crate::capacity::slope::Slope;
use crate::capacity::timing::Timer;

const REQUESTS: [u32; 3] = [1_000, 10_000, 50_000];
/// Time between two requests of the generated load.
const STEP: Duration = Duration::from_micros(100);
/// Look-ups in the tables of tickets and fingerprints for each measurement.
const LOOKUPS: usize = 1_000;

/// Measures the costs of requests and of the two tables.
pub fn measure(timer: Timer) -> Vec<Slope> {
    let per_request = |quantity, mechanism, run: fn(u32)| Slope {
        quantity,
        mechanism,
        size: "requests",
        points: REQUESTS
            .map(|n| (f64::from(n), timer.time_us(|| (), |()| run(n))))
            .to_vec(),
    };
    let ticket = ticket_us;
    let clearance = clearance_us;
    vec![
        per_request(
            "push and pop, 1 team waiting, us",
            "medlarpin-core fair_queue",
            |n| queue(n, 1),
        ),
        per_request(
            "push and pop, 5 teams waiting, us",
            "medlarpin-core fair_queue",
            |n| queue(n, 5),
        ),
        per_request(
            "push and pop, 50 teams waiting, us",
            "medlarpin-core fair_queue",
            |n| queue(n, 50),
        ),
        per_request(
            "may_send, sent, answered, us",
            "medlarpin-core leaf_state",
            leaf_state,
        ),
        per_request("hedge delay, us", "medlarpin-core latency_window", hedge),
        per_request(
            "earn, record_result, try_spend of both budgets, us",
            "medlarpin-core extra_budget",
            budgets,
        ),
        per_request(
            "rate limiter and ledger of one query, us",
            "medlarpin-core rate_limiter, team_share",
            limiter,
        ),
        table(
            "issue and burn one ticket, us",
            "medlarpin-core tickets",
            "tickets",
            [1_000, 10_000, 90_000],
            timer,
            &ticket,
        ),
        table(
            "check and renew one fingerprint, us",
            "medlarpin-core canary",
            "fingerprints",
            [1_000, 10_000, 65_536],
            timer,
            &clearance,
        ),
    ]
}

fn table(
    quantity: &'static str,
    mechanism: &'static str,
    size: &'static str,
    sizes: [usize; 3],
    timer: Timer,
    cost: &dyn Fn(Timer, usize) -> f64,
) -> Slope {
    let points = sizes.map(|size| (size as f64, cost(timer, size))).to_vec();
    Slope {
        quantity,
        mechanism,
        size,
        points,
    }
}

/// Keeps ten entries of each team waiting.
fn queue(requests: u32, teams: usize) {
    let names: Vec<TeamName> = (0..teams)
        .map(|team| TeamName::new(&format!("team-{team:03}")))
        .collect();
    let start = Instant::now();
    let mut queue = FairQueue::default();
    queue.set_parallelism(3);
    queue.record_service_time(STEP);
    let push = |queue: &mut FairQueue<u32>, item: u32, now: Instant| {
        let team = &names[item as usize % teams];
        // Deadlines are far away, so nothing is refused.
        let _ = queue.push(team, 1, now + Duration::from_secs(10), item, now);
    };
    for item in 0..u32::try_from(teams).unwrap_or(1) * 10 {
        push(&mut queue, item, start);
    }
    for item in 0..requests {
        let now = start + STEP * item;
        push(&mut queue, item, now);
        std::hint::black_box(queue.pop(now));
    }
}

fn leaf_state(requests: u32) {
    let start = Instant::now();
    let mut state = LeafState::new(2, start);
    for request in 0..requests {
        let now = start + STEP * request;
        if std::hint::black_box(state.may_send(now)).is_ok() {
            state.sent(now);
            state.answered(Duration::from_millis(3), now);
        }
    }
}

fn hedge(requests: u32) {
    let start = Instant::now();
    let mut window = LatencyWindow::new();
    for request in 0..requests {
        // All five slices are in use after 10 s.
        let now = start + Duration::from_millis(1) * request;
        window.record(Duration::from_micros(u64::from(request % 9_000)), now);
        std::hint::black_box(hedge_delay(&window, Duration::from_millis(300), now));
    }
}

fn budgets(requests: u32) {
    let start = Instant::now();
    let (mut team, mut service) = (ExtraBudget::new(), ExtraBudget::new());
    for request in 0..requests {
        let now = start + STEP * request;
        for budget in [&mut team, &mut service] {
            budget.earn();
            budget.record_result(false, Duration::from_micros(50), now);
        }
        std::hint::black_box(try_spend_both(&mut team, &mut service, now));
    }
}

fn limiter(requests: u32) {
    let start = Instant::now();
    let limit = 1_000 * UNITS_PER_QUERY * fixtures::VMS as u64;
    let team = TeamName::new("team");
    let mut ledger = ShareLedger::new(team, fixtures::vm_name(0), limit, UnitKind::Rate, start);
    ledger.set_vm_list(&fixtures::vm_list(1, 0..fixtures::VMS), true, start);
    ledger.confirm_start(start);
    let mut limiter = RateLimiter::new(start);
    for request in 0..requests {
        let now = start + STEP * request;
        ledger.record_demand(UNITS_PER_QUERY, now);
        let units = ledger.available(now);
        // A refusal costs as much as an admission.
        let _ = std::hint::black_box(limiter.try_take(now, units));
    }
}

fn ticket_us(timer: Timer, size: usize) -> f64 {
    let now = Instant::now();
    let team = TeamName::new("e");
    let run = |mut book: medlarpin_core::tickets::TicketTable| {
        for index in size..size + LOOKUPS {
            if let Ok(ticket) = book.issue(&team, spread(index), now) {
                std::hint::black_box(book.redeem(&ticket, &team, Fingerprint(1), now));
            }
        }
        book
    };
    timer.time_us(|| filled_book(size), run) / LOOKUPS as f64
}

fn clearance_us(timer: Timer, size: usize) -> f64 {
    let now = Instant::now();
    let keys: Vec<Fingerprint> = (0..LOOKUPS)
        .map(|index| fingerprint(index * 61 % size))
        .collect();
    let run = |mut table: medlarpin_core::canary::FingerprintTable| {
        for key in &keys {
            std::hint::black_box(table.check(*key, now));
            table.record_success(*key, now);
        }
        table
    };
    timer.time_us(|| filled_table(size), run) / LOOKUPS as f64
}
