//! Fair queue of one leaf: divides the leaf's capacity among teams by weight.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use displaydoc::Display;
use thiserror::Error;

use crate::ids::TeamName;
use crate::sliding_window::{SlidingWindow, as_micros};

/// Maximum number of entries of one team in a queue.
pub const TEAM_CAPACITY: usize = 256;

/// Queueing discipline: the order in which a queue serves its entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Discipline {
    /// Deficit round robin over the teams, by weight.
    #[default]
    FairShare,
    /// Order of arrival, regardless of the team; the baseline for measurements.
    Fifo,
}

/// Why a queue refused an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum QueueRefusal {
    /// the team's part of the queue is full
    TeamFull,
    /// the estimated wait of {estimate:?} exceeds the time left
    WaitTooLong {
        /// Estimated time until the entry would be sent.
        estimate: Duration,
    },
    /// the deadline has passed
    DeadlinePassed,
}

/// Result of [`FairQueue::pop`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Popped<T> {
    /// The entry to send now.
    Ready(T),
    /// An entry that cannot complete before its deadline; it must not be sent.
    Expired(T),
    /// The queue is empty.
    Empty,
}

#[derive(Debug)]
struct Entry<T> {
    sequence: u64,
    pushed_at: Instant,
    deadline: Instant,
    item: T,
}

#[derive(Debug)]
struct TeamQueue<T> {
    team: TeamName,
    /// At least 1.
    weight: u64,
    /// Deficit counter: what the team may still spend in its turn. Dropped with the team when its
    /// queue becomes empty.
    deficit: u64,
    /// True if the quantum of the current turn was already added to the deficit.
    has_quantum: bool,
    /// Oldest first; never empty while the team is in the ring.
    entries: VecDeque<Entry<T>>,
}

