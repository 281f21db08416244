//! Models of the core protocol, checked exhaustively for small bounds.
//!
//! Each module models one part of the protocol as states and steps. Decisions that `medlarpin-core`
//! makes are made by calling its production code. A model can be run with a mutation, which breaks
//! the protocol in one known way. The tests require a counterexample for every mutation, which
//! shows that the check can find such a fault.

pub mod connections;
pub mod coverage;
pub mod explore;
pub mod revisions;
pub mod tickets;
