use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;

use medlarpin_core::canary::LossKind;
use medlarpin_core::prelude::ServiceName;
use parking_lot::Mutex;

use crate::leaf::Leaf;
use crate::proof_key::ProofKey;

/// Number of lost leafs from which a request that none of them answered may be the cause.
const SUSPICIOUS_LOSSES: usize = 2;

/// A leaf whose connection broke, or that fell silent, while it may have been running a request.
#[derive(Debug, Clone)]
pub(crate) struct LostLeaf {
    pub(crate) service: ServiceName,
    pub(crate) leaf: Arc<Leaf>,
    pub(crate) kind: LossKind,
    /// Latest time at which the leaf is known to have lived before the request could end it.
    pub(crate) intact_at: Instant,
}

/// What the leaf requests of one caller's request, to one service or to all shards, show about
/// whether it crashes the leafs.
#[derive(Debug)]
pub(crate) struct CallEvidence {
    proof: ProofKey,
    is_answered: AtomicBool,
    in_flight: AtomicUsize,
    /// Leaf requests that were written, at least in part, and have no result yet.
    on_wire: AtomicUsize,
    /// Lost leafs of the services that have not answered.
    lost: Mutex<Vec<LostLeaf>>,
}

impl CallEvidence {
    /// Creates the evidence of a request of which nothing was sent.
    pub(crate) fn new(proof: ProofKey) -> Self {
        Self {
            proof,
            is_answered: AtomicBool::default(),
            in_flight: AtomicUsize::default(),
            on_wire: AtomicUsize::default(),
            lost: Mutex::default(),
        }
    }

    /// Returns the key by which it is recorded that leafs answered the request.
    pub(crate) fn proof(&self) -> ProofKey {
        self.proof
    }

    /// Records that a leaf request is sent.
    pub(crate) fn sent(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a leaf request has ended.
    pub(crate) fn ended(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that a leaf request is being written to its connection; it is on the wire until the
    /// guard is dropped.
    pub(crate) fn writing(&self) -> OnWireGuard<'_> {
        self.on_wire.fetch_add(1, Ordering::Relaxed);
        OnWireGuard(self)
    }

    /// Returns true if a leaf may be running a request whose result is not known. Requests that wait
    /// for a connection do not count.
    pub(crate) fn is_on_wire(&self) -> bool {
        self.on_wire.load(Ordering::Relaxed) > 0
    }

    /// Records that a leaf of a service answered successfully, which shows that the request does not
    /// crash the leafs of this service. An error shows nothing: the leaf may not have begun to run
    /// the request.
    pub(crate) fn answered(&self, service: &ServiceName) {
        self.is_answered.store(true, Ordering::Relaxed);
        self.lost.lock().retain(|lost| lost.service != *service);
    }

    /// Records that the connection to a leaf broke after the request was sent, or that the leaf fell
    /// silent.
    pub(crate) fn lost(&self, lost: LostLeaf) {
        let mut known = self.lost.lock();
        let run = lost.leaf.entry.run_id();
        let is_same = |known: &&mut LostLeaf| known.leaf.entry.run_id() == run;
        match known.iter_mut().find(is_same) {
            Some(known) if lost.kind == LossKind::Broken => known.kind = LossKind::Broken,
            Some(_) => {}
            None => known.push(lost),
        }
    }

    /// Returns true if a leaf of any service answered successfully.
    pub(crate) fn is_answered(&self) -> bool {
        self.is_answered.load(Ordering::Relaxed)
    }

    /// Returns true if the request may be what breaks the connections to leafs of the service, so that
    /// it should reach no further leaf of it.
    pub(crate) fn is_suspicious(&self, service: &ServiceName) -> bool {
        let lost = self.lost.lock();
        let of_service = lost.iter().filter(|lost| lost.service == *service);
        let is_any_suspicious = !self.is_answered() && lost.len() >= SUSPICIOUS_LOSSES;
        is_any_suspicious || of_service.count() >= SUSPICIOUS_LOSSES
    }

    /// Returns true if a leaf of the service was lost and none has answered.
    pub(crate) fn has_lost(&self, service: &ServiceName) -> bool {
        self.lost_count(service) > 0
    }

    /// Returns the number of lost leafs of the service; zero if one has answered.
    pub(crate) fn lost_count(&self, service: &ServiceName) -> usize {
        let lost = self.lost.lock();
        lost.iter().filter(|lost| lost.service == *service).count()
    }

    /// Returns true if a leaf request in flight may still show that the request is harmless.
    pub(crate) fn has_in_flight(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) > 0
    }

    /// Returns the lost leafs of the services that have not answered.
    pub(crate) fn lost_leafs(&self) -> Vec<LostLeaf> {
        self.lost.lock().clone()
    }
}

/// Counts a leaf request as being on the wire until it is dropped.
#[derive(Debug)]
pub(crate) struct OnWireGuard<'a>(&'a CallEvidence);

impl Drop for OnWireGuard<'_> {
    fn drop(&mut self) {
        self.0.on_wire.fetch_sub(1, Ordering::Relaxed);
    }
}
