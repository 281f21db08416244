//! The settings revision in force never goes down at a running daemon.
//!
//! The platform publishes revisions; a daemon reads any of its replicas, which may have gone back in
//! time, or may have been reset and then publish other content under a revision that was used before.
//! Daemons announce what they hold by gossip, which may be lost, reordered and duplicated, and a daemon
//! may restart. A starting daemon hears from its peers before it accepts work.

use std::collections::BTreeSet;

use medlarpin_core::prelude::Revision;
use medlarpin_core::revision_store::{Offer, OfferOutcome, RevisionStore};

use crate::explore::{Report, explore};

/// One way to get the protocol wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Any revision other than the one held is taken.
    TakesAnyOther,
    /// The revision that the platform gives is taken without a comparison.
    TrustsPlatform,
    /// Gossip is taken without a comparison.
    TrustsGossip,
    /// Other content under the revision held replaces it.
    TakesConflict,
    /// A starting daemon asks the platform only.
    StartsFromPlatform,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Daemons.
    pub daemons: usize,
    /// Highest revision.
    pub revisions: u8,
    /// Restarts of daemons.
    pub restarts: u8,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            daemons: 3,
            revisions: 3,
            restarts: 1,
        }
    }
}

/// A settings tree: its revision and its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Tree {
    revision: u8,
    /// Digest of the content; 1 for what a reset platform publishes.
    digest: u8,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// What the platform's replicas may answer.
    published: BTreeSet<Tree>,
    /// What each daemon holds; `None` if it is starting.
    daemons: Vec<Option<Tree>>,
    /// Announcements sent to anyone; they stay, so each may arrive late, twice or never.
    gossip: BTreeSet<Tree>,
    restarts: u8,
    /// True once a running daemon went back, changed content or started below its peers.
    is_violated: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Platform,
    Gossip,
}

struct Model {
    bounds: Bounds,
    mutation: Option<Mutation>,
}

/// Explores the model.
#[must_use]
pub fn check(bounds: Bounds, mutation: Option<Mutation>) -> Report<State> {
    let model = Model { bounds, mutation };
    let first = Tree {
        revision: 1,
        digest: 0,
    };
    let initial = State {
        published: BTreeSet::from([first]),
        daemons: vec![Some(first); bounds.daemons],
        gossip: BTreeSet::new(),
        restarts: 0,
        is_violated: false,
    };
    explore(
        &initial,
        |state| model.successors(state),
        |state| state.is_violated,
    )
}

/// Decides whether an offered tree replaces the one held.
///
/// The rule of section 4.9, as the shipped store applies it.
fn replaces(held: Tree, offered: Tree) -> bool {
    let offer = |tree: Tree| Offer {
        revision: Revision(tree.revision.into()),
        digest: tree.digest.into(),
        value: tree,
    };
    let mut store = RevisionStore::new();
    store.offer(offer(held));
    store.offer(offer(offered)) == OfferOutcome::Accepted
}

impl Model {
    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.publish_steps(state, &mut next);
        for daemon in 0..state.daemons.len() {
            match state.daemons[daemon] {
                Some(held) => self.running_steps(state, daemon, held, &mut next),
                None => self.start_steps(state, daemon, &mut next),
            }
        }
        next
    }

    fn publish_steps(&self, state: &State, next: &mut Vec<State>) {
        for digest in 0..2 {
            let of_digest = state.published.iter().filter(|tree| tree.digest == digest);
            let newest = of_digest.map(|tree| tree.revision).max().unwrap_or(0);
            if newest < self.bounds.revisions {
                let mut state = state.clone();
                let revision = newest + 1;
                state.published.insert(Tree { revision, digest });
                next.push(state);
            }
        }
    }

    fn running_steps(&self, state: &State, daemon: usize, held: Tree, next: &mut Vec<State>) {
        for offered in &state.published {
            next.extend(self.offer(state, daemon, held, *offered, Source::Platform));
        }
        for offered in &state.gossip {
            next.extend(self.offer(state, daemon, held, *offered, Source::Gossip));
        }
        let mut announced = state.clone();
        if announced.gossip.insert(held) {
            next.push(announced);
        }
        if state.restarts < self.bounds.restarts {
            let mut restarted = state.clone();
            restarted.restarts += 1;
            restarted.daemons[daemon] = None;
            next.push(restarted);
        }
    }

    fn offer(
        &self,
        state: &State,
        daemon: usize,
        held: Tree,
        offered: Tree,
        source: Source,
    ) -> Option<State> {
        let is_taken = match self.mutation {
            Some(Mutation::TakesAnyOther) => offered.revision != held.revision,
            Some(Mutation::TrustsPlatform) if source == Source::Platform => true,
            Some(Mutation::TrustsGossip) if source == Source::Gossip => true,
            Some(Mutation::TakesConflict) => offered.revision >= held.revision,
            _ => replaces(held, offered),
        };
        if !is_taken || offered == held {
            return None;
        }
        let mut next = state.clone();
        next.daemons[daemon] = Some(offered);
        next.is_violated |= offered.revision <= held.revision;
        Some(next)
    }

    /// The daemon starts with the best of what its peers hold and of one platform answer.
    fn start_steps(&self, state: &State, daemon: usize, next: &mut Vec<State>) {
        let peers = state.daemons.iter().flatten().copied();
        let best_peer = peers.max_by_key(|tree| tree.revision);
        for answer in &state.published {
            let start = match best_peer {
                Some(peer)
                    if self.mutation != Some(Mutation::StartsFromPlatform)
                        && !replaces(peer, *answer) =>
                {
                    peer
                }
                _ => *answer,
            };
            let mut started = state.clone();
            started.daemons[daemon] = Some(start);
            started.is_violated |= best_peer.is_some_and(|peer| start.revision < peer.revision);
            next.push(started);
        }
    }
}
