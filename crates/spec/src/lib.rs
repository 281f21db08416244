//! Specification of the core protocol, explored exhaustively for small bounds.
//!
//! Each module models one part of the protocol as states and steps. Where a decision is in
//! `medlarpin-core`, the model calls the shipped code. Each model can be given a mutation, which is one
//! way to get the protocol wrong; a check that does not find it would prove nothing.

pub mod connections;
pub mod coverage;
pub mod explore;
pub mod revisions;
pub mod tickets;
