//! The settings revision in force at a running daemon never decreases.
//!
//! The platform publishes revisions. A daemon reads any replica of the platform, which may return
//! an old revision, or may have been reset and return different content under a revision that was
//! used before. Daemons gossip the tree that they hold; gossip may be lost, reordered and
//! duplicated. Daemons may restart, and a starting daemon hears from its peers before it accepts
//! work.

use std::collections::BTreeSet;

use medlarpin_core::prelude::Revision;
use medlarpin_core::revision_store::{Offer, OfferOutcome, RevisionStore};

use crate::explore::{Report, explore};

/// A deliberate fault in the protocol, which the check must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A daemon accepts any revision other than the one that it holds.
    AcceptsAnyOther,
    /// A daemon accepts every revision from the platform without comparing it.
    TrustsPlatform,
    /// A daemon accepts every revision from gossip without comparing it.
    TrustsGossip,
    /// A daemon accepts different content under the revision that it holds.
    AcceptsConflict,
    /// A starting daemon asks only the platform.
    IgnoresPeersAtStart,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Number of daemons.
    pub daemons: usize,
    /// Highest revision that the platform publishes.
    pub revisions: u8,
    /// Total number of daemon restarts.
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

/// A settings tree, represented by its revision and its digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Tree {
    revision: u8,
    /// Digest of the content: 1 if it was published after a reset of the platform, otherwise 0.
    digest: u8,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Trees that a replica of the platform may return.
    published: BTreeSet<Tree>,
    /// The tree that each daemon holds; `None` while the daemon starts.
    daemons: Vec<Option<Tree>>,
    /// Trees announced by gossip. None is ever removed, so each may arrive late, twice or never.
    gossip: BTreeSet<Tree>,
    restarts: u8,
    /// True once a running daemon has accepted an older revision or different content for the same
    /// revision, or a daemon has started with an older revision than a peer holds.
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

/// Explores all states of the model within the bounds.
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

/// Returns whether an offered tree replaces the held one, as decided by the production
/// [`RevisionStore`].
///
/// Section 4.9 of the design page states the rule.
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
            let with_digest = state.published.iter().filter(|tree| tree.digest == digest);
            let newest = with_digest.map(|tree| tree.revision).max().unwrap_or(0);
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
        let is_accepted = match self.mutation {
            Some(Mutation::AcceptsAnyOther) => offered.revision != held.revision,
            Some(Mutation::TrustsPlatform) if source == Source::Platform => true,
            Some(Mutation::TrustsGossip) if source == Source::Gossip => true,
            Some(Mutation::AcceptsConflict) => offered.revision >= held.revision,
            _ => replaces(held, offered),
        };
        if !is_accepted || offered == held {
            return None;
        }
        let mut next = state.clone();
        next.daemons[daemon] = Some(offered);
        next.is_violated |= offered.revision <= held.revision;
        Some(next)
    }

    /// Starts the daemon with the newest tree among those of its peers and one answer of the
    /// platform.
    fn start_steps(&self, state: &State, daemon: usize, next: &mut Vec<State>) {
        let peers = state.daemons.iter().flatten().copied();
        let newest_peer_tree = peers.max_by_key(|tree| tree.revision);
        for answer in &state.published {
            let start = match newest_peer_tree {
                Some(peer_tree)
                    if self.mutation != Some(Mutation::IgnoresPeersAtStart)
                        && !replaces(peer_tree, *answer) =>
                {
                    peer_tree
                }
                _ => *answer,
            };
            let mut started = state.clone();
            started.daemons[daemon] = Some(start);
            started.is_violated |=
                newest_peer_tree.is_some_and(|tree| start.revision < tree.revision);
            next.push(started);
        }
    }
}
