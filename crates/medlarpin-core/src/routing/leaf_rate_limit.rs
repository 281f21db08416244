use std::time::{Duration, Instant};

use super::{RateAccess, RateStatement, RequestRate, StatedRate};

/// Time for which unused credit accumulates, at least up to one request.
const CREDIT_TIME: Duration = Duration::from_millis(500);
/// Upper bound of a wait, which keeps tiny rates within the range of [`Instant`].
const WAIT_MAX: Duration = Duration::from_hours(24);
/// Wait of a daemon that may send nothing, after which it may be told otherwise by its list of
/// daemons.
const NO_ACCESS_WAIT: Duration = Duration::from_secs(1);
/// Upper bound of the wait after a denied permit: the time between two requests at the least rate
/// that a daemon permits.
const DENIAL_MAX: Duration = Duration::from_secs(4);
/// Relative difference from which another stated rate is a change that other daemons are told of.
const CHANGE_MIN: f64 = 0.1;

/// A limit on the requests of all daemons together to a leaf, and what this daemon may send within
/// it: one that the leaf states in its answers, or that of a cold leaf.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LeafRateLimit {
    /// `None` while the leaf states no limit.
    limit: Option<Limit>,
    /// Time of the newest statement, also of one that ended a limit; `None` before the first limit.
    known_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Limit {
    rate: RequestRate,
    /// Requests that may be sent, including a fraction, as of `credited_at`.
    ///
    /// With [`RateAccess::Paced`] it is at most 1 whenever it is used, however much time has passed,
    /// and at most 0 after each request. So two requests are at least the inverse of the access's
    /// rate apart, and a daemon sends at most one more than that rate in any second.
    credit: f64,
    credited_at: Instant,
    /// End of the wait after another daemon denied a permit.
    denied_until: Option<Instant>,
}

impl LeafRateLimit {
    /// Records what the leaf stated to this or another daemon; `random` is uniform in [0, 1).
    /// Returns true if the limit started, changed or ended.
    ///
    /// An answer ends the limit only if its request was sent after the limit was last stated, since
    /// answers can overtake each other. A daemon starts with a random part of a request: if each
    /// started with a whole one, the requests of a large fleet would exceed a low limit.
    pub fn record(&mut self, statement: RateStatement, random: f64, now: Instant) -> bool {
        let is_newer = |at: Instant| self.known_at.is_none_or(|known_at| known_at <= at);
        match (statement.stated, &mut self.limit) {
            (StatedRate::Limited(rate), limit) if is_newer(statement.heard_at) => {
                self.known_at = Some(statement.heard_at);
                let previous = limit.map(|limit| limit.rate);
                let limit = limit.get_or_insert(Limit {
                    rate,
                    credit: random,
                    credited_at: now,
                    denied_until: None,
                });
                limit.rate = rate;
                previous.is_none_or(|previous| is_changed(previous, rate))
            }
            (StatedRate::Unlimited, Some(_)) if is_newer(statement.asked_at) => {
                self.known_at = Some(statement.heard_at);
                self.limit = None;
                true
            }
            _ => false,
        }
    }

    /// Returns the rate that the leaf states for all daemons together, if it states one.
    #[must_use]
    pub fn stated(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate)
    }

    /// Returns the time of the newest statement; `None` if the leaf never stated a limit.
    #[must_use]
    pub fn known_at(&self) -> Option<Instant> {
        self.known_at
    }

    /// Returns the time from which the next request may be sent, or a permit for it be asked for,
    /// which may have passed; `None` if the leaf states no limit.
    #[must_use]
    pub fn available_at(&self, access: RateAccess, now: Instant) -> Option<Instant> {
        let limit = self.limit?;
        match access {
            RateAccess::Own(per_s) | RateAccess::Paced(per_s) => {
                let missing = (1.0 - limit.credit_at(per_s, credit_max(access), now)).max(0.0);
                let wait_s = (missing / per_s).min(WAIT_MAX.as_secs_f64());
                Some(now + Duration::from_secs_f64(wait_s))
            }
            RateAccess::Permit(_) => Some(limit.denied_until.unwrap_or(now)),
            RateAccess::Nothing => Some(now + NO_ACCESS_WAIT),
        }
    }

    /// Records that a request is sent if one is available now; otherwise returns the time until one
    /// is.
    pub fn take(&mut self, access: RateAccess, now: Instant) -> Option<Duration> {
        let available_at = self.available_at(access, now)?;
        if now < available_at {
            return Some(available_at - now);
        }
        self.sent(access, now);
        None
    }

    /// Records that a request is sent, or permitted to another daemon.
    pub fn sent(&mut self, access: RateAccess, now: Instant) {
        if let (Some(limit), RateAccess::Own(per_s) | RateAccess::Paced(per_s)) =
            (&mut self.limit, access)
        {
            limit.credit = limit.credit_at(per_s, credit_max(access), now) - 1.0;
            limit.credited_at = now;
        }
    }

    /// Records that another daemon permits no request for `wait`.
    ///
    /// A longer wait than any rate requires is that of a faulty daemon, and is cut short.
    pub fn denied(&mut self, wait: Duration, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.denied_until = Some(now + wait.min(DENIAL_MAX));
        }
    }
}

impl Limit {
    fn credit_at(&self, per_s: f64, credit_max: f64, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.credited_at);
        (self.credit + elapsed.as_secs_f64() * per_s).min(credit_max)
    }
}

/// Returns the most credit that accumulates.
fn credit_max(access: RateAccess) -> f64 {
    match access {
        RateAccess::Own(per_s) => (per_s * CREDIT_TIME.as_secs_f64()).max(1.0),
        RateAccess::Paced(_) | RateAccess::Permit(_) | RateAccess::Nothing => 1.0,
    }
}

fn is_changed(previous: RequestRate, rate: RequestRate) -> bool {
    let difference = (rate.per_s() - previous.per_s()).abs();
    difference > previous.per_s() * CHANGE_MIN
}
