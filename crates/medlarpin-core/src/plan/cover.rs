use rand::RngExt;
use rand::rngs::SmallRng;

use super::candidates::CandidateTable;

/// A group that covers at least this share (numerator, denominator) of the most shards counts as
/// tied. With exact ties only, the largest groups would take part in every query.
const TIE_SHARE: (u32, u32) = (3, 4);

/// Chooses groups that together cover all shards of the table, by greedy set cover.
///
/// Returns for each group index whether it is chosen.
pub(super) fn choose_groups(table: &CandidateTable<'_>, random: &mut SmallRng) -> Vec<bool> {
    let members = GroupMembers::new(table);
    let mut gains = members.sizes();
    let mut is_chosen = vec![false; table.group_count()];
    let mut is_covered = vec![false; table.len()];
    let mut left = table.len();
    let mut tied = Vec::with_capacity(gains.len());
    while left > 0 {
        let Some(group) = pick(&gains, &mut tied, random) else {
            break;
        };
        is_chosen[group] = true;
        for shard in members.shards(group) {
            let shard = *shard as usize;
            if std::mem::replace(&mut is_covered[shard], true) {
                continue;
            }
            left -= 1;
            for other in table.groups(shard) {
                gains[other] -= 1;
            }
        }
    }
    is_chosen
}

/// Picks one of the groups that cover about the most uncovered shards, each equally likely.
fn pick(gains: &[u32], tied: &mut Vec<usize>, random: &mut SmallRng) -> Option<usize> {
    let most = gains.iter().copied().max().filter(|most| *most > 0)?;
    let least = (most * TIE_SHARE.0).div_ceil(TIE_SHARE.1);
    tied.clear();
    tied.extend((0..gains.len()).filter(|group| gains[*group] >= least));
    tied.get(random.random_range(0..tied.len())).copied()
}

/// The shards that each group could serve, as indices into the candidate table.
struct GroupMembers {
    /// End of each group's part of `shards`.
    ends: Vec<usize>,
    shards: Vec<u32>,
}

impl GroupMembers {
    fn new(table: &CandidateTable<'_>) -> Self {
        let mut ends = table.group_sizes();
        let mut sum = 0;
        for end in &mut ends {
            // Holds the start of the group's part until the part is filled.
            sum += std::mem::replace(end, sum);
        }
        let mut shards = vec![0; sum];
        for (index, shard) in (0_u32..).zip(0..table.len()) {
            for group in table.groups(shard) {
                shards[ends[group]] = index;
                ends[group] += 1;
            }
        }
        Self { ends, shards }
    }

    fn sizes(&self) -> Vec<u32> {
        (0..self.ends.len())
            .map(|group| u32::try_from(self.shards(group).len()).unwrap_or(u32::MAX))
            .collect()
    }

    fn shards(&self, group: usize) -> &[u32] {
        let start = group.checked_sub(1).map_or(0, |group| self.ends[group]);
        &self.shards[start..self.ends[group]]
    }
}
