use std::net::SocketAddr;

use super::RequestRate;

/// Part of the stated rate that the daemons use together. The rest covers requests that arrive
/// closer together than they were sent, and daemons that do not count each other yet.
const RATE_PART: f64 = 0.9;
/// The same part if a daemon permits the requests of the others. While these disagree on that
/// daemon, for example after it has failed, two of them permit requests.
const PERMITTED_RATE_PART: f64 = 0.7;
/// Part for shares of a rate that are not [dense](is_dense).
const SPARSE_RATE_PART: f64 = 0.6;
/// Least rate of all daemons together, so that a leaf that takes almost no requests is still asked
/// for the end of its limit: one request in four seconds.
const RATE_MIN_PER_S: f64 = 0.25;
/// Shares up to which the accumulated requests of all daemons and four seconds of their rates stay
/// within four seconds of one and a half times the stated rate, and five requests: this number, and
/// this number for each request per second.
const DENSE_DAEMONS_MIN: f64 = 5.0;
const DENSE_DAEMONS_PER_RATE: f64 = 1.9;

/// How a daemon may send requests to a leaf that states a rate for all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateAccess {
    /// This many requests per second, above 0, without asking another daemon.
    Own(f64),
    /// Like `Own`, and each request is sent at least the time after the previous one that the rate
    /// requires.
    Paced(f64),
    /// Each request needs a permit of this daemon.
    Permit(SocketAddr),
    /// None; the requests of other daemons use up the rate.
    Nothing,
}

impl RateAccess {
    /// Returns the access of a daemon with a fixed share of the rate, above 0 and up to 1.
    #[must_use]
    pub fn share(stated: RequestRate, share: f64) -> Self {
        let part = if is_dense(stated, share) {
            RATE_PART
        } else {
            SPARSE_RATE_PART
        };
        Self::Own(part_per_s(stated, part) * share.max(f64::MIN_POSITIVE))
    }

    /// Returns the requests per second that may be sent without asking another daemon; `None` if each
    /// needs a permit.
    #[must_use]
    pub fn per_s(self) -> Option<f64> {
        match self {
            Self::Own(per_s) | Self::Paced(per_s) => Some(per_s),
            Self::Permit(_) => None,
            Self::Nothing => Some(0.0),
        }
    }

    /// Returns the access of the daemon that permits the requests of the others.
    #[must_use]
    pub fn issuer(stated: RequestRate) -> Self {
        Self::Own(part_per_s(stated, PERMITTED_RATE_PART))
    }
}

/// Returns true if daemons with equal shares of a rate can use it independently of each other.
///
/// Otherwise the rate is low and the daemons are many: the single requests of daemons that happen to
/// send at the same time exceed it, and most of the rate is at daemons without callers for it.
#[must_use]
pub fn is_dense(stated: RequestRate, share: f64) -> bool {
    let daemons_max = DENSE_DAEMONS_MIN + DENSE_DAEMONS_PER_RATE * stated.per_s();
    share * daemons_max >= 1.0
}

fn part_per_s(stated: RequestRate, part: f64) -> f64 {
    (stated.per_s() * part).max(RATE_MIN_PER_S)
}
