//! At most one run for each ticket, and `not_run` only if no leaf ran the submission.
//!
//! One caller holds one ticket of one issuer and submits it several times, through the issuer or
//! through another entry. The issuer may restart, the fleet may split, any message may be lost or
//! delayed for ever, and time may pass beyond the ticket's life. Replies may be duplicated; requests
//! may not, because they travel once over a TCP connection and a resend is a new submission. Every
//! step may be delayed for ever, which covers a pause of any part that ends late.

mod steps;

use medlarpin_core::prelude::*;
use medlarpin_core::tickets::{Ticket, TicketLimits, TicketTable};

use crate::explore::{Report, explore};

/// One way to get the protocol wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The ticket is marked as used in a step after the leaf request was sent.
    BurnAfterSend,
    /// A resend that finds the ticket running starts another run.
    BurnForgottenOnResend,
    /// A ticket without a record runs, for example after a restart of the issuer.
    RecordlessTicketRuns,
    /// In a split fleet the entry runs the ticket in place of the issuer.
    EntryRunsWhenSplit,
    /// A run whose answer does not arrive in time counts as not run.
    ReleaseOnTimeout,
    /// A reply is taken for the current run whatever run it belongs to.
    ReplyUnchecked,
    /// Queued work that was given up at its deadline is sent after a pause all the same.
    SendAfterDrop,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Submissions of the ticket.
    pub submissions: u8,
    /// Restarts of the issuer.
    pub restarts: u8,
    /// Times that the fleet splits.
    pub splits: u8,
    /// Replies that are duplicated.
    pub duplicates: u8,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            submissions: 3,
            restarts: 1,
            splits: 1,
            duplicates: 1,
        }
    }
}

/// What the caller was told about one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Answer {
    Ran,
    NotRun,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    /// The other entry forwards a submission to the issuer.
    Forward { submission: u8 },
    /// The issuer sends the request of a run to the leaf.
    LeafRequest { run: u8 },
    /// The leaf answers; a refusal says that it did not run the request.
    LeafReply { run: u8, refused: bool },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// The ticket is burned and the leaf request waits in the queue.
    Queued,
    /// The leaf request was sent.
    Sent,
    /// The run was answered, or its daemon restarted.
    Ended,
    /// Ended, but still in the queue: reached by a mutation only.
    EndedInQueue,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Run {
    phase: Phase,
    /// The submissions that this run answers.
    submissions: Vec<u8>,
    /// True once a leaf ran the request.
    ran: bool,
    /// Burn that is still to be done: set by a mutation only.
    burn_is_due: bool,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    book: TicketTable,
    incarnation: u64,
    /// Ticket lifetimes that have passed.
    time: u32,
    runs: Vec<Run>,
    /// Sorted.
    network: Vec<Message>,
    /// Submissions made, with their answers.
    answers: Vec<Option<Answer>>,
    is_split: bool,
    restarts: u8,
    splits: u8,
    duplicates: u8,
}

/// The model with its fixed parts.
struct Model {
    bounds: Bounds,
    mutation: Option<Mutation>,
    start: Instant,
    team: TeamName,
    ticket: Ticket,
}

const FINGERPRINT: Fingerprint = Fingerprint(1);

fn empty_book(incarnation: u64) -> TicketTable {
    let limits = TicketLimits {
        lifetime: Duration::from_mins(10),
        ..TicketLimits::default()
    };
    TicketTable::new("issuer".into(), Incarnation(incarnation), limits)
}

/// Explores the model.
///
/// # Panics
///
/// Panics if an empty ticket book refuses to issue a ticket.
#[must_use]
pub fn check(bounds: Bounds, mutation: Option<Mutation>) -> Report<State> {
    let (start, team) = (Instant::now(), TeamName::new("team"));
    let mut book = empty_book(1);
    let ticket = book
        .issue(&team, 1, start)
        .expect("an empty book has room for a ticket");
    let model = Model {
        bounds,
        mutation,
        start,
        team,
        ticket,
    };
    let initial = State {
        book,
        incarnation: 1,
        time: 0,
        runs: Vec::new(),
        network: Vec::new(),
        answers: Vec::new(),
        is_split: false,
        restarts: 0,
        splits: 0,
        duplicates: 0,
    };
    explore(&initial, |state| model.successors(state), is_violated)
}

fn is_violated(state: &State) -> bool {
    let ran: Vec<_> = state.runs.iter().filter(|run| run.ran).collect();
    let was_told_not_run =
        |submission: &u8| state.answers[usize::from(*submission)] == Some(Answer::NotRun);
    ran.len() > 1
        || ran
            .iter()
            .any(|run| run.submissions.iter().any(was_told_not_run))
}
