//! Query planning: assigns a query's shards to leafs such that few leaf groups take part.

mod candidates;
mod cover;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use crate::catalog::ShardMap;
use crate::ids::{IndexVersion, LeafId, ShardId};
use candidates::{Candidate, CandidateTable};

/// Replicas in order of preference.
///
/// Two fit inline, because most shards have two or three replicas. Without inline storage, a plan
/// of 540 shards needs as many allocations.
pub type Alternatives<L> = SmallVec<[L; 2]>;

/// One leaf request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task<'a> {
    /// Shard to search.
    pub shard: ShardId,
    /// Leaf to send the request to.
    pub leaf: &'a LeafId,
    /// The shard's other usable replicas, least loaded first.
    pub alternatives: Alternatives<&'a LeafId>,
}

/// The leaf requests of one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch<'a> {
    /// Index of the group.
    pub group: usize,
    /// The requests, sorted by shard; never empty.
    pub tasks: Vec<Task<'a>>,
}

/// Assignment of a query's shards to leafs, which are borrowed from the shard map.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan<'a> {
    /// One batch for each group that takes part, sorted by group.
    pub batches: Vec<Batch<'a>>,
    /// Shards without a usable replica, sorted.
    pub no_replica: Vec<ShardId>,
}

/// Assigns each requested shard to a usable replica such that few groups take part.
///
/// The groups are chosen by greedy set cover. If several chosen groups can serve a shard, it is
/// assigned to the least loaded replica. The seed breaks ties randomly, so that queries spread over
/// the replicas. A leaf without a group is not usable. Group indices must be small, because they
/// index a table.
#[must_use]
pub fn plan<'a>(
    map: &'a ShardMap,
    shards: &[ShardId],
    group_of: impl Fn(&LeafId) -> Option<usize>,
    usable: impl Fn(&LeafId, IndexVersion) -> bool,
    load: impl Fn(&LeafId) -> u32,
    seed: u64,
) -> Plan<'a> {
    let mut random = SmallRng::seed_from_u64(seed);
    let candidate_of = |leaf| {
        let group = u32::try_from(group_of(leaf)?).ok()?;
        usable(leaf, map.version()).then(|| Candidate {
            group,
            leaf,
            load: load(leaf),
            is_first_of_group: true,
        })
    };
    let (table, no_replica) = CandidateTable::collect(map, shards, candidate_of);
    let is_chosen = cover::choose_groups(&table, &mut random);
    Plan {
        batches: assign(&table, &is_chosen, &mut random),
        no_replica,
    }
}

/// Assigns each shard to a replica in a chosen group.
fn assign<'a>(
    table: &CandidateTable<'a>,
    is_chosen: &[bool],
    random: &mut SmallRng,
) -> Vec<Batch<'a>> {
    let mut task_counts = vec![0; table.group_count()];
    // The order of the shards affects the result, because each assignment adds load to its group.
    // It is random so that the same shards are not assigned last in every query.
    let mut order: Vec<_> = (0..table.len()).collect();
    order.shuffle(random);
    let mut choices = vec![None; table.len()];
    for index in order {
        let (_, row) = table.row(index);
        choices[index] = choose_replica(row, is_chosen, &task_counts, random);
        if let Some(chosen) = choices[index] {
            task_counts[row[chosen].group as usize] += 1;
        }
    }
    batches(table, &choices, &task_counts)
}

/// Builds the batches from the index of each shard's chosen replica.
fn batches<'a>(
    table: &CandidateTable<'a>,
    choices: &[Option<usize>],
    task_counts: &[u32],
) -> Vec<Batch<'a>> {
    let new_batch = |(group, count): (usize, &u32)| Batch {
        group,
        tasks: Vec::with_capacity(*count as usize),
    };
    let mut batches: Vec<_> = task_counts.iter().enumerate().map(new_batch).collect();
    for (index, choice) in choices.iter().enumerate() {
        let (shard, row) = table.row(index);
        let Some(chosen) = *choice else { continue };
        batches[row[chosen].group as usize].tasks.push(Task {
            shard,
            leaf: row[chosen].leaf,
            alternatives: alternatives(row, chosen),
        });
    }
    batches.retain(|batch| !batch.tasks.is_empty());
    batches
}

/// Returns the other replicas of a shard, least loaded first.
fn alternatives<'a>(row: &[Candidate<'a>], chosen: usize) -> Alternatives<&'a LeafId> {
    let mut leafs = Alternatives::with_capacity(row.len() - 1);
    // The rotation spreads the first alternatives over replicas of equal load.
    let rotated = row[chosen + 1..].iter().chain(&row[..chosen]);
    let others = rotated.filter(|other| !is_same_leaf(other, &row[chosen]));
    let load = row[chosen].load;
    if row.iter().all(|candidate| candidate.load == load) {
        others.for_each(|other| leafs.push(other.leaf));
        return leafs;
    }
    let mut others: Vec<_> = others.collect();
    others.sort_by_key(|other| other.load);
    leafs.extend(others.iter().map(|other| other.leaf));
    leafs
}

/// Compares the groups first, because comparing leaf names causes cache misses.
fn is_same_leaf(a: &Candidate<'_>, b: &Candidate<'_>) -> bool {
    a.group == b.group && a.leaf == b.leaf
}

/// Returns the index of the least loaded replica in the chosen groups.
fn choose_replica(
    row: &[Candidate<'_>],
    is_chosen: &[bool],
    task_counts: &[u32],
    random: &mut SmallRng,
) -> Option<usize> {
    let is_eligible = |index: &usize| is_chosen[row[*index].group as usize];
    let first = (0..row.len()).find(is_eligible)?;
    if !(first + 1..row.len()).any(|index| is_eligible(&index)) {
        return Some(first);
    }
    // In sixteenths of a request, because a group's tasks spread over at most 16 leafs.
    let work = |candidate: &Candidate<'_>| {
        u64::from(candidate.load) * 16 + u64::from(task_counts[candidate.group as usize])
    };
    // The random start spreads the shards over replicas with equal load.
    let start = random.random_range(0..row.len());
    (start..row.len())
        .chain(0..start)
        .filter(is_eligible)
        .min_by_key(|index| (work(&row[*index]), row[*index].load))
}
