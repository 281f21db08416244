use super::RequestRate;

/// Upper bound of the daemons that send to a cold leaf, which bounds the work to find them.
const SENDERS_MAX: u32 = 32;
/// Parts of a fleet whose daemons do not know of each other, each of which has its own senders.
const FLEET_PARTS: u32 = 2;
/// Largest part of the tolerated rate that the senders of one part of the fleet use together. Two
/// parts use 1.4 times the rate, within the platform's bound of 1.5.
const RATE_PART_MAX: f64 = 0.7;
/// Part of the tolerated rate which the senders use together at least, if there are more of them than
/// the rate needs. Each daemon has its own callers, so more senders serve more of them; but each
/// sender's first request takes room, which lowers the rate of all.
const RATE_PART_WANTED: f64 = 0.6;
/// Factor on a sender's rate in the bound, for requests that arrive closer together than they were
/// sent.
const ARRIVAL_MARGIN: f64 = 1.1;

/// The requests that a cold leaf may receive in any one-second interval, from all daemons together:
/// `overage` times the rate that it tolerates, and `slack` more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLeafBound {
    /// Finite, at least 0.
    overage: f64,
    /// Finite, at least 0.
    slack: f64,
}

/// How the daemons divide the requests to a cold leaf.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLeafPlan {
    /// Number of daemons, among those that know of each other, which send; at least 1.
    pub senders: usize,
    /// Requests per second of each sender, above 0.
    ///
    /// A sender's requests are at least `1 / per_s` apart, so it sends at most `1 + per_s` in a
    /// second, and twice as many daemons as `senders` stay within the bound.
    pub per_s: f64,
}

impl ColdLeafBound {
    /// Creates a bound; a number that is not finite or below 0 counts as 0.
    #[must_use]
    pub fn new(overage: f64, slack: f64) -> Self {
        let valid = |number: f64| {
            if number.is_finite() {
                number.max(0.0)
            } else {
                0.0
            }
        };
        Self {
            overage: valid(overage),
            slack: valid(slack),
        }
    }

    /// Returns the requests that a leaf may receive in one second.
    #[must_use]
    pub fn requests_max(self, tolerated: RequestRate) -> f64 {
        tolerated.per_s() * self.overage + self.slack
    }

    /// Returns how the requests are divided; `None` if the bound has no room for a request of each
    /// sender, so that no daemon sends any.
    ///
    /// The plan depends on nothing that daemons may know differently, such as their number.
    #[must_use]
    pub fn plan(self, tolerated: RequestRate) -> Option<ColdLeafPlan> {
        let allowed = self.requests_max(tolerated);
        let plan = |senders: u32| {
            let room = allowed / f64::from(FLEET_PARTS * senders) - 1.0;
            let per_s_max = tolerated.per_s() * RATE_PART_MAX / f64::from(senders);
            let per_s = (room / ARRIVAL_MARGIN).min(per_s_max);
            (per_s > 0.0).then_some(ColdLeafPlan {
                senders: usize::try_from(senders).unwrap_or(usize::MAX),
                per_s,
            })
        };
        let plans = || (1..=SENDERS_MAX).map_while(plan);
        let is_wanted =
            |plan: &ColdLeafPlan| plan.total_per_s() >= tolerated.per_s() * RATE_PART_WANTED;
        let largest = || plans().max_by(|a, b| a.total_per_s().total_cmp(&b.total_per_s()));
        plans().filter(is_wanted).last().or_else(largest)
    }
}

impl ColdLeafPlan {
    /// Returns the requests per second of all senders that know of each other.
    #[must_use]
    pub fn total_per_s(self) -> f64 {
        self.per_s * self.senders as f64
    }
}
