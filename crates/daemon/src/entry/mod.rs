//! The entry: receives callers' queries, sends them to the holders of the leaf groups and merges
//! the answers.

mod admission;
mod answer;
mod body;
mod canary_choice;
mod client_checks;
mod group;
mod http;
mod leaf_reports;
mod permit;
mod request;
mod run;
mod team_admission;
mod ticketed;

pub use admission::{AdmissionTable, Limit};
pub use answer::{AnswerBody, OutcomeName};
pub use client_checks::disconnect_slow_clients;
pub use http::router;
pub use leaf_reports::LeafReports;
pub use ticketed::run_forwarded;
