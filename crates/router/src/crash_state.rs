use std::collections::VecDeque;
use std::time::{Duration, Instant};

use medlarpin_core::canary::{Clearance, FingerprintTable, SilentLossTable, Strike};
use medlarpin_core::ids::stable_hash;
use medlarpin_core::prelude::{Fingerprint, LeafId, RequestId, ServiceName};

use crate::crash_report::CrashReport;
use crate::pending_report::PendingReport;
use crate::proof_key::ProofKey;
use crate::request_clearance::{RequestClearance, Suspicion};
use crate::unverified_report::UnverifiedReport;

/// Reports that wait for a sign of whether their leafs have ended. Of further ones the oldest is dropped.
const UNRESOLVED_MAX: usize = 256;

/// What a daemon knows of requests that may end the leafs which run them.
#[derive(Debug, Default)]
pub(crate) struct CrashState {
    pub(crate) table: FingerprintTable,
    /// Losses of leafs that are silent, as this and other daemons have told.
    pub(crate) silent: SilentLossTable,
    /// The reports that are being verified.
    pub(crate) unverified: Vec<PendingReport>,
    /// Reports of leafs of which it is not known whether they have ended; at most [`UNRESOLVED_MAX`].
    pub(crate) unresolved: Vec<UnverifiedReport>,
    /// The latest reports, each with its key, oldest first.
    pub(crate) known_reports: VecDeque<(u64, CrashReport)>,
}

