//! Recording of events and their outcomes as a trace that the `replay` crate can replay.
//!
//! The subject of an event is the object whose state it changes, for example a leaf or a
//! fingerprint. A creating event sets the whole state of its subject, so a replay can start there.

mod fingerprints;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};

use medlarpin_core::leaf_state::{LeafSnapshot, LeafState};
use medlarpin_core::prelude::*;
use parking_lot::Mutex;
use replay::{Event, LeafEvent, RecordedLeafState, Timeline, Trace, TraceEvent, leaf_outcome};
use serde_json::Value;

pub use fingerprints::RecordedFingerprints;

/// Capacity of a recording in events; the oldest are evicted.
const MAX_EVENTS: usize = 4_096;
/// Number of events of a leaf after which a snapshot of its state is recorded again.
///
/// A replay has to start at a snapshot, so this bounds the number of events that become unusable
/// once the snapshot before them is evicted.
const SNAPSHOT_INTERVAL: usize = 64;

/// Records this daemon's latest events and their outcomes while an operator has switched recording
/// on.
///
/// Recordings contain no query texts and no rows. The lock is last in the lock order.
#[derive(Debug, Default)]
pub struct Recorder {
    /// Read without the lock, so that a disabled recorder costs no more than this read.
    is_on: AtomicBool,
    recording: Mutex<Option<Recording>>,
}

#[derive(Debug)]
struct Recording {
    start: Instant,
    events: VecDeque<TraceEvent>,
    /// Subjects with the number of events since their last creating event, sorted by subject.
    subjects: Vec<(String, usize)>,
}

impl Recorder {
    /// Returns true while events are recorded.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.is_on.load(Ordering::Relaxed)
    }

    /// Starts a new recording and discards the previous one.
    pub fn start(&self, now: Instant) {
        let mut recording = self.recording.lock();
        *recording = Some(Recording {
            start: now,
            events: VecDeque::with_capacity(MAX_EVENTS),
            subjects: Vec::new(),
        });
        self.is_on.store(true, Ordering::Relaxed);
    }

    /// Stops recording; the recording stays readable.
    pub fn stop(&self) {
        let _recording = self.recording.lock();
        self.is_on.store(false, Ordering::Relaxed);
    }

    /// Returns the recorded events as a trace, ordered by time.
    #[must_use]
    pub fn trace(&self, local_vm: &VmName) -> Trace {
        let recording = self.recording.lock();
        let events = recording.as_ref().map(Recording::replayable);
        Trace {
            about: format!("Recorded by {local_vm}"),
            seed: 0,
            events: events.unwrap_or_default(),
        }
    }

    /// Records an event of a leaf with its states `before` and `after` the event.
    pub fn record_leaf(
        &self,
        subject: &str,
        event: LeafEvent,
        before: &LeafSnapshot,
        after: &LeafState,
        now: Instant,
    ) {
        let Some(mut recording) = self.recording_at(now) else {
            return;
        };
        let time = Timeline::new(recording.start);
        if recording
            .events_since_creation(subject)
            .is_none_or(|count| count >= SNAPSHOT_INTERVAL)
        {
            let start = Box::new(RecordedLeafState::from_snapshot(before, time));
            let outcome = leaf_outcome(&LeafState::restore(before, now), now, time);
            recording.push(
                subject,
                Event::Leaf(LeafEvent::Restore(start)),
                outcome,
                now,
            );
        }
        recording.push(
            subject,
            Event::Leaf(event),
            leaf_outcome(after, now, time),
            now,
        );
    }

    /// Returns the recording, unless recording is off or the recording started after `now`.
    ///
    /// `now` is earlier than the start if the caller read the clock before a concurrent
    /// [`Self::start`].
    fn recording_at(&self, now: Instant) -> Option<parking_lot::MappedMutexGuard<'_, Recording>> {
        let recording = self.recording.lock();
        let recording = parking_lot::MutexGuard::try_map(recording, Option::as_mut).ok()?;
        (self.is_on() && now >= recording.start).then_some(recording)
    }
}

impl Recording {
    /// Returns the number of events since the subject's last creating event; `None` if there is
    /// none.
    fn events_since_creation(&self, subject: &str) -> Option<usize> {
        let index = self.find(subject).ok()?;
        self.subjects.get(index).map(|(_, count)| *count)
    }

    fn push(&mut self, subject: &str, event: Event, expect: Value, now: Instant) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        match self.find(subject) {
            Ok(index) if event.creates_subject() => self.subjects[index].1 = 0,
            Ok(index) => self.subjects[index].1 += 1,
            Err(index) => self.subjects.insert(index, (subject.to_owned(), 0)),
        }
        self.events.push_back(TraceEvent {
            line: 0,
            at_ms: Timeline::new(self.start).millis(now),
            subject: subject.to_owned(),
            event,
            expect,
        });
    }

    /// Returns the events that can be replayed: those whose subject's creating event was not
    /// evicted.
    fn replayable(&self) -> Vec<TraceEvent> {
        let mut created: Vec<&str> = Vec::new();
        let mut events = Vec::with_capacity(self.events.len());
        for event in &self.events {
            match created.binary_search(&event.subject.as_str()) {
                Ok(_) => events.push(event.clone()),
                Err(index) if event.event.creates_subject() => {
                    created.insert(index, &event.subject);
                    events.push(event.clone());
                }
                Err(_) => {}
            }
        }
        // Concurrent threads may record in a different order than they read the clock.
        events.sort_by_key(|event| event.at_ms.0);
        events
    }

    fn find(&self, subject: &str) -> Result<usize, usize> {
        self.subjects
            .binary_search_by(|(entry, _)| entry.as_str().cmp(subject))
    }
}
