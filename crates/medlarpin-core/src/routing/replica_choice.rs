/// A leaf that may get a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Expected latency as a multiple of the usual one; above 0.
    pub expected_ratio: f64,
    /// True if the leaf answered its last requests and is not leaving.
    pub is_healthy: bool,
}

/// How strongly a faster leaf is preferred. With a plain minimum, all daemons would send to the
/// same leaf at once, and its queue would grow before their estimates follow.
const PREFERENCE_EXPONENT: i32 = 3;

/// Returns the index of the leaf that gets the next request; `random` is uniform from 0 to 1.
///
/// Sound leafs are chosen by chance in proportion to their speed; the others only if there is no
/// sound one.
#[must_use]
pub fn choose_replica(candidates: &[Candidate], random: f64) -> Option<usize> {
    let any_sound = candidates.iter().any(|candidate| candidate.is_healthy);
    let weight = |candidate: &Candidate| {
        if candidate.is_healthy == any_sound {
            candidate
                .expected_ratio
                .max(0.01)
                .powi(-PREFERENCE_EXPONENT)
        } else {
            0.0
        }
    };
    let total: f64 = candidates.iter().map(weight).sum();
    let mut left = random * total;
    let mut chosen = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let weight = weight(candidate);
        if weight > 0.0 {
            chosen = Some(index);
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
    }
    chosen
}
