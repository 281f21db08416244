//! Permits of admitted queries.

use std::sync::Arc;

use medlarpin_core::prelude::*;

use crate::entry::admission::Refusal;
use crate::shared::Shared;

/// The permit of an admitted query; returned when dropped.
#[derive(Debug)]
pub struct TeamPermit {
    shared: Arc<Shared>,
    team: TeamName,
}

impl TeamPermit {
    /// Admits a query.
    ///
    /// # Errors
    ///
    /// Fails if the team is above one of its limits.
    pub fn acquire(
        shared: &Arc<Shared>,
        team: &TeamName,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        let now = shared.clock.now();
        shared.admission.lock().admit(team, deadline, now)?;
        Ok(Self {
            shared: Arc::clone(shared),
            team: team.clone(),
        })
    }
}

impl Drop for TeamPermit {
    fn drop(&mut self) {
        self.shared.admission.lock().release(&self.team);
    }
}
