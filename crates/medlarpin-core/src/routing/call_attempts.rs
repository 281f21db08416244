use super::Repeatability;
use crate::ids::LeafId;

/// Leaf requests that may be sent beyond the route's limit, since some, such as those to full
/// leafs, are rejected without being run.
const NOT_RUN_EXTRA_MAX: usize = 2;

/// The leaf requests of one request to a service, and what may still be sent.
#[derive(Debug, Clone)]
pub struct CallAttempts {
    repeatability: Repeatability,
    /// Maximum number of distinct leafs that may run the request; at least 1.
    leafs_max: usize,
    /// Leafs that the request was sent to, in order.
    tried: Vec<LeafId>,
    /// Leafs that may have run the request, without duplicates.
    may_have_run_on: Vec<LeafId>,
    /// Leafs that rejected the request, without duplicates.
    rejected_by: Vec<LeafId>,
    /// Leaf requests that certainly reached no leaf of the service; at most `tried.len()`.
    not_arrived: usize,
}

impl CallAttempts {
    /// Creates the state of a request that has not been sent to a leaf.
    #[must_use]
    pub fn new(repeatability: Repeatability, leafs_max: u32) -> Self {
        Self {
            repeatability,
            leafs_max: usize::try_from(leafs_max).unwrap_or(usize::MAX),
            tried: Vec::new(),
            may_have_run_on: Vec::new(),
            rejected_by: Vec::new(),
            not_arrived: 0,
        }
    }

    /// Creates the state of a request that is sent to a single leaf, because equal ones have lost
    /// leafs.
    #[must_use]
    pub fn canary() -> Self {
        Self::new(Repeatability::AtMostOnce, 1)
    }

    /// Records that the request is sent to a leaf.
    pub fn sent(&mut self, leaf: &LeafId) {
        self.tried.push(leaf.clone());
    }

    /// Records that a leaf request reached no leaf of the service.
    pub fn not_arrived(&mut self) {
        self.not_arrived += 1;
    }

    /// Records that a leaf rejected the request without running it.
    pub fn rejected(&mut self, leaf: &LeafId) {
        if !self.rejected_by.contains(leaf) {
            self.rejected_by.push(leaf.clone());
        }
    }

    /// Records that a leaf may have run the request.
    pub fn may_have_run(&mut self, leaf: &LeafId) {
        if !self.may_have_run_on.contains(leaf) {
            self.may_have_run_on.push(leaf.clone());
        }
    }

    /// Returns true if the request may be sent to a leaf while no leaf request is in flight.
    #[must_use]
    pub fn may_send(&self) -> bool {
        let may_run_again = self.may_have_run_on.is_empty() || self.is_idempotent();
        may_run_again && self.tried.len() < self.leafs_max.saturating_add(NOT_RUN_EXTRA_MAX)
    }

    /// Returns true if the request may be sent to another leaf while `in_flight` leaf requests are
    /// unanswered.
    #[must_use]
    pub fn may_hedge(&self, in_flight: usize) -> bool {
        self.is_idempotent() && self.may_have_run_on.len() + in_flight < self.leafs_max
    }

    /// Returns true if the request may be sent to this leaf.
    ///
    /// The limit of leafs that run the request counts distinct ones, so that one that ran it may run it again. A
    /// request that may run at most once does not return to a leaf that rejected it: a late copy of the rejection
    /// could not be told from the answer of the run.
    #[must_use]
    pub fn may_send_to(&self, leaf: &LeafId) -> bool {
        if !self.is_idempotent() && self.rejected_by.contains(leaf) {
            return false;
        }
        self.may_have_run_on.len() < self.leafs_max || self.may_have_run_on.contains(leaf)
    }

    /// Returns true if the next leaf request counts as extra load on the service: an earlier one
    /// may have arrived there.
    #[must_use]
    pub fn next_is_extra(&self) -> bool {
        self.tried.len() > self.not_arrived
    }

    /// Returns the leafs that the request was sent to, in order.
    #[must_use]
    pub fn tried(&self) -> &[LeafId] {
        &self.tried
    }

    /// Returns true if the request may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.repeatability == Repeatability::Idempotent
    }
}
