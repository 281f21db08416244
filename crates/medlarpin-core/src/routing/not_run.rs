/// Proof that no leaf has run a request and that none will.
///
/// It comes from [`RunLedger::seal`](super::RunLedger::seal), or from [`Self::unread`] for a request that was never
/// complete. An answer whose status promises as much to a caller needs it.
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
