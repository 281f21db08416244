use crate::catalog::ShardMap;
use crate::ids::{LeafId, ShardId};

/// A usable replica of a shard. It is small so that the table of a query fits in the L1 cache.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub(super) leaf: &'a LeafId,
    /// Index of the leaf's group.
    pub(super) group: u32,
    /// Requests of the leaf that are queued or in flight, as reported by the caller of the planner.
    pub(super) load: u32,
    /// False if an earlier candidate of the same shard is in the same group.
    pub(super) is_first_of_group: bool,
}

/// The usable replicas of all requested shards.
///
/// All replicas are in one flat vector, because a vector for each shard would need as many
/// allocations.
#[derive(Debug)]
pub(super) struct CandidateTable<'a> {
    /// Shards with at least one candidate, sorted, each with the end index of its candidates.
    shards: Vec<(ShardId, usize)>,
    candidates: Vec<Candidate<'a>>,
    /// Largest group index plus 1.
    group_count: usize,
}

impl<'a> CandidateTable<'a> {
    /// Builds the table, and returns it with the sorted shards that have no usable replica.
    pub(super) fn collect(
        map: &'a ShardMap,
        requested: &[ShardId],
        candidate_of: impl Fn(&'a LeafId) -> Option<Candidate<'a>>,
    ) -> (Self, Vec<ShardId>) {
        let mut requested = requested.to_vec();
        requested.sort_unstable();
        requested.dedup();
        let mut no_replica = Vec::new();
        let mut table = Self {
            shards: Vec::with_capacity(requested.len()),
            candidates: Vec::with_capacity(requested.len() * 3),
            group_count: 0,
        };
        // Both lists are sorted, so they are merged in one pass.
        let mut rows = map.shards().iter().peekable();
        for shard in requested {
            while rows.next_if(|(row_shard, _)| *row_shard < shard).is_some() {}
            let row = rows.next_if(|(row_shard, _)| *row_shard == shard);
            let start = table.candidates.len();
            for leaf in row.into_iter().flat_map(|(_, replicas)| replicas) {
                table.push(start, candidate_of(leaf));
            }
            if table.candidates.len() == start {
                no_replica.push(shard);
            } else {
                table.shards.push((shard, table.candidates.len()));
            }
        }
        let groups = table.candidates.iter().map(|candidate| candidate.group);
        table.group_count = groups.max().map_or(0, |group| group as usize + 1);
        (table, no_replica)
    }

    pub(super) fn group_count(&self) -> usize {
        self.group_count
    }

    /// Returns for each group index the number of shards that the group can serve.
    pub(super) fn group_sizes(&self) -> Vec<usize> {
        let mut sizes = vec![0; self.group_count];
        for candidate in &self.candidates {
            sizes[candidate.group as usize] += usize::from(candidate.is_first_of_group);
        }
        sizes
    }

    /// Returns the number of shards with a candidate.
    pub(super) fn len(&self) -> usize {
        self.shards.len()
    }

    /// Returns the shard at an index and its candidates; there is at least one.
    pub(super) fn row(&self, index: usize) -> (ShardId, &[Candidate<'a>]) {
        let start = index.checked_sub(1).map_or(0, |index| self.shards[index].1);
        let (shard, end) = self.shards[index];
        (shard, &self.candidates[start..end])
    }

    /// Returns the distinct groups of the candidates of the shard at an index.
    pub(super) fn groups(&self, index: usize) -> impl Iterator<Item = usize> {
        let (_, row) = self.row(index);
        row.iter()
            .filter(|candidate| candidate.is_first_of_group)
            .map(|candidate| candidate.group as usize)
    }

    /// Appends a candidate to the last row, which starts at the index `start`.
    #[inline]
    fn push(&mut self, start: usize, candidate: Option<Candidate<'a>>) {
        let Some(mut candidate) = candidate else {
            return;
        };
        candidate.is_first_of_group = self.candidates[start..]
            .iter()
            .all(|other| other.group != candidate.group);
        self.candidates.push(candidate);
    }
}
