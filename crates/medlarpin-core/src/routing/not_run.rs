/// Proof that no leaf has run a request and that none will.
///
/// Only a request that was never complete, and [`RunLedger::seal`](super::RunLedger::seal), give one. An answer
/// that promises as much to a caller needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub struct NotRun(());

impl NotRun {
    /// Returns the proof for a request that was refused before all of it was read, so that nothing could be sent.
    pub const fn unread() -> Self {
        Self(())
    }

    pub(super) const fn sealed() -> Self {
        Self(())
    }
}
