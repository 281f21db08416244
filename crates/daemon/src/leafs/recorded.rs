//! A leaf's state whose changes are recorded on request.

use std::sync::Arc;

use medlarpin_core::leaf_state::LeafState;
use medlarpin_core::prelude::*;
use replay::LeafEvent;

use crate::recorder::Recorder;

/// A leaf's state and where its changes are recorded.
#[derive(Debug)]
pub struct RecordedLeaf {
    state: LeafState,
    recorder: Arc<Recorder>,
    /// Name of the leaf in a trace.
    on: String,
}

impl RecordedLeaf {
    /// Creates the state of a leaf of which nothing is known.
    #[must_use]
    pub fn new(service: &ServiceName, leaf: &Leaf, recorder: Arc<Recorder>, now: Instant) -> Self {
        Self {
            state: LeafState::new(leaf.slots, now),
            recorder,
            on: format!("leaf {service}/{}", leaf.id),
        }
    }

    /// Returns the state.
    #[must_use]
    pub fn get(&self) -> &LeafState {
        &self.state
    }

    /// Changes the state; `now` must have been read while the leaf was locked, so that the
    /// recorded times have the order of the changes.
    pub fn apply(&mut self, event: LeafEvent, now: Instant) {
        if !self.recorder.is_on() {
            event.apply_to(&mut self.state, now);
            return;
        }
        let before = self.state.snapshot();
        event.apply_to(&mut self.state, now);
        self.recorder
            .record_leaf(&self.on, event, &before, &self.state, now);
    }

    /// See [`LeafState::probe_due`]; it decides about no request and is not recorded.
    pub fn probe_due(&mut self, now: Instant) -> bool {
        self.state.probe_due(now)
    }
}
