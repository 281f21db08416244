use std::time::Instant;

use medlarpin_core::canary::{SilentLoss, Strike};
use medlarpin_core::ids::stable_hash;
use medlarpin_core::prelude::{Fingerprint, LeafId, RequestId};

/// A request that a leaf was running when its connection broke or it fell silent, while no leaf of the service
/// answered it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CrashReport {
    /// Identifies the request and the service of the leaf.
    pub(crate) fingerprint: Fingerprint,
    /// Identifies the request alone; `None` from a daemon of an older release.
    pub(crate) request: Option<Fingerprint>,
    /// Run of the leaf.
    pub(crate) leaf: LeafId,
    /// Hash of the request's identifier.
    pub(crate) request_hash: u64,
    /// Latest time at which the leaf is known to have lived before the request could end it.
    pub(crate) intact_at: Instant,
    /// Time at which the loss was noticed.
    pub(crate) lost_at: Instant,
    /// Latest time at which the leaf was found to be silent, if it is not known whether it has ended; `None` if it
    /// has.
    pub(crate) silent_at: Option<Instant>,
}

impl CrashReport {
    /// Returns the fingerprint under which the report counts: that of the request, whatever the service, as a
    /// route may move to another one.
    pub(crate) fn account(&self) -> Fingerprint {
        self.request.unwrap_or(self.fingerprint)
    }

    /// Returns the loss as it counts against the request if the leaf has ended.
    pub(crate) fn strike(&self) -> Strike {
        Strike {
            leaf: self.leaf.clone(),
            request: RequestId(self.request_hash.into()),
            origin: self.fingerprint,
            intact_at: self.intact_at,
            lost_at: self.lost_at,
        }
    }

    /// Returns the loss of a silent leaf; `None` if the leaf has ended.
    pub(crate) fn silent_loss(&self) -> Option<SilentLoss> {
        let silent_at = self.silent_at?;
        Some(SilentLoss {
            strike: self.strike(),
            silent_at,
        })
    }

    /// Returns the report of a silent loss under requests of an account.
    pub(crate) fn of_silent_loss(account: Fingerprint, loss: &SilentLoss) -> Self {
        let strike = &loss.strike;
        Self {
            fingerprint: strike.origin,
            request: Some(account),
            leaf: strike.leaf.clone(),
            // Only the lower half is used; see `Self::strike`.
            request_hash: u64::try_from(strike.request.0).unwrap_or_default(),
            intact_at: strike.intact_at,
            lost_at: strike.lost_at,
            silent_at: Some(loss.silent_at),
        }
    }

    /// Returns a hash that tells the report from others.
    pub(crate) fn key(&self) -> u64 {
        stable_hash(&[
            &self.fingerprint.0.to_le_bytes(),
            self.leaf.as_str().as_bytes(),
            &self.request_hash.to_le_bytes(),
        ])
    }
}
