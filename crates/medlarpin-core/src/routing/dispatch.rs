use super::RunLedger;

/// Why a dispatch cannot have led to a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRunReason {
    /// No byte of the request was written.
    Unsent,
    /// The leaf answered that it did not run the request.
    Rejected,
    /// The other daemon answered that no leaf has run the request and none will.
    Declined,
}

/// A request on its way to a leaf or to another daemon, which may run it.
///
/// Dropping the dispatch leaves the request as one that may have run.
#[derive(Debug)]
#[must_use]
pub struct Dispatch<'a> {
    ledger: &'a RunLedger,
}

impl<'a> Dispatch<'a> {
    pub(super) fn new(ledger: &'a RunLedger) -> Self {
        Self { ledger }
    }

    /// Records that this dispatch has not led to a run and will not; the caller names the evidence.
    pub fn disproved(self, _reason: NoRunReason) {
        self.ledger.disproved();
    }
}