impl CrashState {
    /// Returns the time left of a quarantine.
    pub(crate) fn quarantine_left(
        &self,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Option<Duration> {
        match self.table.check(fingerprint, now) {
            Clearance::Quarantined { until } => Some(until.saturating_duration_since(now)),
            Clearance::Proven | Clearance::NeedsCanary | Clearance::CanaryRunning => None,
        }
    }

    /// Returns true if a leaf of the service has answered an equal request lately.
    pub(crate) fn is_proven(&self, proof: ProofKey, service: &ServiceName, now: Instant) -> bool {
        let part = fingerprint_of(proof.content_hash, service);
        self.table.is_part_proven(proof.fingerprint, part, now)
    }

    /// Returns true if no request is suspected of anything.
    pub(crate) fn is_free_of_suspects(&self) -> bool {
        self.table.is_free_of_suspects()
            && self.silent.is_empty()
            && self.unverified.is_empty()
            && self.unresolved.is_empty()
    }

    /// Returns the runs of leafs that may have ended under a request.
    pub(crate) fn unresolved_leafs(
        &self,
        fingerprint: Fingerprint,
    ) -> impl Iterator<Item = LeafId> {
        let unresolved = self.unresolved.iter().map(|unverified| &unverified.report);
        let unresolved = unresolved.map(|report| (report.fingerprint, &report.leaf));
        let pending = self.unverified.iter();
        let pending = pending.map(|pending| (pending.fingerprint, &pending.leaf));
        unresolved
            .chain(pending)
            .filter(move |(known, _)| *known == fingerprint)
            .map(|(_, leaf)| leaf.clone())
    }

    /// Decides whether and how a request to some services may run; `proof` is its key for these services.
    pub(crate) fn clearance(
        &self,
        proof: ProofKey,
        services: &[ServiceName],
        now: Instant,
    ) -> RequestClearance {
        let request = proof.content_hash;
        let account = Fingerprint(request);
        if let Some(left) = self.quarantine_left(account, now) {
            return RequestClearance::Quarantined { left };
        }
        if let Some(left) = self.withheld_left(account, now) {
            return RequestClearance::Withheld { left };
        }
        let mut is_unverified = false;
        let mut suspicions = Vec::new();
        for service in services {
            let fingerprint = fingerprint_of(request, service);
            if let Some(left) = self.quarantine_left(fingerprint, now) {
                return RequestClearance::Quarantined { left };
            }
            let mut unverified = self.unverified.iter();
            is_unverified |= unverified.any(|pending| pending.refuses(fingerprint, now));
            suspicions.extend(self.suspicion(account, service, now));
        }
        if suspicions.is_empty()
            && let Some(service) = services.first()
        {
            // A route that moves takes the suspicion with it.
            let lost = self.table.leafs_with_strikes(account, now);
            if !lost.is_empty() && !self.is_proven(proof, service, now) {
                suspicions.push(Suspicion {
                    service: service.clone(),
                    lost,
                    is_confirmed: true,
                });
            }
        }
        if is_unverified {
            RequestClearance::Unverified
        } else if suspicions.is_empty() {
            RequestClearance::Clear
        } else {
            RequestClearance::Suspect(suspicions)
        }
    }

    /// Returns the suspicion that a request of the account has ended leafs of a service, if there is one.
    fn suspicion(
        &self,
        account: Fingerprint,
        service: &ServiceName,
        now: Instant,
    ) -> Option<Suspicion> {
        let fingerprint = fingerprint_of(account.0, service);
        // Those under the request's account, and those that daemons of an older release reported.
        let strikes = self.table.strikes(account, now);
        let strikes = strikes.chain(self.table.strikes(fingerprint, now));
        let silent = self.silent.losses(account, now).map(|loss| &loss.strike);
        let of_service = strikes
            .chain(silent)
            .filter(|strike| strike.origin == fingerprint);
        let mut lost: Vec<LeafId> = of_service.map(|strike| strike.leaf.clone()).collect();
        let is_confirmed = !lost.is_empty();
        lost.extend(self.unresolved_leafs(fingerprint));
        (!lost.is_empty()).then(|| Suspicion {
            service: service.clone(),
            lost,
            is_confirmed,
        })
    }

    /// Returns the time for which requests of the account are withheld, unless the leafs stay silent for longer;
    /// `None` if they may run.
    pub(crate) fn withheld_left(&self, account: Fingerprint, now: Instant) -> Option<Duration> {
        let strikes: Vec<&Strike> = self.table.strikes(account, now).collect();
        let until = self.silent.withheld_until(account, &strikes, now)?;
        Some(until.saturating_duration_since(now))
    }

    /// Keeps a report of a leaf of which it is not known whether it has ended.
    pub(crate) fn keep_unresolved(&mut self, mut unverified: UnverifiedReport) {
        if self.unresolved.len() >= UNRESOLVED_MAX {
            self.unresolved.remove(0);
        }
        unverified.is_unresolved = true;
        self.unresolved.push(unverified);
    }

    /// Removes the loss of a report from those of silent leafs.
    pub(crate) fn remove_silent(&mut self, report: &CrashReport) {
        let request = RequestId(report.request_hash.into());
        self.silent.remove(report.account(), &report.leaf, request);
    }

    /// Returns true if the report with this key counts as a strike, or has.
    pub(crate) fn is_counted(&self, key: u64) -> bool {
        self.known_reports.iter().any(|(known, _)| *known == key)
    }

    /// Returns the reports of an account whose leafs have ended.
    pub(crate) fn ended_reports(&self, account: Fingerprint) -> Vec<CrashReport> {
        let known = self.known_reports.iter().map(|(_, known)| known);
        let of_account = known.filter(|known| known.account() == account);
        of_account.cloned().collect()
    }

    /// Returns the reports of an account whose leafs are silent.
    pub(crate) fn silent_reports(
        &self,
        account: Fingerprint,
        now: Instant,
    ) -> impl Iterator<Item = CrashReport> {
        let losses = self.silent.losses(account, now);
        losses.map(move |loss| CrashReport::of_silent_loss(account, loss))
    }
}

/// Returns the fingerprint of a request to a service; `request` is the request's hash.
pub(crate) fn fingerprint_of(request: u64, service: &ServiceName) -> Fingerprint {
    Fingerprint(stable_hash(&[
        &request.to_le_bytes(),
        service.as_str().as_bytes(),
    ]))
}
