//! The entry: receives callers' queries, sends them to the holders of the leaf groups and merges
//! the answers.

mod admission;
mod answer;
mod body;
mod canary_choice;
mod group;
mod http;
mod leaf_reports;
mod permit;
mod request;
mod run;
mod server;
mod team_admission;
mod ticketed;

pub use admission::{AdmissionTable, Limit};
pub use answer::{AnswerBody, OutcomeName};
pub use http::router;
pub use leaf_reports::LeafReports;
pub use server::{disconnect_slow_callers, serve_callers};
pub use ticketed::run_forwarded;
