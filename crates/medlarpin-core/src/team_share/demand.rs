//! How many units a daemon should have.

use std::time::{Duration, Instant};

use super::{UNITS_PER_QUERY, UnitKind};
use crate::sliding_window::SlidingWindow;

/// Time between steps of the target.
const STEP: Duration = Duration::from_millis(100);

/// Demand of the last second and the target that follows it.
#[derive(Debug, Clone)]
pub(super) struct Demand {
    kind: UnitKind,
    window: SlidingWindow,
    target_units: u64,
    stepped_at: Option<Instant>,
}

impl Demand {
    pub(super) fn new(kind: UnitKind) -> Self {
        Self {
            kind,
            window: SlidingWindow::new(),
            target_units: 0,
            stepped_at: None,
        }
    }

    pub(super) fn set_kind(&mut self, kind: UnitKind) {
        self.kind = kind;
    }

    pub(super) fn record(&mut self, units: u64, now: Instant) {
        self.window.record(units, now);
    }

    /// Returns the demand of the last second with a quarter to spare.
    pub(super) fn need(&self, now: Instant) -> u64 {
        let demand = match self.kind {
            UnitKind::Rate => self.window.sum(now),
            UnitKind::Concurrency { .. } => self.window.max(now).unwrap_or(0),
        };
        demand.saturating_add(demand / 4)
    }

    pub(super) fn target(&self) -> u64 {
        self.target_units
    }

    /// Moves the target: up by at most doubling, down by an eighth.
    ///
    /// Doubling reaches any share within a second without taking units for a single burst; the
    /// slow fall keeps leases through short gaps in the demand.
    pub(super) fn step(&mut self, own_units: u64, limit_units: u64, now: Instant) {
        let steps = self.steps_due(now);
        if steps == 0 {
            return;
        }
        let first_step = match self.kind {
            UnitKind::Rate => UNITS_PER_QUERY,
            UnitKind::Concurrency { .. } => 1,
        };
        let need = self.need(now).min(limit_units);
        let target = self.target_units;
        self.target_units = if need > target {
            let doubled = target.max(own_units).saturating_mul(2);
            need.min(doubled.max(first_step))
        } else {
            let fall = |target: u64, _| target - target.div_ceil(8);
            need.max((0..steps).fold(target, fall))
        };
    }

    /// Returns the steps since the last call, so that the fall does not depend on how often this
    /// is called; any target has fallen to zero after the greatest number.
    fn steps_due(&mut self, now: Instant) -> u128 {
        const STEPS_MAX: u128 = 400;
        let stepped_at = *self.stepped_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(stepped_at);
        let steps = (elapsed.as_millis() / STEP.as_millis()).min(STEPS_MAX);
        if steps > 0 {
            self.stepped_at = Some(now);
        }
        steps
    }
}
