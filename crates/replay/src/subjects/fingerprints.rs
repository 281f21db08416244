use std::time::Instant;

use medlarpin_core::canary::{Clearance, FingerprintTable, Quarantine};
use medlarpin_core::ids::{Fingerprint, LeafId, RequestId};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::timeline::{Millis, Timeline};

/// The only fingerprint in the table of a subject.
///
/// Each subject has its own table: the entries of different fingerprints do not affect each other
/// while the table is below its capacity.
const FINGERPRINT: Fingerprint = Fingerprint(0);

/// Events of one fingerprint in a daemon's table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FingerprintEvent {
    /// Creates a table without an entry for the fingerprint.
    New,
    /// Checks whether a request needs a canary, without changing the table.
    Check,
    /// A request attempts to start the canary.
    StartCanary,
    /// The canary succeeded.
    #[serde(rename = "canary_ok")]
    CanarySucceeded,
    /// The canary neither succeeded nor lost its connection; for example, it was refused.
    #[serde(rename = "canary_ended")]
    CanaryInconclusive,
    /// The leaf's connection was lost while it ran the canary.
    Strike {
        /// Identifier of the leaf.
        leaf: String,
        /// Identifier of the canary's request, in hexadecimal.
        request: String,
    },
    /// A peer reports a quarantine.
    #[serde(rename = "learn")]
    MergeQuarantine {
        /// End of the quarantine, as a time of the trace.
        until_ms: Millis,
    },
}

pub(crate) fn apply(
    subject: &mut Option<FingerprintTable>,
    event: &FingerprintEvent,
    now: Instant,
    time: Timeline,
) -> Option<Value> {
    if matches!(event, FingerprintEvent::New) {
        *subject = Some(FingerprintTable::new());
    }
    let table = subject.as_mut()?;
    match event {
        FingerprintEvent::New | FingerprintEvent::Check => {}
        FingerprintEvent::StartCanary => {
            let started = table.start_canary(FINGERPRINT, now);
            if !started {
                return Some(json!("not_started"));
            }
        }
        FingerprintEvent::CanarySucceeded => table.canary_succeeded(FINGERPRINT, now),
        FingerprintEvent::CanaryInconclusive => table.canary_inconclusive(FINGERPRINT),
        FingerprintEvent::Strike { leaf, request } => {
            let request = u128::from_str_radix(request, 16).unwrap_or_default();
            table.strike(FINGERPRINT, &LeafId::new(leaf), RequestId(request), now);
        }
        FingerprintEvent::MergeQuarantine { until_ms } => {
            let until = time.instant(*until_ms);
            let quarantine = Quarantine {
                fingerprint: FINGERPRINT,
                until,
            };
            table.merge_quarantines(&[quarantine], now);
        }
    }
    Some(outcome(table, FINGERPRINT, now, time))
}

/// Returns the clearance of a fingerprint and the leafs that it struck, as recorded in traces.
#[must_use]
pub fn outcome(
    table: &FingerprintTable,
    fingerprint: Fingerprint,
    now: Instant,
    time: Timeline,
) -> Value {
    let clearance = match table.check(fingerprint, now) {
        Clearance::Proven => json!("proven"),
        Clearance::NeedsCanary => json!("needs_canary"),
        Clearance::CanaryRunning => json!("canary_running"),
        Clearance::Quarantined { until } => json!({"quarantined_until_ms": time.whole_ms(until)}),
    };
    let struck = table.leafs_with_strikes(fingerprint, now);
    let struck: Vec<&str> = struck.iter().map(LeafId::as_str).collect();
    json!({"clearance": clearance, "struck": struck})
}
