//! One held leaf: its fair queue and its state.

use std::sync::Arc;

use medlarpin_core::fair_queue::{Discipline, FairQueue, Popped, QueueRefusal};
use medlarpin_core::leaf_state::{HealthReport, LeafCondition, PIPELINE_DEPTH, Wait};
use medlarpin_core::prelude::*;
use parking_lot::Mutex;
use replay::{LeafEvent, Millis};
use tokio::sync::oneshot;

use crate::leafs::RecordedLeaf;
use crate::leafs::connection::ConnectionPool;
use crate::leafs::latency::LeafLatency;
use crate::leafs::permit::Permit;
use crate::recorder::Recorder;

/// What a queued request receives when its turn comes or the leaf becomes unavailable.
#[derive(Debug)]
pub enum Grant {
    /// The request may be sent.
    Permit(Permit),
    /// The deadline can no longer be met; nothing was sent.
    Expired,
    /// The leaf is draining or lost; nothing was sent.
    Unavailable,
}

/// One held leaf.
#[derive(Debug)]
pub struct LeafSlot {
    /// Service that the leaf belongs to.
    pub service: ServiceName,
    /// The leaf as published.
    pub leaf: Leaf,
    /// Connections of this daemon to the leaf.
    pub connections: ConnectionPool,
    clock: Arc<dyn Clock>,
    /// Lock order 3; taken after the admission table and before the fingerprints.
    core: Mutex<SlotCore>,
}

#[derive(Debug)]
struct SlotCore {
    queue: FairQueue<Waiter>,
    state: RecordedLeaf,
    /// Versions that the leaf reported as gone, sorted.
    gone: Vec<IndexVersion>,
    /// Time of the pending wake-up of the queue.
    wake_at: Option<Instant>,
    latency: LeafLatency,
    retired: bool,
}

#[derive(Debug)]
struct Waiter {
    sender: oneshot::Sender<Grant>,
    queued_at: Instant,
}

/// State of a leaf for the dump.
#[derive(Debug, Clone)]
pub struct LeafReport {
    /// Observed condition.
    pub condition: LeafCondition,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests queued.
    pub queued: usize,
    /// 95th percentile of the latency in the last 10 s.
    pub p95: Option<Duration>,
    /// Mean wait in the queue in the last second.
    pub queue_wait: Duration,
}

impl LeafSlot {
    /// Creates the slot of a leaf of which nothing is known.
    #[must_use]
    pub fn new(
        service: ServiceName,
        leaf: Leaf,
        connection_share: u32,
        discipline: Discipline,
        clock: Arc<dyn Clock>,
        recorder: Arc<Recorder>,
    ) -> Self {
        let mut queue = FairQueue::new(discipline);
        // Service times run from send to answer, so they include the wait of the pipelined request.
        queue.set_parallelism(leaf.slots + PIPELINE_DEPTH);
        let state = RecordedLeaf::new(&service, &leaf, recorder, clock.now());
        Self {
            service,
            connections: ConnectionPool::new(leaf.address, connection_share),
            leaf,
            clock,
            core: Mutex::new(SlotCore {
                queue,
                state,
                gone: Vec::new(),
                wake_at: None,
                latency: LeafLatency::default(),
                retired: false,
            }),
        }
    }

    /// Queues a request; the receiver gets its grant.
    ///
    /// # Errors
    ///
    /// Fails if the queue cannot serve the request in time.
    pub fn enqueue(
        self: &Arc<Self>,
        team: &TeamName,
        weight: u32,
        deadline: Instant,
    ) -> Result<oneshot::Receiver<Grant>, QueueRefusal> {
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let waiter = Waiter {
            sender,
            queued_at: now,
        };
        self.core
            .lock()
            .queue
            .push(team, weight, deadline, waiter, now)
            .map_err(|(_waiter, refusal)| refusal)?;
        self.dispatch();
        Ok(receiver)
    }

