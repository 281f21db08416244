//! Index versions and shards that a leaf has loaded.

/// Shards of an index version that a leaf has loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Shards {
    /// All shards of the version.
    All,
    /// Only the listed shards.
    Subset(Vec<u32>),
}

impl Shards {
    fn contains(&self, shard: u32) -> bool {
        match self {
            Self::All => true,
            Self::Subset(shards) => shards.contains(&shard),
        }
    }
}

/// Loaded versions with their shards, sorted by version.
#[derive(Debug)]
pub(super) struct IndexVersions(Vec<(u64, Shards)>);

impl IndexVersions {
    pub(super) fn new(mut versions: Vec<(u64, Shards)>) -> Self {
        versions.sort_by_key(|(version, _)| *version);
        Self(versions)
    }

    pub(super) fn add(&mut self, version: u64, shards: Shards) {
        match self.position(version) {
            Ok(index) => self.0[index].1 = shards,
            Err(index) => self.0.insert(index, (version, shards)),
        }
    }

    pub(super) fn remove(&mut self, version: u64) {
        if let Ok(index) = self.position(version) {
            self.0.remove(index);
        }
    }

    pub(super) fn contains(&self, version: u64, shard: u32) -> bool {
        self.position(version)
            .is_ok_and(|index| self.0[index].1.contains(shard))
    }

    pub(super) fn versions(&self) -> Vec<u64> {
        self.0.iter().map(|(version, _)| *version).collect()
    }

    fn position(&self, version: u64) -> Result<usize, usize> {
        self.0
            .binary_search_by_key(&version, |(version, _)| *version)
    }
}
