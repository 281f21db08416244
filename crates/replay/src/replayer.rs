use std::collections::BTreeMap;

use medlarpin_core::canary::FingerprintTable;
use medlarpin_core::extra_budget::ExtraBudget;
use medlarpin_core::fair_queue::FairQueue;
use medlarpin_core::leaf_state::LeafState;
use medlarpin_core::pause::PauseDetector;
use medlarpin_core::prelude::*;
use medlarpin_core::team_share::ShareLedger;
use medlarpin_core::tickets::TicketTable;
use serde_json::Value;

use crate::error::ReplayError;
use crate::event::Event;
use crate::subjects::members::Members;
use crate::subjects::query::QueryState;
use crate::subjects::settings::Store;
use crate::subjects::{
    budget, fingerprints, leaf, members, pause, query, queue, settings, shares, tickets,
};
use crate::timeline::Timeline;
use crate::trace::{Trace, TraceEvent};

/// Time before the start of a trace that restored state may refer to.
const PAST: Duration = Duration::from_hours(24);

type Table<T> = BTreeMap<String, Option<T>>;

/// The subjects of one replay.
#[derive(Debug, Default)]
struct Subjects {
    leafs: Table<LeafState>,
    queues: Table<FairQueue<String>>,
    budgets: Table<ExtraBudget>,
    queries: Table<QueryState>,
    tickets: Table<TicketTable>,
    fingerprints: Table<FingerprintTable>,
    settings: Table<Store>,
    members: Table<Members>,
    pauses: Table<PauseDetector>,
    shares: Table<ShareLedger>,
}

/// Replays a trace against the shipped code; returns the number of outcomes compared.
///
/// # Errors
///
/// Fails at the first event whose outcome differs from the stated one.
pub fn replay(trace: &Trace) -> Result<usize, ReplayError> {
    let clock = ManualClock::new();
    clock.advance(PAST);
    let timeline = Timeline::new(clock.now());
    let mut subjects = Subjects::default();
    for event in &trace.events {
        let at = timeline.instant(event.at_ms);
        let step = at.checked_duration_since(clock.now());
        let step = step.ok_or(ReplayError::OutOfOrder { line: event.line })?;
        clock.advance(step);
        let found = subjects.apply(event, clock.now(), timeline, trace.seed);
        let found = found.ok_or_else(|| ReplayError::MissingPrerequisite {
            line: event.line,
            subject: event.subject.clone(),
        })?;
        if found != event.expect {
            return Err(ReplayError::Mismatch {
                line: event.line,
                subject: event.subject.clone(),
                expected: event.expect.to_string(),
                found: found.to_string(),
            });
        }
    }
    Ok(trace.events.len())
}

impl Subjects {
    /// Applies an event; `None` if its subject does not exist.
    fn apply(
        &mut self,
        event: &TraceEvent,
        now: Instant,
        time: Timeline,
        seed: u64,
    ) -> Option<Value> {
        let on = event.subject.as_str();
        match &event.event {
            Event::Leaf(e) => leaf::apply(slot(&mut self.leafs, on), e, now, time),
            Event::Queue(e) => queue::apply(slot(&mut self.queues, on), e, now, time),
            Event::Budget(e) => budget::apply(slot(&mut self.budgets, on), e, now),
            Event::Query(e) => query::apply(slot(&mut self.queries, on), e),
            Event::Tickets(e) => tickets::apply(slot(&mut self.tickets, on), e, now),
            Event::Fingerprint(e) => {
                fingerprints::apply(slot(&mut self.fingerprints, on), e, now, time)
            }
            Event::Settings(e) => settings::apply(slot(&mut self.settings, on), e),
            Event::Members(e) => members::apply(slot(&mut self.members, on), e, now, seed),
            Event::Pause(e) => pause::apply(slot(&mut self.pauses, on), e, now, time),
            Event::Shares(e) => shares::apply(slot(&mut self.shares, on), e, now, time),
        }
    }
}

fn slot<'a, T>(table: &'a mut Table<T>, on: &str) -> &'a mut Option<T> {
    table.entry(on.to_owned()).or_default()
}
