use std::sync::Arc;

use medlarpin_core::coverage::{Attempt, Merge, MergeError};
use medlarpin_core::prelude::*;
use medlarpin_core::version_choice::choose_version;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Events of a query, from the choice of its index version to its outcome.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum QueryEvent {
    New {
        request: u64,
    },
    /// Publishes an index version; `replicas` lists the leafs of shard 0, 1 and so on.
    Publish {
        version: u64,
        replicas: Vec<Vec<String>>,
    },
    /// The leaf's connections are lost, so it can serve no shard.
    LeafLost {
        leaf: String,
    },
    /// A leaf reports that it no longer holds a version.
    VersionGone {
        leaf: String,
        version: u64,
    },
    /// Pins the query to the chosen version; a pinned query restarts at that version.
    Pin,
    /// Sends a hedge or a retry for the shard.
    Attempt {
        shard: u32,
    },
    /// The answer to an attempt arrives.
    Answer {
        request: u64,
        version: u64,
        shard: u32,
        attempt: u8,
        result: ShardResult,
    },
    /// Returns the query's current outcome, as the caller would get it.
    Finish,
}

/// Result in an answer for one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ShardResult {
    Rows(Vec<String>),
    LeafLost { may_have_run: bool },
    VersionGone,
    Refused,
}

/// A query, the published versions and the leafs that cannot serve them.
#[derive(Debug)]
pub(crate) struct QueryState {
    request: RequestId,
    maps: Vec<Arc<ShardMap>>,
    lost_leafs: Vec<LeafId>,
    /// Leafs that no longer hold a version.
    gone_versions: Vec<(LeafId, IndexVersion)>,
    merge: Option<Merge>,
}

pub(crate) fn apply(subject: &mut Option<QueryState>, event: &QueryEvent) -> Option<Value> {
    if let QueryEvent::New { request } = event {
        *subject = Some(QueryState {
            request: RequestId(u128::from(*request)),
            maps: Vec::new(),
            lost_leafs: Vec::new(),
            gone_versions: Vec::new(),
            merge: None,
        });
    }
    subject.as_mut()?.apply(event)
}

impl QueryState {
    /// Applies an event; returns `None` if it needs a pinned version and there is none.
    fn apply(&mut self, event: &QueryEvent) -> Option<Value> {
        match event {
            QueryEvent::Publish { version, replicas } => self.publish(*version, replicas),
            QueryEvent::LeafLost { leaf } => self.lost_leafs.push(LeafId::new(leaf)),
            QueryEvent::VersionGone { leaf, version } => {
                self.gone_versions
                    .push((LeafId::new(leaf), IndexVersion(*version)));
            }
            QueryEvent::New { .. } | QueryEvent::Pin => {}
            QueryEvent::Attempt { shard } => {
                let attempt = self.merge.as_mut()?.begin_attempt(ShardId(*shard));
                return Some(json!({"attempt": attempt.map(|attempt| attempt.0)}));
            }
            QueryEvent::Answer {
                request,
                version,
                shard,
                attempt,
                result,
            } => {
                let accepted = self.merge.as_mut()?.accept_attempt(
                    ShardId(*shard),
                    Attempt(*attempt),
                    IndexVersion(*version),
                    RequestId(u128::from(*request)),
                    result.to_outcome(),
                );
                return Some(json!(accepted.map_or_else(error_name, |()| "accepted")));
            }
            QueryEvent::Finish => return self.merge.as_ref().map(outcome),
        }
        let chosen = self.choose_version();
        if matches!(event, QueryEvent::Pin) {
            self.pin(chosen.as_deref());
        }
        Some(json!({"version": chosen.map(|map| map.version().0)}))
    }

    fn publish(&mut self, version: u64, replicas: &[Vec<String>]) {
        let leafs = |leafs: &Vec<String>| leafs.iter().map(|leaf| LeafId::new(leaf)).collect();
        let replicas = (0..)
            .zip(replicas)
            .map(|(shard, names)| (ShardId(shard), leafs(names)));
        let map = ShardMap::new("service".into(), IndexVersion(version), replicas.collect());
        self.maps.push(Arc::new(map));
    }

    fn choose_version(&self) -> Option<Arc<ShardMap>> {
        choose_version(&self.maps, |leaf, version| {
            !self.lost_leafs.contains(leaf)
                && !self.gone_versions.contains(&(leaf.clone(), version))
        })
    }

    fn pin(&mut self, map: Option<&ShardMap>) {
        let Some(map) = map else { return };
        let shards: Vec<ShardId> = map.shards().iter().map(|(shard, _)| *shard).collect();
        self.merge = Some(match self.merge.take() {
            Some(merge) => merge.restart(map.version(), &shards),
            None => Merge::new(self.request, map.version(), &shards),
        });
    }
}

impl ShardResult {
    fn to_outcome(&self) -> ShardOutcome {
        let uncovered = |reason, may_have_run| ShardOutcome::Uncovered {
            reason,
            may_have_run,
        };
        match self {
            Self::Rows(rows) => ShardOutcome::Covered { rows: rows.clone() },
            Self::LeafLost { may_have_run } => uncovered(UncoveredReason::LeafLost, *may_have_run),
            Self::VersionGone => uncovered(UncoveredReason::VersionGone, false),
            Self::Refused => uncovered(UncoveredReason::LeafRefused, false),
        }
    }
}

fn error_name(error: MergeError) -> &'static str {
    match error {
        MergeError::ForeignRequest(_) => "foreign_request",
        MergeError::OtherVersion(_) => "other_version",
        MergeError::ShardNotAsked(_) => "shard_not_asked",
        MergeError::AlreadyCovered(_) => "already_covered",
        MergeError::NoSuchAttempt(_) => "no_such_attempt",
    }
}

fn outcome(merge: &Merge) -> Value {
    let outcome = match merge.outcome() {
        Outcome::Complete => "complete".to_owned(),
        Outcome::Partial => "partial".to_owned(),
        Outcome::NotRun { reason, .. } => format!("not_run: {}", reason.as_str()),
        Outcome::Unknown { reason } => format!("unknown: {}", reason.as_str()),
    };
    let covered: Vec<u32> = merge.covered().iter().map(|shard| shard.0).collect();
    let uncovered = merge.uncovered();
    let uncovered: Vec<(u32, &str)> = uncovered
        .iter()
        .map(|uncovered| (uncovered.shard.0, uncovered.reason.as_str()))
        .collect();
    let rows: Vec<(u32, &str)> = merge.rows().map(|(shard, row)| (shard.0, row)).collect();
    json!({"outcome": outcome, "covered": covered, "uncovered": uncovered, "rows": rows})
}
