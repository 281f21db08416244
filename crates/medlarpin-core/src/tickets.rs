//! Single-use tickets: a request that is not idempotent runs at most once.
//!
//! Only the issuer can decide about a ticket, and it decides from memory. A ticket without a record
//! never runs, so dropping a record is always safe; only the answer becomes less precise.

mod table;
mod team_records;
mod ticket;

pub use table::{IssueRefusal, RedeemOutcome, TicketLimits, TicketTable};
pub use ticket::{ParseTicketError, Ticket};
