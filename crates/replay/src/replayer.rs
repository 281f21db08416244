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
use crate::subjects::members::MemberView;
use crate::subjects::query::QueryState;
use crate::subjects::settings::SettingsStore;
use crate::subjects::{
    budget, fingerprints, leaf, members, pause, query, queue, settings, shares, tickets,
};
use crate::timeline::Timeline;
use crate::trace::{Trace, TraceEvent};

/// Simulated time that passes before a trace starts, because restored state can refer to earlier
/// times.
const TIME_BEFORE_START: Duration = Duration::from_hours(24);

/// Subjects of one kind by name; `None` until an event creates the subject.
type SubjectTable<T> = BTreeMap<String, Option<T>>;

/// State of all subjects of a replay.
#[derive(Debug, Default)]
struct Subjects {
    leafs: SubjectTable<LeafState>,
    queues: SubjectTable<FairQueue<String>>,
    budgets: SubjectTable<ExtraBudget>,
    queries: SubjectTable<QueryState>,
    tickets: SubjectTable<TicketTable>,
    fingerprints: SubjectTable<FingerprintTable>,
    settings: SubjectTable<SettingsStore>,
    members: SubjectTable<MemberView>,
    pauses: SubjectTable<PauseDetector>,
    shares: SubjectTable<ShareLedger>,
}

/// Replays a trace against the production code and returns the number of compared outcomes.
///
/// # Errors
///
/// Fails at the first event whose outcome differs from the expected one, whose subject was not
/// created or that is earlier than its predecessor.
pub fn replay(trace: &Trace) -> Result<usize, ReplayError> {
    let clock = ManualClock::new();
    clock.advance(TIME_BEFORE_START);
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
    /// Applies an event and returns its outcome; `None` if no earlier event has created the subject
    /// or pinned the index version that the event needs.
    fn apply(
        &mut self,
        event: &TraceEvent,
        now: Instant,
        time: Timeline,
        seed: u64,
    ) -> Option<Value> {
        let subject = event.subject.as_str();
        match &event.event {
            Event::Leaf(e) => leaf::apply(entry(&mut self.leafs, subject), e, now, time),
            Event::Queue(e) => queue::apply(entry(&mut self.queues, subject), e, now, time),
            Event::Budget(e) => budget::apply(entry(&mut self.budgets, subject), e, now),
            Event::Query(e) => query::apply(entry(&mut self.queries, subject), e),
            Event::Tickets(e) => tickets::apply(entry(&mut self.tickets, subject), e, now),
            Event::Fingerprint(e) => {
                fingerprints::apply(entry(&mut self.fingerprints, subject), e, now, time)
            }
            Event::Settings(e) => settings::apply(entry(&mut self.settings, subject), e),
            Event::Members(e) => members::apply(entry(&mut self.members, subject), e, now, seed),
            Event::Pause(e) => pause::apply(entry(&mut self.pauses, subject), e, now, time),
            Event::Shares(e) => shares::apply(entry(&mut self.shares, subject), e, now, time),
        }
    }
}

fn entry<'a, T>(table: &'a mut SubjectTable<T>, subject: &str) -> &'a mut Option<T> {
    table.entry(subject.to_owned()).or_default()
}
