use rand::RngExt;
use rand::rngs::SmallRng;

use super::candidates::CandidateTable;

/// Fraction (numerator, denominator) of the largest gain from which a group counts as tied with the
/// best one. With exact ties only, the largest groups would take part in every query.
const TIE_SHARE: (u32, u32) = (3, 4);

/// Chooses groups that together cover all shards of the table, by greedy set cover.
///
/// Returns for each group index whether the group is chosen.
pub(super) fn choose_groups(table: &CandidateTable<'_>, random: &mut SmallRng) -> Vec<bool> {
    let group_shards = GroupShards::new(table);
    let mut gains = group_shards.sizes();
    let mut is_chosen = vec![false; table.group_count()];
    let mut is_covered = vec![false; table.len()];
    let mut uncovered = table.len();
    let mut tied = Vec::with_capacity(gains.len());
    while uncovered > 0 {
        let Some(group) = pick(&gains, &mut tied, random) else {
            break;
        };
        is_chosen[group] = true;
        for shard in group_shards.shards(group) {
            let shard = *shard as usize;
            if std::mem::replace(&mut is_covered[shard], true) {
                continue;
            }
            uncovered -= 1;
            for other in table.groups(shard) {
                gains[other] -= 1;
            }
        }
    }
    is_chosen
}

/// Picks one of the groups tied for the most uncovered shards, uniformly at random.
///
/// `gains` has the number of uncovered shards that each group can serve; `tied` is a scratch
/// buffer.
fn pick(gains: &[u32], tied: &mut Vec<usize>, random: &mut SmallRng) -> Option<usize> {
    let max_gain = gains
        .iter()
        .copied()
        .max()
        .filter(|max_gain| *max_gain > 0)?;
    let min_gain = (max_gain * TIE_SHARE.0).div_ceil(TIE_SHARE.1);
    tied.clear();
    tied.extend((0..gains.len()).filter(|group| gains[*group] >= min_gain));
    tied.get(random.random_range(0..tied.len())).copied()
}

/// The shards that each group can serve, as indices into the candidate table.
struct GroupShards {
    /// End of each group's range in `shards`.
    ends: Vec<usize>,
    shards: Vec<u32>,
}

impl GroupShards {
    fn new(table: &CandidateTable<'_>) -> Self {
        let mut ends = table.group_sizes();
        let mut sum = 0;
        for end in &mut ends {
            // Start of the group's range; advances to its end while the range is filled.
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
