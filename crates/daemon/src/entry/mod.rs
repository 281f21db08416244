//! The entry: receives callers' queries, runs them over the fleet and answers.

mod admission;
mod answer;
mod http;
mod request;
mod run;
mod ticketed;

pub use admission::{AdmissionTable, TeamPermit};
pub use answer::{AnswerBody, OutcomeName};
pub use http::router;
pub use request::RequestError;
pub use ticketed::run_forwarded;
