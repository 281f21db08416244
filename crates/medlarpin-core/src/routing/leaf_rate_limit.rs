use std::time::{Duration, Instant};

use super::{RequestRate, StatedRate};

/// Part of the stated rate that the daemons use together. The rest covers requests that arrive
/// closer together than they were sent, and daemons that do not count each other yet.
const RATE_PART: f64 = 0.9;
/// The same part if the leaf takes so few requests that the daemons' single requests alone, at
/// independent times, may exceed it within a window.
const RATE_PART_SPARSE: f64 = 0.6;
/// Number of daemons up to which [`RATE_PART`] is used: this number of requests, and this number in
/// addition for each request per second that the leaf takes. All daemons' accumulated requests and
/// four seconds of their rates then stay within four seconds of one and a half times the stated
/// rate, and five requests more.
const DENSE_DAEMONS_MIN: f64 = 5.0;
const DENSE_DAEMONS_PER_RATE: f64 = 1.9;
/// Least rate of all daemons together, so that a leaf that takes almost no requests is still asked
/// for the end of its limit: one request in four seconds.
const RATE_MIN_PER_S: f64 = 0.25;
/// Time for which unused credit accumulates, at least up to one request.
const CREDIT_TIME: Duration = Duration::from_millis(500);
/// Upper bound of a reported wait, which keeps tiny rates within the range of [`Instant`].
const WAIT_MAX: Duration = Duration::from_hours(24);

/// The rate at which this daemon may send requests to a leaf that states a limit for all daemons.
///
/// Each daemon uses a fixed share of the stated rate, so that all together keep the limit without
/// coordination, also while they cannot reach each other. A daemon starts with a random part of a
/// request: if each started with a whole one, the requests of a large fleet would exceed a low
/// limit many times over.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LeafRateLimit {
    /// `None` while the leaf states no limit.
    limit: Option<Limit>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Limit {
    rate: RequestRate,
    /// Time at which the leaf last stated the limit.
    stated_at: Instant,
    /// Requests that may be sent, including a fraction, as of `credited_at`.
    credit: f64,
    credited_at: Instant,
}

impl LeafRateLimit {
    /// Records what the leaf stated in its answer to a request that was sent at `sent_at`; `random`
    /// is uniform in [0, 1). Returns true if the limit started, changed or ended.
    ///
    /// An answer ends the limit only if its request was sent after the limit was last stated, since
    /// answers can overtake each other.
    pub fn record(
        &mut self,
        stated: StatedRate,
        sent_at: Instant,
        random: f64,
        now: Instant,
    ) -> bool {
        match (stated, &mut self.limit) {
            (StatedRate::Limited(rate), Some(limit)) => {
                let is_changed = limit.rate != rate;
                limit.rate = rate;
                limit.stated_at = now;
                is_changed
            }
            (StatedRate::Limited(rate), None) => {
                self.limit = Some(Limit {
                    rate,
                    stated_at: now,
                    credit: random,
                    credited_at: now,
                });
                true
            }
            (StatedRate::Unlimited, Some(limit)) if limit.stated_at <= sent_at => {
                self.limit = None;
                true
            }
            (StatedRate::Unlimited | StatedRate::Unreadable, _) => false,
        }
    }

    /// Returns the rate that the leaf states for all daemons together, if it states one.
    #[must_use]
    pub fn stated(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate)
    }

    /// Returns the time from which the next request may be sent, which may have passed; `None` if
    /// the leaf states no limit. `share` is this daemon's share of the limit, above 0 and up to 1.
    #[must_use]
    pub fn next_request_at(&self, share: f64, now: Instant) -> Option<Instant> {
        let limit = self.limit?;
        let missing = (1.0 - limit.credit_at(share, now)).max(0.0);
        let wait_s = missing / limit.own_rate_per_s(share);
        Some(now + Duration::from_secs_f64(wait_s.min(WAIT_MAX.as_secs_f64())))
    }

    /// Records that a request is sent.
    pub fn sent(&mut self, share: f64, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.credit = limit.credit_at(share, now) - 1.0;
            limit.credited_at = now;
        }
    }
}

impl Limit {
    /// Returns this daemon's rate in requests per second; above 0.
    fn own_rate_per_s(&self, share: f64) -> f64 {
        let share = share.max(f64::MIN_POSITIVE);
        let stated_per_s = self.rate.per_s();
        let dense_daemons = DENSE_DAEMONS_MIN + DENSE_DAEMONS_PER_RATE * stated_per_s;
        let part = if 1.0 / share <= dense_daemons {
            RATE_PART
        } else {
            RATE_PART_SPARSE
        };
        (stated_per_s * part).max(RATE_MIN_PER_S) * share
    }

    fn credit_at(&self, share: f64, now: Instant) -> f64 {
        let own_rate_per_s = self.own_rate_per_s(share);
        let elapsed = now.saturating_duration_since(self.credited_at);
        let credit_max = (own_rate_per_s * CREDIT_TIME.as_secs_f64()).max(1.0);
        (self.credit + elapsed.as_secs_f64() * own_rate_per_s).min(credit_max)
    }
}
