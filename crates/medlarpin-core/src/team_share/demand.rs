//! Number of units that a daemon needs.

use std::time::{Duration, Instant};

use super::{UNITS_PER_QUERY, UnitKind};
use crate::sliding_window::SlidingWindow;

/// Time between two steps of the target.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Demand within the last second, and the target that follows it in steps.
#[derive(Debug, Clone)]
pub(super) struct Demand {
    kind: UnitKind,
    window: SlidingWindow,
    target_units: u64,
    last_step: Option<Instant>,
}

impl Demand {
    pub(super) fn new(kind: UnitKind) -> Self {
        Self {
            kind,
            window: SlidingWindow::new(),
            target_units: 0,
            last_step: None,
        }
    }

    pub(super) fn set_kind(&mut self, kind: UnitKind) {
        self.kind = kind;
    }

    pub(super) fn record(&mut self, units: u64, now: Instant) {
        self.window.record(units, now);
    }

    /// Returns the demand within the last second plus a reserve of a quarter.
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

    /// Adjusts the target: per step it at most doubles, or falls by an eighth.
    ///
    /// By doubling, the target reaches any share within a second, but a single burst does not
    /// borrow many units. The slow fall keeps leases through short gaps in the demand.
    pub(super) fn step(&mut self, own_units: u64, limit_units: u64, now: Instant) {
        let steps = self.steps_due(now);
        if steps == 0 {
            return;
        }
        let initial_target = match self.kind {
            UnitKind::Rate => UNITS_PER_QUERY,
            UnitKind::Concurrency { .. } => 1,
        };
        let need = self.need(now).min(limit_units);
        let target = self.target_units;
        self.target_units = if need > target {
            let doubled = target.max(own_units).saturating_mul(2);
            need.min(doubled.max(initial_target))
        } else {
            let decay = |target: u64, _| target - target.div_ceil(8);
            need.max((0..steps).fold(target, decay))
        };
    }

    /// Returns the number of step intervals since the last step, at most `MAX_STEPS`.
    ///
    /// Counting the intervals makes the decay independent of how often the function is called.
    /// After `MAX_STEPS` any target has decayed to zero.
    fn steps_due(&mut self, now: Instant) -> u128 {
        const MAX_STEPS: u128 = 400;
        let last_step = *self.last_step.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last_step);
        let steps = (elapsed.as_millis() / STEP_INTERVAL.as_millis()).min(MAX_STEPS);
        if steps > 0 {
            self.last_step = Some(now);
        }
        steps
    }
}
