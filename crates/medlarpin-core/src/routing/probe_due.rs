use super::Unreachable;

/// A probe that a leaf out of reach needs now.
///
/// After an outage of many leafs, those that are back are used only once a probe has reached them, while
/// the others still take the time limit of each probe. The probes of leafs that have failed the fewest
/// come first, so that leafs that are back do not wait behind those that are not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeDue {
    how: Unreachable,
    /// Consecutive failures of requests and probes so far.
    failures: u32,
}

impl ProbeDue {
    pub(super) fn new(how: Unreachable, failures: u32) -> Self {
        Self { how, failures }
    }

    /// Returns how to probe the leaf.
    #[must_use]
    pub fn how(self) -> Unreachable {
        self.how
    }

    /// Returns true unless the leaf has failed a request or a probe since it last answered.
    #[must_use]
    pub fn is_first(self) -> bool {
        self.failures == 0
    }

    /// Returns a key by which due probes are sorted, the next one first.
    #[must_use]
    pub fn order(self) -> u32 {
        self.failures
    }
}