    /// Grants queued requests as far as the leaf's state allows.
    pub fn dispatch(self: &Arc<Self>) {
        loop {
            let mut core = self.core.lock();
            let now = self.clock.now();
            let step = core.next_step(now, self.connections.share());
            drop(core);
            match step {
                Step::Grant(waiter) => {
                    let queue_wait = now.saturating_duration_since(waiter.queued_at);
                    let permit = Permit::new(Arc::clone(self), now, queue_wait);
                    // Dropping the permit of a waiter that gave up would dispatch within this loop.
                    if let Err(Grant::Permit(permit)) = waiter.sender.send(Grant::Permit(permit)) {
                        permit.defuse();
                        self.end_unsent(now);
                    }
                }
                Step::Refuse(waiter, grant) => {
                    // A waiter that gave up needs no refusal.
                    let _ = waiter.sender.send(grant);
                }
                Step::WakeAt(at) => return self.schedule_wake(at, now),
                Step::Done => return,
            }
        }
    }

    /// Returns true if the leaf may get requests of the version as far as this daemon knows.
    #[must_use]
    pub fn serves(&self, version: IndexVersion) -> bool {
        let core = self.core.lock();
        let now = self.clock.now();
        let available = match core.state.get().condition(now) {
            LeafCondition::Draining => false,
            // Without its trial requests a lost leaf would never be found again.
            LeafCondition::Lost { .. } => core.state.get().may_send(now).is_ok(),
            LeafCondition::Starting | LeafCondition::Ready | LeafCondition::BackingOff { .. } => {
                true
            }
        };
        available && core.gone.binary_search(&version).is_err()
    }

    /// Returns requests queued and in flight.
    #[must_use]
    pub fn load(&self) -> u32 {
        let core = self.core.lock();
        let queued = u32::try_from(core.queue.len()).unwrap_or(u32::MAX);
        core.state.get().in_flight().saturating_add(queued)
    }

    /// Returns the 95th percentile of the latency.
    #[must_use]
    pub fn p95(&self) -> Option<Duration> {
        self.core.lock().latency.p95(self.clock.now())
    }

    /// Returns the latency by which the leaf is compared with the others of its group.
    #[must_use]
    pub fn effective_latency(&self) -> Option<Duration> {
        self.core.lock().latency.effective(self.clock.now())
    }

    /// Records that the leaf no longer holds a version.
    pub fn mark_version_gone(&self, version: IndexVersion) {
        let mut core = self.core.lock();
        if let Err(index) = core.gone.binary_search(&version) {
            core.gone.insert(index, version);
        }
    }

    /// Forgets which versions the leaf reported as gone, because it reports what it holds.
    pub fn clear_gone_versions(&self, held: &[IndexVersion]) {
        self.core.lock().gone.retain(|gone| !held.contains(gone));
    }

    /// Records that a connection was lost or refused.
    pub fn record_connection_lost(self: &Arc<Self>) {
        self.update(|core, now| core.state.apply(LeafEvent::ConnectionLost, now));
        self.dispatch();
    }

    /// Records that the leaf refused work because it drains.
    pub fn record_draining(self: &Arc<Self>) {
        self.update(|core, now| core.state.apply(LeafEvent::Draining, now));
        self.dispatch();
    }

    /// Takes in a health report.
    pub fn record_health(self: &Arc<Self>, report: HealthReport) {
        let event = LeafEvent::Health {
            state: report.state.into(),
            load: report.load,
        };
        self.update(|core, now| core.state.apply(event, now));
        self.dispatch();
    }

    /// Stops all new work for the leaf, because it left the settings or this daemon's holding.
    pub fn retire(self: &Arc<Self>) {
        self.update(|core, now| {
            core.retired = true;
            core.state.apply(LeafEvent::Removed, now);
        });
        self.connections.close();
        self.dispatch();
    }

