//! Decisions of the query tier, free of sockets and of any runtime.
//!
//! Every function that depends on time takes it as an argument, so that tests, the specification
//! and trace replay run the code that ships.

pub mod answer;
pub mod canary;
pub mod catalog;
pub mod clock;
pub mod coverage;
pub mod ids;
pub mod plan;
pub mod prelude;
pub mod snapshot;
pub mod tickets;
