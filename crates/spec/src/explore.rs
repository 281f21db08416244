//! Breadth-first exploration of the states of a model.

use std::cell::Cell;
use std::fmt;
use std::hash::Hash;
use std::time::{Duration, Instant};

use pathfinding::directed::bfs::bfs;

/// Result of an exploration.
#[derive(Debug)]
pub struct Report<S> {
    /// Number of distinct states whose successors were computed.
    pub states: usize,
    /// Duration of the exploration.
    pub elapsed: Duration,
    /// Shortest path from the initial state to one that violates an invariant, if there is one.
    pub counterexample: Option<Vec<S>>,
}

impl<S> fmt::Display for Report<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} states in {:?}", self.states, self.elapsed)?;
        match &self.counterexample {
            Some(path) => write!(f, ", violated after {} steps", path.len() - 1),
            None => f.write_str(", no violation"),
        }
    }
}

/// Visits all reachable states; stops at the first state that violates an invariant.
pub fn explore<S: Clone + Eq + Hash>(
    initial: &S,
    successors: impl Fn(&S) -> Vec<S>,
    is_violated: impl Fn(&S) -> bool,
) -> Report<S> {
    let start = Instant::now();
    let states = Cell::new(0);
    let counting_successors = |state: &S| {
        states.set(states.get() + 1);
        successors(state)
    };
    let counterexample = bfs(initial, counting_successors, is_violated);
    Report {
        states: states.get(),
        elapsed: start.elapsed(),
        counterexample,
    }
}
