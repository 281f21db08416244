//! Single-use tickets: a request that is not idempotent runs at most once.
//!
//! Only the daemon that issued a ticket decides whether it may run, based on records in memory. A
//! ticket without a record never runs, so evicting a record is always safe: the caller then gets a
//! less precise answer.

mod table;
mod team_records;
mod ticket;

pub use table::{IssueRefusal, RedeemOutcome, TicketLimits, TicketTable};
pub use ticket::{ParseTicketError, Ticket};
