//! One held leaf: its fair queue, state and connections.

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

/// Result of a request's wait in the queue.
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
    /// Connections from this daemon to the leaf.
    pub connections: ConnectionPool,
    clock: Arc<dyn Clock>,
    /// Lock order 3; taken after the admission table and before the fingerprints.
    core: Mutex<SlotCore>,
}

#[derive(Debug)]
struct SlotCore {
    queue: FairQueue<Waiter>,
    state: RecordedLeaf,
    /// Index versions that the leaf reported as gone, sorted.
    gone_versions: Vec<IndexVersion>,
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
    /// 95th percentile of the latencies of the requests answered in the last 10 s.
    pub p95: Option<Duration>,
    /// Mean queue wait over the last second.
    pub queue_wait: Duration,
}

impl LeafSlot {
    /// Creates the slot of a leaf without any observations yet.
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
        // Service times are measured from send to answer, so they include the time that a pipelined
        // request waits at the leaf.
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
                gone_versions: Vec::new(),
                wake_at: None,
                latency: LeafLatency::default(),
                retired: false,
            }),
        }
    }

    /// Queues a request and returns the receiver of its grant.
    ///
    /// # Errors
    ///
    /// Fails if the queue cannot serve the request before its deadline.
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

    /// Grants or refuses queued requests until the leaf's state allows no further one.
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
                    // Fails if the waiter was cancelled. Dropping the returned permit would call
                    // `dispatch` recursively.
                    if let Err(Grant::Permit(permit)) = waiter.sender.send(Grant::Permit(permit)) {
                        permit.disarm();
                        self.record_not_sent(now);
                    }
                }
                Step::Refuse(waiter, grant) => {
                    // Fails only if the waiter was cancelled; it then needs no refusal.
                    let _ = waiter.sender.send(grant);
                }
                Step::WakeAt(at) => return self.schedule_wake(at, now),
                Step::Done => return,
            }
        }
    }

    /// Returns true if the leaf is available and has not reported the version as gone.
    #[must_use]
    pub fn serves(&self, version: IndexVersion) -> bool {
        let core = self.core.lock();
        let now = self.clock.now();
        let available = match core.state.get().condition(now) {
            LeafCondition::Draining => false,
            // A lost leaf recovers only through trial requests, so it must receive them when due.
            LeafCondition::Lost { .. } => core.state.get().may_send(now).is_ok(),
            LeafCondition::Starting | LeafCondition::Ready | LeafCondition::BackingOff { .. } => {
                true
            }
        };
        available && core.gone_versions.binary_search(&version).is_err()
    }

    /// Returns the number of requests queued and in flight.
    #[must_use]
    pub fn load(&self) -> u32 {
        let core = self.core.lock();
        let queued = u32::try_from(core.queue.len()).unwrap_or(u32::MAX);
        core.state.get().in_flight().saturating_add(queued)
    }

    /// Returns the 95th percentile of the leaf's latency over the last 10 s.
    ///
    /// Unlike [`LeafReport::p95`], it includes requests that were given up without an answer.
    #[must_use]
    pub fn p95(&self) -> Option<Duration> {
        self.core.lock().latency.p95(self.clock.now())
    }

    /// Returns the latency that outlier detection compares with the other leafs of the group.
    #[must_use]
    pub fn effective_latency(&self) -> Option<Duration> {
        self.core.lock().latency.effective(self.clock.now())
    }

    /// Records that the leaf no longer holds an index version.
    pub fn mark_version_gone(&self, version: IndexVersion) {
        let mut core = self.core.lock();
        if let Err(index) = core.gone_versions.binary_search(&version) {
            core.gone_versions.insert(index, version);
        }
    }

    /// Removes the versions that the leaf now reports as held from its gone versions.
    pub fn clear_gone_versions(&self, held: &[IndexVersion]) {
        self.core
            .lock()
            .gone_versions
            .retain(|gone| !held.contains(gone));
    }

    /// Records that a connection was lost or refused.
    pub fn record_connection_lost(self: &Arc<Self>) {
        self.update(|core, now| core.state.apply(LeafEvent::ConnectionLost, now));
        self.dispatch();
    }

    /// Records that the leaf refused a request because it is draining.
    pub fn record_draining(self: &Arc<Self>) {
        self.update(|core, now| core.state.apply(LeafEvent::Draining, now));
        self.dispatch();
    }

    /// Applies a health report of the leaf.
    pub fn record_health(self: &Arc<Self>, report: HealthReport) {
        let event = LeafEvent::Health {
            state: report.state.into(),
            load: report.load,
        };
        self.update(|core, now| core.state.apply(event, now));
        self.dispatch();
    }

    /// Stops all new work for the leaf after it left the settings or moved to other holders.
    pub fn retire(self: &Arc<Self>) {
        self.update(|core, now| {
            core.retired = true;
            core.state.apply(LeafEvent::Removed, now);
        });
        self.connections.close();
        self.dispatch();
    }

    /// Returns true if no request is queued or in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let core = self.core.lock();
        core.state.get().in_flight() == 0 && core.queue.is_empty()
    }

    /// Returns the number of idle connections to keep open for coming requests.
    #[must_use]
    pub fn target_idle_connections(&self) -> u32 {
        let core = self.core.lock();
        if core.retired {
            return 0;
        }
        core.state.get().target_idle_connections(self.clock.now())
    }

    /// Returns true if a health probe of a draining leaf is due, and schedules the next one.
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
        if !self.core.lock().set_wake(at) {
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
    pub(super) fn record_answered(&self, sent_at: Instant) {
        self.update(|core, now| {
            let latency = now.saturating_duration_since(sent_at);
            let latency_ms = Millis(latency);
            core.state.apply(LeafEvent::Answered { latency_ms }, now);
            core.latency.record(sent_at, now);
            core.queue.record_service_time(latency);
        });
    }

    /// Records that the leaf shed a request.
    pub(super) fn record_shed(&self, sent_at: Instant, retry_after: Duration) {
        let retry_after_ms = Millis(retry_after);
        self.update(|core, now| {
            core.state.apply(LeafEvent::Shed { retry_after_ms }, now);
            core.latency.discard(sent_at);
        });
    }

    /// Records that a request was given up without an answer.
    pub(super) fn record_released(&self, sent_at: Instant) {
        self.update(|core, now| {
            core.state.apply(LeafEvent::Released, now);
            core.latency.record(sent_at, now);
        });
    }

    /// Records that a granted request was not sent.
    fn record_not_sent(&self, sent_at: Instant) {
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
    /// Sets the time of the next wake-up; returns false if one is already due by then.
    fn set_wake(&mut self, at: Instant) -> bool {
        let is_pending = self.wake_at.is_some_and(|pending| pending <= at);
        if !is_pending {
            self.wake_at = Some(at);
        }
        !is_pending
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
                // Refused requests fail over to another leaf at once instead of waiting for a lost
                // one.
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
