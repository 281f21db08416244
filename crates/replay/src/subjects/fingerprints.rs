use std::time::Instant;

use medlarpin_core::canary::{Clearance, FingerprintTable, Quarantine};
use medlarpin_core::ids::{Fingerprint, LeafId, RequestId};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::timeline::{Millis, Timeline};

/// The fingerprint that a subject of this kind stands for; entries of different fingerprints do not
/// affect each other below the table's bounds.
const SUBJECT: Fingerprint = Fingerprint(0);

/// Events of one fingerprint in a daemon's table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FingerprintEvent {
    /// The table holds nothing about the fingerprint.
    New,
    /// A request asks what it may do.
    Check,
    /// A request claims the canary.
    StartCanary,
    /// The canary ran well.
    #[serde(rename = "canary_ok")]
    CanarySucceeded,
    /// The canary ended without showing anything.
    #[serde(rename = "canary_ended")]
    CanaryInconclusive,
    /// The connection was lost while the leaf ran the canary.
    Strike {
        /// The leaf.
        leaf: String,
        /// Request that the canary belongs to, as hex digits.
        request: String,
    },
    /// A peer has found a quarantine that ends at this time of the trace.
    #[serde(rename = "learn")]
    MergeQuarantine {
        /// End of the quarantine.
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
            let started = table.start_canary(SUBJECT, now);
            if !started {
                return Some(json!("not_started"));
            }
        }
        FingerprintEvent::CanarySucceeded => table.canary_succeeded(SUBJECT, now),
        FingerprintEvent::CanaryInconclusive => table.canary_inconclusive(SUBJECT),
        FingerprintEvent::Strike { leaf, request } => {
            let request = u128::from_str_radix(request, 16).unwrap_or_default();
            table.strike(SUBJECT, &LeafId::new(leaf), RequestId(request), now);
        }
        FingerprintEvent::MergeQuarantine { until_ms } => {
            let until = time.instant(*until_ms);
            let fingerprint = SUBJECT;
            table.merge_quarantines(&[Quarantine { fingerprint, until }], now);
        }
    }
    Some(outcome(table, SUBJECT, now, time))
}

/// Returns what the table says about a fingerprint.
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
    let struck = table.struck_leafs(fingerprint, now);
    let struck: Vec<&str> = struck.iter().map(LeafId::as_str).collect();
    json!({"clearance": clearance, "struck": struck})
}
