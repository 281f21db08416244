//! Work of a gatherer for each leaf request, and operations on the tables of tickets and
//! fingerprints.

use medlarpin_core::extra_budget::{ExtraBudget, Urgency, try_spend_both};
use medlarpin_core::fair_queue::FairQueue;
use medlarpin_core::latency_window::{LatencyWindow, hedge_delay};
use medlarpin_core::leaf_state::LeafState;
use medlarpin_core::prelude::*;
use medlarpin_core::rate_limiter::RateLimiter;
use medlarpin_core::team_share::{ShareLedger, UNITS_PER_QUERY, UnitKind};

use crate::capacity::fixtures;
use crate::capacity::memory::{
    filled_fingerprint_table, filled_ticket_table, fingerprint, pseudo_random,
};
use crate::capacity::slope::Slope;
use crate::capacity::timing::Timer;

const REQUESTS: [u32; 3] = [1_000, 10_000, 50_000];
/// Time between two requests of the generated load.
const REQUEST_INTERVAL: Duration = Duration::from_micros(100);
/// Tickets issued and redeemed, or fingerprints checked and renewed, in each timed run.
const LOOKUPS: usize = 1_000;

/// Measures the costs of leaf requests and of the two tables.
pub fn measure(timer: Timer) -> Vec<Slope> {
    let per_request = |quantity, mechanism, run: fn(u32)| Slope {
        quantity,
        mechanism,
        size: "requests",
        points: REQUESTS
            .map(|requests| {
                let time_us = timer.time_us(|| (), |()| run(requests));
                (f64::from(requests), time_us)
            })
            .to_vec(),
    };
    vec![
        per_request(
            "push and pop, 1 team waiting, us",
            "medlarpin-core fair_queue",
            |requests| push_and_pop(requests, 1),
        ),
        per_request(
            "push and pop, 5 teams waiting, us",
            "medlarpin-core fair_queue",
            |requests| push_and_pop(requests, 5),
        ),
        per_request(
            "push and pop, 50 teams waiting, us",
            "medlarpin-core fair_queue",
            |requests| push_and_pop(requests, 50),
        ),
        per_request(
            "may_send, sent, answered, us",
            "medlarpin-core leaf_state",
            send_and_answer,
        ),
        per_request(
            "hedge delay, us",
            "medlarpin-core latency_window",
            record_and_hedge_delay,
        ),
        per_request(
            "earn, record_result, try_spend of both budgets, us",
            "medlarpin-core extra_budget",
            earn_and_spend,
        ),
        per_request(
            "rate limiter and ledger of one query, us",
            "medlarpin-core rate_limiter, team_share",
            limit_rate,
        ),
        table_slope(
            "issue and burn one ticket, us",
            "medlarpin-core tickets",
            "tickets",
            [1_000, 10_000, 90_000],
            timer,
            &ticket_us,
        ),
        table_slope(
            "check and renew one fingerprint, us",
            "medlarpin-core canary",
            "fingerprints",
            [1_000, 10_000, 65_536],
            timer,
            &fingerprint_us,
        ),
    ]
}

fn table_slope(
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

/// Pushes and pops an entry for each request while ten entries of each team are waiting.
fn push_and_pop(requests: u32, teams: usize) {
    let names: Vec<TeamName> = (0..teams)
        .map(|team| TeamName::new(&format!("team-{team:03}")))
        .collect();
    let start = Instant::now();
    let mut queue = FairQueue::default();
    queue.set_parallelism(3);
    queue.record_service_time(REQUEST_INTERVAL);
    let push = |queue: &mut FairQueue<u32>, item: u32, now: Instant| {
        let team = &names[item as usize % teams];
        // Cannot fail: the deadline is 10 s away.
        let _ = queue.push(team, 1, now + Duration::from_secs(10), item, now);
    };
    for item in 0..u32::try_from(teams).unwrap_or(1) * 10 {
        push(&mut queue, item, start);
    }
    for item in 0..requests {
        let now = start + REQUEST_INTERVAL * item;
        push(&mut queue, item, now);
        std::hint::black_box(queue.pop(now));
    }
}

fn send_and_answer(requests: u32) {
    let start = Instant::now();
    let mut state = LeafState::new(2, start);
    for request in 0..requests {
        let now = start + REQUEST_INTERVAL * request;
        if std::hint::black_box(state.may_send(now)).is_ok() {
            state.sent(now);
            state.answered(Duration::from_millis(3), now);
        }
    }
}

fn record_and_hedge_delay(requests: u32) {
    let start = Instant::now();
    let mut window = LatencyWindow::new();
    for request in 0..requests {
        // 10 s of requests fill all five slices of the window.
        let now = start + Duration::from_millis(1) * request;
        window.record(Duration::from_micros(u64::from(request % 9_000)), now);
        std::hint::black_box(hedge_delay(&window, Duration::from_millis(300), now));
    }
}

fn earn_and_spend(requests: u32) {
    let start = Instant::now();
    let (mut team, mut service) = (ExtraBudget::new(), ExtraBudget::new());
    for request in 0..requests {
        let now = start + REQUEST_INTERVAL * request;
        for budget in [&mut team, &mut service] {
            budget.earn();
            budget.record_result(false, Duration::from_micros(50), now);
        }
        std::hint::black_box(try_spend_both(&mut team, &mut service, Urgency::Late, now));
    }
}

fn limit_rate(requests: u32) {
    let start = Instant::now();
    let limit = 1_000 * UNITS_PER_QUERY * fixtures::VMS as u64;
    let team = TeamName::new("team");
    let mut ledger = ShareLedger::new(team, fixtures::vm_name(0), limit, UnitKind::Rate, start);
    ledger.set_vm_list(&fixtures::vm_list(1, 0..fixtures::VMS), true, start);
    ledger.skip_start_delay(start);
    let mut limiter = RateLimiter::new(start);
    for request in 0..requests {
        let now = start + REQUEST_INTERVAL * request;
        ledger.record_demand(UNITS_PER_QUERY, now);
        let units = ledger.available(now);
        // A refusal costs as much as an admission.
        let _ = std::hint::black_box(limiter.try_take(now, units));
    }
}

fn ticket_us(timer: Timer, size: usize) -> f64 {
    let now = Instant::now();
    let team = TeamName::new("e");
    let run = |mut table: medlarpin_core::tickets::TicketTable| {
        for index in size..size + LOOKUPS {
            if let Ok(ticket) = table.issue(&team, pseudo_random(index), now) {
                std::hint::black_box(table.redeem(&ticket, &team, Fingerprint(1), now));
            }
        }
        table
    };
    timer.time_us(|| filled_ticket_table(size), run) / LOOKUPS as f64
}

fn fingerprint_us(timer: Timer, size: usize) -> f64 {
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
    timer.time_us(|| filled_fingerprint_table(size), run) / LOOKUPS as f64
}
