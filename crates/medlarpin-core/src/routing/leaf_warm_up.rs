use std::time::{Duration, Instant};

/// Until when a leaf counts as cold, from its entries, from health checks and from assumptions.
///
/// A leaf states how much longer it stays cold. That time is counted from the arrival of the
/// statement, so a delay of the statement makes it count as cold for longer, never for shorter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeafWarmUp {
    /// Sequence number of the newest entry; `None` before the first one.
    sequence: Option<u64>,
    /// End of the warm-up by the newest entry.
    published_until: Option<Instant>,
    /// End of the warm-up by the newest health check. An entry does not shorten it, since it may
    /// have been written before the health check.
    checked_until: Option<Instant>,
    assumed: Option<Assumption>,
    /// Latest return to service of the leaf's failure domain that an assumption was made for.
    returned_at: Option<Instant>,
}

/// An assumption that a leaf is cold, which ends when the leaf shows what it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Assumption {
    since: Instant,
    until: Instant,
    /// Least sequence number of an entry that was certainly written after `since`.
    sequence_min: u64,
}

impl LeafWarmUp {
    /// Records what the leaf's entry states; one that is known already changes nothing.
    pub fn published(&mut self, left: Duration, sequence: u64, now: Instant) {
        if self.sequence == Some(sequence) {
            return;
        }
        self.sequence = Some(sequence);
        self.published_until = end_of(left, now);
        self.assumed = self
            .assumed
            .filter(|assumed| sequence < assumed.sequence_min);
    }

    /// Records what the answer to a health check states that was sent at `asked_at`.
    pub fn checked(&mut self, left: Duration, asked_at: Instant, now: Instant) {
        self.checked_until = end_of(left, now);
        if self.checked_until.is_none() {
            self.published_until = None;
        }
        self.assumed = self.assumed.filter(|assumed| asked_at < assumed.since);
    }

    /// Assumes that the leaf is cold until then, unless an entry that was written later or a health
    /// check that was sent later shows otherwise. At most `entries_in_transit` entries may have been
    /// written that are not known yet.
    ///
    pub fn assume_cold(&mut self, until: Instant, entries_in_transit: u64, now: Instant) {
        let known = self.sequence.unwrap_or_default();
        self.assumed = Some(Assumption {
            since: now,
            until,
            sequence_min: known.saturating_add(entries_in_transit).saturating_add(1),
        });
    }

    /// Records that the leaf's failure domain was returned to service at `returned_at`: the leaf may have
    /// become cold shortly before, so it is [assumed](Self::assume_cold) to be cold until then. Only the
    /// first call for each return has an effect.
    pub fn domain_returned(
        &mut self,
        returned_at: Instant,
        until: Instant,
        entries_in_transit: u64,
    ) {
        if self.returned_at != Some(returned_at) {
            self.returned_at = Some(returned_at);
            self.assume_cold(until, entries_in_transit, returned_at);
        }
    }

    /// Returns the time until which the leaf counts as cold; `None` if it is warm.
    #[must_use]
    pub fn cold_until(&self, now: Instant) -> Option<Instant> {
        let assumed_until = self.assumed.map(|assumed| assumed.until);
        let stated_until = self.published_until.max(self.checked_until);
        stated_until.max(assumed_until).filter(|until| now < *until)
    }
}

fn end_of(left: Duration, now: Instant) -> Option<Instant> {
    (!left.is_zero()).then(|| now + left)
}
