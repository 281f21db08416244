use std::time::{Duration, Instant};

use medlarpin_core::canary::LossKind;
use medlarpin_core::prelude::{Fingerprint, LeafId};

use crate::unverified_report::UnverifiedReport;

/// Time after which a request no longer waits for the verification of a report. It takes half a second,
/// and a second if another one is in progress.
const VERIFICATION_TIME_MAX: Duration = Duration::from_secs(2);

/// A report that is being verified.
#[derive(Debug)]
pub(crate) struct PendingReport {
    /// The report's [`CrashReport::key`].
    pub(crate) key: u64,
    pub(crate) fingerprint: Fingerprint,
    /// Run of the lost leaf.
    pub(crate) leaf: LeafId,
    /// Time until which equal requests are refused. Those that come later, or if there is none, are sent to a
    /// single leaf.
    refused_until: Option<Instant>,
}

impl PendingReport {
    pub(crate) fn new(unverified: &UnverifiedReport) -> Self {
        let report = &unverified.report;
        let is_refused = match unverified.kind {
            LossKind::Broken => !unverified.is_unresolved,
            // It shows little.
            LossKind::Unanswered => false,
        };
        Self {
            key: report.key(),
            fingerprint: report.fingerprint,
            leaf: report.leaf.clone(),
            refused_until: is_refused.then(|| report.lost_at + VERIFICATION_TIME_MAX),
        }
    }

    /// Returns true if requests of the fingerprint are refused for now.
    pub(crate) fn refuses(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.fingerprint == fingerprint && self.refused_until.is_some_and(|until| now < until)
    }
}
