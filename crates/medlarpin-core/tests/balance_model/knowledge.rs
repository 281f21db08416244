use std::time::Instant;

use medlarpin_core::routing::{
    Candidate, LeafLoad, LoadStatement, RatioEvidence, RouteLatency, StatedLoad, choose_replica,
};
use rand::RngExt as _;
use rand::rngs::StdRng;

/// A daemon: what it knows of the leafs of each service, all through the shipped code.
pub struct Daemon {
    pub latency: RouteLatency,
    pub services: Vec<Vec<LeafLoad>>,
}

impl Daemon {
    /// Chooses a leaf of a service as `ServiceCall::choose_leaf` does.
    pub fn choose(
        &mut self,
        service: usize,
        slots: &[u32],
        tried: &[usize],
        now: Instant,
        random: &mut StdRng,
    ) -> Option<usize> {
        let typical = self.latency.typical(now);
        let loads = &self.services[service];
        let evidence: RatioEvidence = loads.iter().map(LeafLoad::ratio_evidence).sum();
        let free: Vec<usize> = (0..loads.len())
            .filter(|leaf| loads[*leaf].blocked_until(now).is_none())
            .collect();
        let candidate = |leaf: &usize| Candidate {
            expected_ratio: loads[*leaf].choice_ratio(evidence, slots[*leaf], typical, now),
            is_preferred: !tried.contains(leaf),
        };
        let candidates: Vec<Candidate> = free.iter().map(candidate).collect();
        choose_replica(&candidates, random.random()).map(|index| free[index])
    }

    /// Records an answer, or a rejection, as an attempt of the router does.
    pub fn answered(
        &mut self,
        (service, leaf): (usize, usize),
        sent_at: Instant,
        ran: bool,
        stated: Option<StatedLoad>,
        now: Instant,
    ) {
        let typical = self.latency.typical(now);
        let load = &mut self.services[service][leaf];
        if let Some(stated) = stated {
            load.record_statement(LoadStatement {
                stated,
                heard_at: now,
            });
        }
        if ran {
            load.answered(now - sent_at, typical, now);
        } else {
            load.shed(now);
        }
        load.remove_in_flight(sent_at);
    }
}
