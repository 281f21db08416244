//! Finds out whether a leaf that was lost under a request has ended, or only its connection.

use std::sync::Arc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use medlarpin_core::canary::{LossKind, LossVerdict, LostLeafSign, NeighbourSign};
use medlarpin_core::prelude::{FailureDomain, LeafId};
use medlarpin_core::routing::{LEAF_SILENCE_TIMEOUT, Unreachable};
use tokio::time::timeout;

use crate::event::Event;
use crate::leaf::{Leaf, OpenError};
use crate::leaf_probe::check_health;
use crate::leaf_rates::LeafRates;
use crate::shared::Shared;
use crate::unverified_report::UnverifiedReport;

/// Number of leafs beside a lost one that are asked; some may be full, or have ended as well.
const NEIGHBOURS_ASKED: usize = 3;
/// Time limit of each check. Requests that are equal to the one that lost a leaf are refused meanwhile.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks a lost leaf for its health on a new connection, unless its failure domain is evacuated.
pub(crate) async fn ask_lost_leaf(shared: &Shared, leaf: &Leaf) -> LostLeafSign {
    if shared.leafs.is_evacuated(leaf) {
        return LostLeafSign::Silent;
    }
    timeout(CHECK_TIMEOUT, ask_health(shared, leaf))
        .await
        .unwrap_or(LostLeafSign::Silent)
}

async fn ask_health(shared: &Shared, leaf: &Leaf) -> LostLeafSign {
    let connections_max = shared.connections_max(&leaf.entry.service);
    let is_held_back = || {
        let rates = LeafRates::new(shared);
        rates.cold_wait_until(leaf, shared.now()).is_some()
    };
    let connection = match leaf.open_for_check(connections_max, shared).await {
        Ok(connection) => connection,
        Err(OpenError::Refused) => return LostLeafSign::Refuses,
        Err(OpenError::Limit | OpenError::Unreachable) => return LostLeafSign::Silent,
    };
    if is_held_back() {
        // An idle connection could keep a probe from opening one.
        drop(connection);
        return LostLeafSign::NotAsked;
    }
    let Some(healthy) = check_health(shared, leaf, connection).await else {
        return LostLeafSign::Silent;
    };
    let is_other =
        healthy.answered_by.is_some_and(|id| id != leaf.entry.id) || is_started_again(shared, leaf);
    leaf.release(healthy.connection, None, shared.now());
    if is_other {
        LostLeafSign::Replaced
    } else {
        LostLeafSign::Answers
    }
}

/// Asks leafs of a failure domain other than the lost ones for their health, unless the lost ones only fell silent
/// and one of the others has answered lately. Leafs of other domains stand in for those beside a silent one that
/// is alone in its domain.
pub(crate) async fn ask_neighbours(
    shared: &Shared,
    domain: &FailureDomain,
    kind: LossKind,
    lost: &[LeafId],
) -> NeighbourSign {
    let now = shared.now();
    let is_other = |leaf: &Leaf| leaf.is_usable(now) && !lost.contains(&leaf.entry.run_id());
    let is_in_domain = |leaf: &Leaf| leaf.entry.failure_domain == *domain;
    let mut others = shared
        .leafs
        .filter(|leaf| is_in_domain(leaf) && is_other(leaf));
    if others.is_empty() && kind == LossKind::Unanswered {
        others = shared.leafs.filter(is_other);
    }
    let others_count = others.len();
    // A leaf counts as silent only a while after it got the request. Broken connections may have broken just now.
    let lately = now.checked_sub(LEAF_SILENCE_TIMEOUT);
    let has_answered = |leaf: &Arc<Leaf>| lately.is_some_and(|at| leaf.load().has_heard_since(at));
    if kind == LossKind::Unanswered && others.iter().any(has_answered) {
        return NeighbourSign::Reached;
    }
    let mut signs: Vec<LostLeafSign> = Vec::new();
    let mut asked: Vec<Arc<Leaf>> = Vec::new();
    for leaf in others {
        let load = leaf.load();
        match load.unreachable() {
            Some(Unreachable::Refused) => signs.push(LostLeafSign::Refuses),
            Some(Unreachable::Silent) => signs.push(LostLeafSign::Silent),
            None if load.pause_until(now).is_none() => {
                drop(load);
                if LeafRates::new(shared).cold_wait_until(&leaf, now).is_none() {
                    asked.push(leaf);
                }
            }
            None => {}
        }
    }
    while asked.len() > NEIGHBOURS_ASKED {
        asked.swap_remove(rand::random_range(0..asked.len()));
    }
    let mut checks: FuturesUnordered<_> = asked
        .iter()
        .map(|leaf| ask_lost_leaf(shared, leaf))
        .collect();
    while !signs.contains(&LostLeafSign::Answers)
        && let Some(sign) = checks.next().await
    {
        signs.push(sign);
    }
    let is_reached = signs.contains(&LostLeafSign::Answers);
    Event::FailureDomainChecked {
        failure_domain: domain.as_str(),
        others: others_count,
        asked: asked.len(),
        is_reached,
    }
    .log();
    if is_reached {
        NeighbourSign::Reached
    } else if others_count == 0 {
        NeighbourSign::Nobody
    } else if signs.contains(&LostLeafSign::Refuses) {
        NeighbourSign::Refusing
    } else {
        NeighbourSign::Silent
    }
}

/// Returns true if the store lists this run of a leaf, or did when this daemon last heard from it.
fn is_listed(shared: &Shared, leaf: &Leaf) -> bool {
    let known = shared.leafs.find(&leaf.entry.id);
    known.is_some_and(|known| known.entry.is_of_same_process(&leaf.entry) && !known.is_withdrawn())
}

/// Returns true if the store lists another run of a leaf under its identifier.
fn is_started_again(shared: &Shared, leaf: &Leaf) -> bool {
    let known = shared.leafs.find(&leaf.entry.id);
    known.is_some_and(|known| known.entry.run_id() != leaf.entry.run_id())
}

/// Judges a loss by what was seen of the leaf and of those beside it. Logs the verdict, but only once that it
/// is open.
pub(crate) fn judge(
    shared: &Shared,
    report: &UnverifiedReport,
    sign: LostLeafSign,
    neighbours: NeighbourSign,
) -> LossVerdict {
    let is_listed = is_listed(shared, &report.leaf);
    let verdict = LossVerdict::of(report.kind, sign, neighbours, is_listed);
    let is_open = matches!(verdict, LossVerdict::Silent | LossVerdict::Unknown);
    if !is_open || !report.is_unresolved {
        Event::LossJudged {
            leaf: report.leaf.entry.id.as_str(),
            kind: report.kind,
            sign,
            neighbours,
            is_listed,
            verdict,
        }
        .log();
    }
    verdict
}
