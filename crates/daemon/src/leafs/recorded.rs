//! A leaf's state with recording of its changes.

use std::sync::Arc;

use medlarpin_core::leaf_state::LeafState;
use medlarpin_core::prelude::*;
use replay::LeafEvent;

use crate::recorder::Recorder;

/// A leaf's state whose changes go to the recorder while recording is on.
#[derive(Debug)]
pub struct RecordedLeaf {
    state: LeafState,
    recorder: Arc<Recorder>,
    /// The leaf's subject name in traces.
    subject: String,
}

impl RecordedLeaf {
    /// Creates the state of a leaf without any observations yet.
    #[must_use]
    pub fn new(service: &ServiceName, leaf: &Leaf, recorder: Arc<Recorder>, now: Instant) -> Self {
        Self {
            state: LeafState::new(leaf.slots, now),
            recorder,
            subject: format!("leaf {service}/{}", leaf.id),
        }
    }

    /// Returns the state.
    #[must_use]
    pub fn get(&self) -> &LeafState {
        &self.state
    }

    /// Applies an event to the state and records it.
    ///
    /// `now` must have been read while the leaf was locked, so that the recorded times follow the
    /// order of the changes.
    pub fn apply(&mut self, event: LeafEvent, now: Instant) {
        if !self.recorder.is_on() {
            event.apply_to(&mut self.state, now);
            return;
        }
        let before = self.state.snapshot();
        event.apply_to(&mut self.state, now);
        self.recorder
            .record_leaf(&self.subject, event, &before, &self.state, now);
    }

    /// See [`LeafState::probe_due`]. Probes do not affect requests, so they are not recorded.
    pub fn probe_due(&mut self, now: Instant) -> bool {
        self.state.probe_due(now)
    }
}
