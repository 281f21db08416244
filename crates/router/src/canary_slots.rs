use std::sync::Arc;
use std::time::{Duration, Instant};

use medlarpin_core::prelude::Clock;
use parking_lot::Mutex;

/// Time for which a canary without a result holds its slot. The store no longer lists a leaf that has ended
/// after three missed heartbeats of 1.2 s, which decides.
const UNDECIDED_TIME_MAX: Duration = Duration::from_secs(5);

/// The suspicious requests that are being tried on a single leaf, one of those that are equal at a time.
#[derive(Debug, Clone, Default)]
pub(crate) struct CanarySlots(Arc<Mutex<Vec<Slot>>>);

/// The equal request that holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotHolder {
    /// It is running.
    Running,
    /// Its leaf gave no answer in time, or its caller left.
    Undecided,
}

#[derive(Debug)]
struct Slot {
    content_hash: u64,
    started_at: Instant,
    /// True if the request ended without a result.
    is_undecided: bool,
}

impl CanarySlots {
    /// Takes the slot of a request.
    pub(crate) fn start(
        &self,
        content_hash: u64,
        clock: &Arc<dyn Clock>,
    ) -> Result<CanarySlot, SlotHolder> {
        let now = clock.now();
        let mut slots = self.0.lock();
        slots.retain(|slot| !slot.is_undecided || now < slot.started_at + UNDECIDED_TIME_MAX);
        let held = slots.iter().find(|slot| slot.content_hash == content_hash);
        match held {
            Some(slot) if slot.is_undecided => return Err(SlotHolder::Undecided),
            Some(_) => return Err(SlotHolder::Running),
            None => {}
        }
        slots.push(Slot {
            content_hash,
            started_at: now,
            is_undecided: false,
        });
        Ok(CanarySlot {
            slots: self.clone(),
            content_hash,
        })
    }

    /// Frees the slot of requests that turned out not to end their leafs.
    pub(crate) fn free(&self, content_hash: u64) {
        let mut slots = self.0.lock();
        slots.retain(|slot| slot.content_hash != content_hash);
    }
}

/// The slot of a request. Dropping it leaves the request undecided.
#[derive(Debug)]
pub(crate) struct CanarySlot {
    slots: CanarySlots,
    content_hash: u64,
}

impl CanarySlot {
    /// Records that the request has shown what it does, or was not sent.
    pub(crate) fn decided(self) {
        self.slots.free(self.content_hash);
    }
}

impl Drop for CanarySlot {
    fn drop(&mut self) {
        let mut slots = self.slots.0.lock();
        let is_own = |slot: &&mut Slot| slot.content_hash == self.content_hash;
        if let Some(slot) = slots.iter_mut().find(is_own) {
            slot.is_undecided = true;
        }
    }
}