/// Deadline-aware queue of one leaf, with deficit round robin over teams.
#[derive(Debug)]
pub struct FairQueue<T> {
    discipline: Discipline,
    /// Teams with queued entries, in the order of their turns; it is the front team's turn.
    ring: VecDeque<TeamQueue<T>>,
    next_sequence: u64,
    /// Number of requests that the leaf processes concurrently; at least 1.
    parallelism: u32,
    /// Exponential moving average of service times; zero before the first one.
    mean_service_time: Duration,
    /// Optimistic estimate of the service time: drops to a faster service time at once and rises
    /// slowly.
    fast_service_time: Duration,
    /// Queue waits in microseconds of the entries that left the queue.
    waits_us: SlidingWindow,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self::new(Discipline::FairShare)
    }
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for a leaf with one slot.
    #[must_use]
    pub fn new(discipline: Discipline) -> Self {
        Self {
            discipline,
            ring: VecDeque::new(),
            next_sequence: 0,
            parallelism: 1,
            mean_service_time: Duration::ZERO,
            fast_service_time: Duration::ZERO,
            waits_us: SlidingWindow::new(),
        }
    }

    /// Adds an entry, or returns it if it cannot be served in time.
    ///
    /// # Errors
    ///
    /// Returns the item and the reason if the team's part of the queue is full, the deadline has
    /// passed, or the estimated wait exceeds the time left.
    pub fn push(
        &mut self,
        team: &TeamName,
        weight: u32,
        deadline: Instant,
        item: T,
        now: Instant,
    ) -> Result<(), (T, QueueRefusal)> {
        let weight = u64::from(weight.max(1));
        if let Err(refusal) = self.check(team, weight, deadline, now) {
            return Err((item, refusal));
        }
        let entry = Entry {
            sequence: self.next_sequence,
            pushed_at: now,
            deadline,
            item,
        };
        self.next_sequence += 1;
        if let Some(queue) = self.ring.iter_mut().find(|queue| queue.team == *team) {
            queue.weight = weight;
            queue.entries.push_back(entry);
        } else {
            self.ring.push_back(TeamQueue {
                team: team.clone(),
                weight,
                deficit: 0,
                has_quantum: false,
                entries: VecDeque::from([entry]),
            });
        }
        Ok(())
    }

    /// Takes the next entry; an expired one is not charged to its team.
    pub fn pop(&mut self, now: Instant) -> Popped<T> {
        let index = match self.discipline {
            Discipline::FairShare => self.next_turn(),
            Discipline::Fifo => self.team_with_oldest_entry(),
        };
        let Some(queue) = index.and_then(|index| self.ring.get_mut(index)) else {
            return Popped::Empty;
        };
        let Some(entry) = queue.entries.pop_front() else {
            return Popped::Empty;
        };
        let popped = if now + self.fast_service_time > entry.deadline {
            if now <= entry.deadline {
                // The estimate must fall here as well. Otherwise, an estimate above every deadline
                // would expire all entries, and without answers it would never be corrected.
                self.fast_service_time = self.fast_service_time * 7 / 8;
            }
            Popped::Expired(entry.item)
        } else {
            Popped::Ready(entry.item)
        };
        let wait = now.saturating_duration_since(entry.pushed_at);
        self.waits_us.record(as_micros(wait), now);
        self.charge_and_prune(index, matches!(popped, Popped::Ready(_)));
        popped
    }

    /// Returns the number of queued entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ring.iter().map(|queue| queue.entries.len()).sum()
    }

    /// Returns true if no entry is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    /// Records how long the leaf took to serve a request.
    pub fn record_service_time(&mut self, service: Duration) {
        if self.mean_service_time.is_zero() {
            self.mean_service_time = service;
            self.fast_service_time = service;
            return;
        }
        self.mean_service_time = self.mean_service_time * 7 / 8 + service / 8;
        self.fast_service_time = service.min(self.fast_service_time * 63 / 64 + service / 64);
    }

    /// Sets the number of requests that the leaf processes concurrently.
    pub fn set_parallelism(&mut self, slots: u32) {
        self.parallelism = slots.max(1);
    }

    /// Returns the mean queue wait of the entries that left the queue in the last second.
    ///
    /// If there were none, returns the wait of the oldest queued entry so far, so that a leaf that
    /// takes no requests does not look idle.
    #[must_use]
    pub fn mean_queue_wait(&self, now: Instant) -> Duration {
        if let Some(mean) = self.waits_us.sum(now).checked_div(self.waits_us.count(now)) {
            return Duration::from_micros(mean);
        }
        let team = self.team_with_oldest_entry();
        team.and_then(|index| self.ring.get(index))
            .and_then(|queue| queue.entries.front())
            .map_or(Duration::ZERO, |entry| {
                now.saturating_duration_since(entry.pushed_at)
            })
    }

    /// Estimates how long a new entry of the team would wait.
    ///
    /// Counts the team's own entries and those entries of other teams that round robin serves
    /// before the new one, so that the long queue of one team does not cause refusals for another.
    #[must_use]
    pub fn estimated_wait(&self, team: &TeamName, weight: u32) -> Duration {
        self.estimate(team, u64::from(weight.max(1)))
    }

    fn check(
        &self,
        team: &TeamName,
        weight: u64,
        deadline: Instant,
        now: Instant,
    ) -> Result<(), QueueRefusal> {
        if deadline <= now {
            return Err(QueueRefusal::DeadlinePassed);
        }
        if self.team_len(team) >= TEAM_CAPACITY {
            return Err(QueueRefusal::TeamFull);
        }
        let estimate = self.estimate(team, weight);
        if estimate > deadline - now {
            return Err(QueueRefusal::WaitTooLong { estimate });
        }
        Ok(())
    }

    fn team_len(&self, team: &TeamName) -> usize {
        let queue = self.ring.iter().find(|queue| queue.team == *team);
        queue.map_or(0, |queue| queue.entries.len())
    }

    fn estimate(&self, team: &TeamName, weight: u64) -> Duration {
        let own = self.team_len(team) as u64;
        let ahead = match self.discipline {
            Discipline::Fifo => self.len() as u64,
            Discipline::FairShare => {
                let others = self.ring.iter().filter(|queue| queue.team != *team);
                let served_before = others.map(|queue| {
                    let turns = ((own + 1) * queue.weight).div_ceil(weight);
                    turns.min(queue.entries.len() as u64)
                });
                own + served_before.sum::<u64>()
            }
        };
        // Each team holds at most TEAM_CAPACITY entries, so the product stays small.
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.mean_service_time.saturating_mul(ahead) / self.parallelism
    }

    /// Advances the ring to the next team that can pay for a request, and returns its index.
    fn next_turn(&mut self) -> Option<usize> {
        // A request costs the smallest weight in the ring. Thus each turn serves at least one
        // entry, and turns stay short even if all weights are large.
        let cost = self.ring.iter().map(|queue| queue.weight).min()?;
        loop {
            let front = self.ring.front_mut()?;
            if !front.has_quantum {
                front.has_quantum = true;
                front.deficit += front.weight;
            }
            if front.deficit >= cost {
                return Some(0);
            }
            front.has_quantum = false;
            self.ring.rotate_left(1);
        }
    }

    /// Returns the index of the team with the entry that arrived first.
    fn team_with_oldest_entry(&self) -> Option<usize> {
        let sequence = |queue: &TeamQueue<T>| queue.entries.front().map(|entry| entry.sequence);
        (0..self.ring.len()).min_by_key(|index| self.ring.get(*index).and_then(sequence))
    }

    /// Charges the team for an entry if it is sent, and removes a team without entries from the
    /// ring.
    fn charge_and_prune(&mut self, index: Option<usize>, charged: bool) {
        let cost = self.ring.iter().map(|queue| queue.weight).min();
        let Some(index) = index else { return };
        let Some(queue) = self.ring.get_mut(index) else {
            return;
        };
        if charged {
            queue.deficit = queue.deficit.saturating_sub(cost.unwrap_or(0));
        }
        if queue.entries.is_empty() {
            self.ring.remove(index);
        }
    }
}
