//! Permits to run queries.

use std::sync::Arc;

use medlarpin_core::prelude::*;

use crate::entry::admission::Refusal;
use crate::entry::request::Query;
use crate::shared::Shared;

/// A team's permit to run one query; returned to the team's concurrency limit when dropped.
#[derive(Debug)]
pub struct TeamPermit {
    shared: Arc<Shared>,
    team: TeamName,
}

impl TeamPermit {
    /// Admits a query and returns its permit.
    ///
    /// # Errors
    ///
    /// Fails if the query is shed because of overload or the team is above one of its limits.
    pub fn acquire(shared: &Arc<Shared>, query: &Query) -> Result<Self, Refusal> {
        let now = shared.clock.now();
        let mut admission = shared.admission.lock();
        admission.check_overload(&query.team, &query.service, rand::random(), now)?;
        admission.admit(&query.team, query.deadline, now)?;
        drop(admission);
        Ok(Self {
            shared: Arc::clone(shared),
            team: query.team.clone(),
        })
    }
}

impl Drop for TeamPermit {
    fn drop(&mut self) {
        self.shared.admission.lock().release(&self.team);
    }
}
