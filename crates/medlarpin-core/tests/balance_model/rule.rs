use std::time::{Duration, Instant};

use medlarpin_core::routing::{
    Candidate, LeafLoad, LoadStatement, RatioEvidence, StatedLoad, choose_replica,
};
use rand::RngExt as _;
use rand::rngs::StdRng;

/// The shipped choice of a leaf, or an alternative.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    Shipped,
    /// A random leaf.
    Random,
    /// As shipped, without the weight of the own requests and without statements.
    Unweighted,
    /// The better one of two random leafs.
    TwoChoices,
    /// As shipped, but each daemon uses only this number of the leafs of a service.
    FixedShares(usize),
    /// As shipped, with draws that spread evenly over the leafs.
    EvenDraws,
}

/// What a daemon knows of the leafs of a service.
pub struct Knowledge {
    pub loads: Vec<LeafLoad>,
    /// Position of the daemon among those with fixed shares, and its latest draw; in [0, 1).
    offset: f64,
    draw: f64,
}

impl Knowledge {
    pub fn new(leafs: usize, offset: f64) -> Self {
        Self {
            loads: vec![LeafLoad::default(); leafs],
            offset,
            draw: offset,
        }
    }

    /// Records an answer, or a rejection, in the order of `InFlightGuard`.
    pub fn answered(
        &mut self,
        leaf: usize,
        sent_at: Instant,
        ran: bool,
        stated: Option<StatedLoad>,
        typical: Duration,
        now: Instant,
    ) {
        let load = &mut self.loads[leaf];
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

    fn is_share(&self, leaf: usize, size: usize) -> bool {
        let leafs = self.loads.len();
        let first = (self.offset * leafs as f64) as usize;
        (leaf + leafs - first) % leafs < size
    }
}

impl Rule {
    pub fn choose(
        self,
        known: &mut Knowledge,
        slots: &[u32],
        tried: &[usize],
        typical: Duration,
        now: Instant,
        random: &mut StdRng,
    ) -> Option<usize> {
        let service: RatioEvidence = known.loads.iter().map(LeafLoad::ratio_evidence).sum();
        let free: Vec<usize> = (0..known.loads.len())
            .filter(|leaf| known.loads[*leaf].blocked_until(now).is_none())
            .collect();
        let candidate = |leaf: &usize| {
            let load = &known.loads[*leaf];
            let is_share = match self {
                Self::FixedShares(size) => known.is_share(*leaf, size),
                _ => true,
            };
            Candidate {
                expected_ratio: match self {
                    Self::Random => 1.0,
                    Self::Unweighted => load.expected_ratio(slots[*leaf], typical, now),
                    _ => load.choice_ratio(service, slots[*leaf], typical, now),
                },
                is_preferred: !tried.contains(leaf) && is_share,
            }
        };
        let mut candidates: Vec<Candidate> = free.iter().map(candidate).collect();
        let golden_ratio = 0.618_034;
        known.draw = (known.draw + golden_ratio).fract();
        let chosen = match self {
            Self::EvenDraws => choose_replica(&candidates, known.draw),
            Self::TwoChoices => {
                let preferred = |leaf: &usize| candidates[*leaf].is_preferred;
                let mut pool: Vec<usize> = (0..free.len()).filter(preferred).collect();
                if pool.is_empty() {
                    pool = (0..free.len()).collect();
                }
                let mut draw = || {
                    (!pool.is_empty()).then(|| pool.swap_remove(random.random_range(0..pool.len())))
                };
                let drawn = [draw(), draw()].into_iter().flatten();
                let ratio = |leaf: &usize| candidates[*leaf].expected_ratio;
                drawn.min_by(|a, b| ratio(a).total_cmp(&ratio(b)))
            }
            _ => choose_replica(&candidates, random.random()),
        };
        candidates.clear();
        chosen.map(|index| free[index])
    }
}
