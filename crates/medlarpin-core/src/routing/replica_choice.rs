/// A leaf that may get a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Expected latency as a multiple of the route's typical latency, as
    /// [`LeafLoad::choice_ratio`](crate::routing::LeafLoad::choice_ratio) weighs it; above 0.
    pub expected_ratio: f64,
    /// True if the request has not been sent to the leaf yet and the leaf is not draining.
    pub is_preferred: bool,
}

/// Exponent that sets how strongly faster leafs are preferred. If the fastest leaf always won, all
/// daemons would send to it at once, and its queue would grow before their estimates caught up. A
/// leaf that takes twice as long still gets a 17th of the requests beside a single other one, so that its
/// recovery is noticed.
const PREFERENCE_EXPONENT: i32 = 4;

/// Returns the index of the leaf for the next request; `random` is uniform in [0, 1).
///
/// The choice is random, weighted by speed, among the preferred leafs, or among all if none is
/// preferred.
#[must_use]
pub fn choose_replica(candidates: &[Candidate], random: f64) -> Option<usize> {
    let any_preferred = candidates.iter().any(|candidate| candidate.is_preferred);
    let weight = |candidate: &Candidate| {
        if candidate.is_preferred == any_preferred {
            candidate
                .expected_ratio
                .max(0.01)
                .powi(-PREFERENCE_EXPONENT)
        } else {
            0.0
        }
    };
    let total: f64 = candidates.iter().map(weight).sum();
    let mut remaining = random * total;
    let mut chosen = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let weight = weight(candidate);
        if weight > 0.0 {
            chosen = Some(index);
            remaining -= weight;
            if remaining < 0.0 {
                break;
            }
        }
    }
    chosen
}
