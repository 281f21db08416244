use std::sync::Arc;
use std::time::Instant;

use medlarpin_core::canary::LossKind;

use crate::crash_report::CrashReport;
use crate::leaf::Leaf;

/// A report of this daemon that does not count yet: the connection may have broken because a link
/// failed or the leaf lost an answer, and not because the leaf ended.
#[derive(Debug)]
pub(crate) struct UnverifiedReport {
    pub(crate) report: CrashReport,
    pub(crate) leaf: Arc<Leaf>,
    pub(crate) kind: LossKind,
    /// True once the loss was judged without a result.
    pub(crate) is_unresolved: bool,
    /// Time at which the leaf was found to answer again; `None` unless it was silent before and has answered
    /// since.
    pub(crate) answered_at: Option<Instant>,
    /// True if the daemons that collect such reports are to be told.
    pub(crate) is_passed_on: bool,
}
