//! The fingerprint table with recording of its changes.

use std::sync::Arc;

use medlarpin_core::canary::{Clearance, FingerprintTable, Quarantine};
use medlarpin_core::prelude::*;
use replay::{Event, FingerprintEvent, Millis, Timeline, fingerprint_outcome};
use serde_json::json;

use crate::recorder::Recorder;

/// The fingerprint table, whose changes go to the recorder while recording is on.
///
/// The clock is read while the table is locked, so that the recorded times of one fingerprint
/// follow the order of its changes.
#[derive(Debug)]
pub struct RecordedFingerprints {
    table: FingerprintTable,
    recorder: Arc<Recorder>,
    clock: Arc<dyn Clock>,
}

impl RecordedFingerprints {
    /// Creates an empty table.
    #[must_use]
    pub fn new(recorder: Arc<Recorder>, clock: Arc<dyn Clock>) -> Self {
        Self {
            table: FingerprintTable::new(),
            recorder,
            clock,
        }
    }

    /// Returns the table.
    #[must_use]
    pub fn table(&self) -> &FingerprintTable {
        &self.table
    }

    /// See [`FingerprintTable::start_canary`].
    pub fn start_canary(&mut self, fingerprint: Fingerprint) -> bool {
        let now = self.clock.now();
        self.record_new(fingerprint, now);
        let started = self.table.start_canary(fingerprint, now);
        if started {
            self.record(fingerprint, FingerprintEvent::StartCanary, now);
        }
        started
    }

    /// See [`FingerprintTable::canary_succeeded`].
    pub fn canary_succeeded(&mut self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        self.table.canary_succeeded(fingerprint, now);
        self.record(fingerprint, FingerprintEvent::CanarySucceeded, now);
    }

    /// See [`FingerprintTable::canary_inconclusive`].
    pub fn canary_inconclusive(&mut self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        self.table.canary_inconclusive(fingerprint);
        self.record(fingerprint, FingerprintEvent::CanaryInconclusive, now);
    }

    /// See [`FingerprintTable::strike`].
    pub fn strike(
        &mut self,
        fingerprint: Fingerprint,
        leaf: &LeafId,
        request: RequestId,
    ) -> Option<Quarantine> {
        let now = self.clock.now();
        let quarantine = self.table.strike(fingerprint, leaf, request, now);
        let event = || FingerprintEvent::Strike {
            leaf: leaf.to_string(),
            request: request.to_string(),
        };
        self.record_with(fingerprint, event, now);
        quarantine
    }

    /// See [`FingerprintTable::merge_quarantines`].
    pub fn merge_quarantines(&mut self, quarantines: &[Quarantine]) -> usize {
        let now = self.clock.now();
        let changed = self.table.merge_quarantines(quarantines, now);
        for quarantine in quarantines {
            let left = quarantine.until.saturating_duration_since(now);
            self.record_merge(quarantine.fingerprint, left, now);
        }
        changed
    }

    fn record_merge(&self, fingerprint: Fingerprint, left: Duration, now: Instant) {
        let event = |time: Timeline| FingerprintEvent::MergeQuarantine {
            until_ms: Millis(time.millis(now).0 + left),
        };
        self.record_at(fingerprint, event, now);
    }

    fn record(&self, fingerprint: Fingerprint, event: FingerprintEvent, now: Instant) {
        self.record_with(fingerprint, || event, now);
    }

    fn record_with(
        &self,
        fingerprint: Fingerprint,
        event: impl FnOnce() -> FingerprintEvent,
        now: Instant,
    ) {
        self.record_at(fingerprint, |_time| event(), now);
    }

    /// Records a change of a fingerprint if the recording contains all changes since the
    /// fingerprint's creating event.
    fn record_at(
        &self,
        fingerprint: Fingerprint,
        event: impl FnOnce(Timeline) -> FingerprintEvent,
        now: Instant,
    ) {
        if !self.recorder.is_on() {
            return;
        }
        let subject = subject_name(fingerprint);
        let Some(mut recording) = self.recorder.recording_at(now) else {
            return;
        };
        if recording.events_since_creation(&subject).is_some() {
            let time = Timeline::new(recording.start);
            let outcome = fingerprint_outcome(&self.table, fingerprint, now, time);
            recording.push(&subject, Event::Fingerprint(event(time)), outcome, now);
        }
    }

    /// Starts recording a fingerprint if the table holds no clearance, quarantine or strikes of it.
    fn record_new(&self, fingerprint: Fingerprint, now: Instant) {
        if !self.recorder.is_on() {
            return;
        }
        let is_new = self.table.check(fingerprint, now) == Clearance::NeedsCanary
            && self.table.leafs_with_strikes(fingerprint, now).is_empty();
        if is_new && let Some(mut recording) = self.recorder.recording_at(now) {
            let outcome = json!({"clearance": "needs_canary", "struck": []});
            let event = Event::Fingerprint(FingerprintEvent::New);
            recording.push(&subject_name(fingerprint), event, outcome, now);
        }
    }
}

fn subject_name(fingerprint: Fingerprint) -> String {
    format!("fingerprint {fingerprint}")
}