    /// Returns true if a retired leaf has no request in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let core = self.core.lock();
        core.state.get().in_flight() == 0 && core.queue.is_empty()
    }

    /// Returns how many connections should be open ahead of need.
    #[must_use]
    pub fn target_idle_connections(&self) -> u32 {
        let core = self.core.lock();
        if core.retired {
            return 0;
        }
        core.state.get().target_idle_connections(self.clock.now())
    }

    /// Returns true when a draining leaf's health is to be asked for.
    #[must_use]
    pub fn probe_due(&self) -> bool {
        let mut core = self.core.lock();
        !core.retired && core.state.probe_due(self.clock.now())
    }

    /// Returns the leaf's state for the dump.
    #[must_use]
    pub fn report(&self) -> LeafReport {
        let core = self.core.lock();
        let now = self.clock.now();
        LeafReport {
            condition: core.state.get().condition(now),
            in_flight: core.state.get().in_flight(),
            queued: core.queue.len(),
            p95: core.state.get().latencies().quantile(0.95, now),
            queue_wait: core.queue.mean_queue_wait(now),
        }
    }

    fn schedule_wake(self: &Arc<Self>, at: Instant, now: Instant) {
        if !self.core.lock().plan_wake(at) {
            return;
        }
        let slot = Arc::clone(self);
        let delay = at.saturating_duration_since(now);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            slot.core.lock().wake_at = None;
            slot.dispatch();
        });
    }

    /// Records that a request was answered.
    pub(super) fn end_answered(&self, sent_at: Instant) {
        self.update(|core, now| {
            let latency = now.saturating_duration_since(sent_at);
            let latency_ms = Millis(latency);
            core.state.apply(LeafEvent::Answered { latency_ms }, now);
            core.latency.ended(sent_at, now);
            core.queue.record_service_time(latency);
        });
    }

    /// Records that the leaf shed a request.
    pub(super) fn end_shed(&self, sent_at: Instant, retry_after: Duration) {
        let retry_after_ms = Millis(retry_after);
        self.update(|core, now| {
            core.state.apply(LeafEvent::Shed { retry_after_ms }, now);
            core.latency.discard(sent_at);
        });
    }

    /// Records that a request ended without an answer.
    pub(super) fn end_released(&self, sent_at: Instant) {
        self.update(|core, now| {
            core.state.apply(LeafEvent::Released, now);
            core.latency.ended(sent_at, now);
        });
    }

    /// Records that a request that counted as sent was not sent after all.
    fn end_unsent(&self, sent_at: Instant) {
        self.update(|core, now| {
            core.state.apply(LeafEvent::Released, now);
            core.latency.discard(sent_at);
        });
    }

    fn update(&self, update: impl FnOnce(&mut SlotCore, Instant)) {
        let mut core = self.core.lock();
        update(&mut core, self.clock.now());
    }
}

enum Step {
    Grant(Waiter),
    Refuse(Waiter, Grant),
    WakeAt(Instant),
    Done,
}

impl SlotCore {
    /// Plans a wake-up; returns false if one at least as early is planned.
    fn plan_wake(&mut self, at: Instant) -> bool {
        let planned = self.wake_at.is_some_and(|pending| pending <= at);
        if !planned {
            self.wake_at = Some(at);
        }
        !planned
    }

    fn next_step(&mut self, now: Instant, connection_share: u32) -> Step {
        if self.queue.is_empty() {
            return Step::Done;
        }
        if self.state.get().in_flight() >= connection_share {
            return Step::Done;
        }
        match self.state.get().may_send(now) {
            Ok(()) => self.pop(now),
            Err(Wait::InFlight) => Step::Done,
            Err(Wait::Draining) => self.refuse_one(now),
            Err(Wait::Until(at)) => {
                // Requests that wait for a lost leaf can fail over at once.
                if matches!(self.state.get().condition(now), LeafCondition::Lost { .. }) {
                    self.refuse_one(now)
                } else {
                    Step::WakeAt(at)
                }
            }
        }
    }

    fn pop(&mut self, now: Instant) -> Step {
        loop {
            match self.queue.pop(now) {
                Popped::Ready(waiter) if waiter.sender.is_closed() => {}
                Popped::Ready(waiter) => {
                    self.state.apply(LeafEvent::Sent, now);
                    self.latency.sent(now);
                    return Step::Grant(waiter);
                }
                Popped::Expired(waiter) => return Step::Refuse(waiter, Grant::Expired),
                Popped::Empty => return Step::Done,
            }
        }
    }

    fn refuse_one(&mut self, now: Instant) -> Step {
        match self.queue.pop(now) {
            Popped::Ready(waiter) | Popped::Expired(waiter) => {
                Step::Refuse(waiter, Grant::Unavailable)
            }
            Popped::Empty => Step::Done,
        }
    }
}
