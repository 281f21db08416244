use std::time::Duration;

use medlarpin_core::prelude::{LeafId, ServiceName};

/// A service of which equal requests have lost leafs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Suspicion {
    pub(crate) service: ServiceName,
    /// Runs of the lost leafs.
    pub(crate) lost: Vec<LeafId>,
    /// True if one of them has certainly ended, or is silent while a daemon reaches those beside it.
    pub(crate) is_confirmed: bool,
}

/// What is known of a request before it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestClearance {
    /// It may run.
    Clear,
    /// Equal requests lost leafs of these services, so that this one is sent to a single leaf of each.
    Suspect(Vec<Suspicion>),
    /// An equal request has just lost a leaf, and it is not known yet whether that leaf crashed.
    Unverified,
    /// It must not run while leafs that independent equal requests lost are silent.
    Withheld {
        /// Time left unless the leafs stay silent.
        left: Duration,
    },
    /// It must not run.
    Quarantined {
        /// Time left of the quarantine.
        left: Duration,
    },
}
