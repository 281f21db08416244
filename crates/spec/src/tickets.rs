//! A ticket runs at most once, and `not_run` is only reported if no leaf ran the submission.
//!
//! One caller holds one ticket of one issuer and submits it several times, through the issuer or
//! through another entry daemon. The issuer may restart, the network may be partitioned, any
//! message may be lost or delayed forever, and the ticket may expire. Replies may be duplicated.
//! Requests may not, because each is sent once over a TCP connection and a resend is a new
//! submission. Every step may be delayed forever, which covers pauses of any length.

mod steps;

use medlarpin_core::prelude::*;
use medlarpin_core::tickets::{Ticket, TicketLimits, TicketTable};

use crate::explore::{Report, explore};

/// A deliberate fault in the protocol, which the check must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The ticket is redeemed in a separate step after the leaf request was sent.
    RedeemAfterSend,
    /// A resend starts another run although the ticket is still running.
    ResendStartsAnotherRun,
    /// A ticket runs although the issuer has no record of it, for example after a restart.
    UnknownTicketRuns,
    /// During a network partition, the entry daemon runs the ticket in place of the issuer.
    EntryRunsDuringPartition,
    /// A run whose answer does not arrive before the deadline counts as not run.
    ReleaseOnTimeout,
    /// A reply counts for the current run, whichever run it belongs to.
    ReplyUnchecked,
    /// A leaf request that expired in the queue is still sent, for example after a pause.
    SendAfterExpiry,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Number of submissions of the ticket.
    pub submissions: u8,
    /// Number of restarts of the issuer.
    pub restarts: u8,
    /// Number of network partitions.
    pub partitions: u8,
    /// Number of duplicated replies.
    pub duplicates: u8,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            submissions: 3,
            restarts: 1,
            partitions: 1,
            duplicates: 1,
        }
    }
}

/// Answer to the caller about one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Answer {
    Ran,
    NotRun,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    /// The other entry daemon forwards a submission to the issuer.
    Forward { submission: u8 },
    /// The issuer sends the leaf request of a run.
    LeafRequest { run: u8 },
    /// The leaf answers, or refuses the request without running it.
    LeafReply { run: u8, refused: bool },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// The ticket was redeemed and the leaf request waits in the queue.
    Queued,
    /// The leaf request was sent.
    Sent,
    /// The run was answered, or the issuer restarted.
    Completed,
    /// Completed, but the leaf request is still in the queue; only reached under
    /// [`Mutation::SendAfterExpiry`].
    CompletedInQueue,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Run {
    phase: Phase,
    /// The submissions that this run answers.
    submissions: Vec<u8>,
    /// True once a leaf has run the request.
    ran: bool,
    /// True while the ticket still has to be redeemed; only set under
    /// [`Mutation::RedeemAfterSend`].
    is_redeem_pending: bool,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    table: TicketTable,
    incarnation: u64,
    /// Current time, in ticket lifetimes.
    time: u32,
    runs: Vec<Run>,
    /// Messages in flight, sorted.
    network: Vec<Message>,
    /// Answer to each submission; `None` while there is none.
    answers: Vec<Option<Answer>>,
    is_partitioned: bool,
    restarts: u8,
    partitions: u8,
    duplicates: u8,
}

/// The constant parts of the model.
struct Model {
    bounds: Bounds,
    mutation: Option<Mutation>,
    start: Instant,
    team: TeamName,
    ticket: Ticket,
}

const FINGERPRINT: Fingerprint = Fingerprint(1);

fn empty_table(incarnation: u64) -> TicketTable {
    let limits = TicketLimits {
        lifetime: Duration::from_mins(10),
        ..TicketLimits::default()
    };
    TicketTable::new("issuer".into(), Incarnation(incarnation), limits)
}

/// Explores all states of the model within the bounds.
///
/// # Panics
///
/// Panics if an empty ticket table refuses to issue a ticket.
#[must_use]
pub fn check(bounds: Bounds, mutation: Option<Mutation>) -> Report<State> {
    let (start, team) = (Instant::now(), TeamName::new("team"));
    let mut table = empty_table(1);
    let ticket = table
        .issue(&team, 1, start)
        .expect("an empty table has room for a ticket");
    let model = Model {
        bounds,
        mutation,
        start,
        team,
        ticket,
    };
    let initial = State {
        table,
        incarnation: 1,
        time: 0,
        runs: Vec::new(),
        network: Vec::new(),
        answers: Vec::new(),
        is_partitioned: false,
        restarts: 0,
        partitions: 0,
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
