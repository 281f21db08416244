//! Recording of decisions as a trace that the `replay` crate runs again.

mod fingerprints;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};

use medlarpin_core::leaf_state::{LeafSnapshot, LeafState};
use medlarpin_core::prelude::*;
use parking_lot::Mutex;
use replay::{Event, LeafEvent, LeafStart, Timeline, Trace, TraceEvent, leaf_outcome};
use serde_json::Value;

pub use fingerprints::RecordedFingerprints;

/// Most events kept; the oldest give way.
const EVENTS_MAX: usize = 4_096;
/// Events of a leaf after which its whole state is recorded again.
///
/// A trace can only start at a whole state, so this bounds the events that are useless once the
/// oldest have given way.
const RESTORE_EVERY: usize = 64;

/// The last decisions of this daemon, while an operator has switched recording on.
///
/// Holds no query text and no rows. Its lock is taken last.
#[derive(Debug, Default)]
pub struct Recorder {
    /// Read without the lock, so that recording costs nothing else while it is off.
    is_on: AtomicBool,
    recording: Mutex<Option<Recording>>,
}

#[derive(Debug)]
struct Recording {
    start: Instant,
    events: VecDeque<TraceEvent>,
    /// Subjects with their events since the last one that creates them, sorted by subject.
    subjects: Vec<(String, usize)>,
}

impl Recorder {
    /// Returns true while events are recorded.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.is_on.load(Ordering::Relaxed)
    }

    /// Drops what was recorded and records from now on.
    pub fn start(&self, now: Instant) {
        let mut recording = self.recording.lock();
        *recording = Some(Recording {
            start: now,
            events: VecDeque::with_capacity(EVENTS_MAX),
            subjects: Vec::new(),
        });
        self.is_on.store(true, Ordering::Relaxed);
    }

    /// Stops recording; what was recorded stays readable.
    pub fn stop(&self) {
        let _recording = self.recording.lock();
        self.is_on.store(false, Ordering::Relaxed);
    }

    /// Returns the recorded events as a trace, in the order of time.
    #[must_use]
    pub fn trace(&self, me: &VmName) -> Trace {
        let recording = self.recording.lock();
        let events = recording.as_ref().map(Recording::replayable);
        Trace {
            about: format!("Recorded by {me}"),
            seed: 0,
            events: events.unwrap_or_default(),
        }
    }

    /// Records an event of a leaf; `before` and `after` are its states around the event.
    pub fn record_leaf(
        &self,
        on: &str,
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
            .count(on)
            .is_none_or(|count| count >= RESTORE_EVERY)
        {
            let start = Box::new(LeafStart::of(before, time));
            let outcome = leaf_outcome(&LeafState::restore(before, now), now, time);
            recording.push(on, Event::Leaf(LeafEvent::Restore(start)), outcome, now);
        }
        recording.push(on, Event::Leaf(event), leaf_outcome(after, now, time), now);
    }

    /// Returns the recording, unless it is off or started after `now`.
    fn recording_at(&self, now: Instant) -> Option<parking_lot::MappedMutexGuard<'_, Recording>> {
        let recording = self.recording.lock();
        let recording = parking_lot::MutexGuard::try_map(recording, Option::as_mut).ok()?;
        (self.is_on() && now >= recording.start).then_some(recording)
    }
}

impl Recording {
    /// Returns the events since the subject was created; `None` if it was not.
    fn count(&self, on: &str) -> Option<usize> {
        let index = self.find(on).ok()?;
        self.subjects.get(index).map(|(_, count)| *count)
    }

    fn push(&mut self, on: &str, event: Event, expect: Value, now: Instant) {
        if self.events.len() >= EVENTS_MAX {
            self.events.pop_front();
        }
        match self.find(on) {
            Ok(index) if event.creates() => self.subjects[index].1 = 0,
            Ok(index) => self.subjects[index].1 += 1,
            Err(index) => self.subjects.insert(index, (on.to_owned(), 0)),
        }
        self.events.push_back(TraceEvent {
            line: 0,
            at_ms: Timeline::new(self.start).millis(now),
            on: on.to_owned(),
            event,
            expect,
        });
    }

    /// Returns the events without those whose subject's creation has given way to newer events.
    fn replayable(&self) -> Vec<TraceEvent> {
        let mut created: Vec<&str> = Vec::new();
        let mut events = Vec::with_capacity(self.events.len());
        for event in &self.events {
            match created.binary_search(&event.on.as_str()) {
                Ok(_) => events.push(event.clone()),
                Err(index) if event.event.creates() => {
                    created.insert(index, &event.on);
                    events.push(event.clone());
                }
                Err(_) => {}
            }
        }
        // Threads record in an order that may differ from that of their clock readings.
        events.sort_by_key(|event| event.at_ms.0);
        events
    }

    fn find(&self, on: &str) -> Result<usize, usize> {
        self.subjects
            .binary_search_by(|(subject, _)| subject.as_str().cmp(on))
    }
}
