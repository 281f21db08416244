use super::StoreRevision;

/// The changes between two consecutive known revisions.
#[derive(Debug, Clone)]
struct Step<T> {
    from: StoreRevision,
    to: StoreRevision,
    /// Oldest first.
    changes: Vec<T>,
    /// True if the changes were computed from snapshots at both revisions. Such a diff misses items
    /// that changed and changed back in between.
    is_diff: bool,
}

/// Bounded log of changes to the published items, served to daemons that follow this one.
#[derive(Debug, Clone)]
pub struct ChangeLog<T> {
    /// Contiguous: each step starts at the revision where the previous one ends.
    steps: Vec<Step<T>>,
    /// Total number of changes in all steps.
    len: usize,
    len_max: usize,
}

impl<T: Clone> ChangeLog<T> {
    /// Creates an empty log that keeps about `len_max` changes.
    ///
    /// Whole steps are evicted, and the newest one is always kept, so the limit can be exceeded.
    #[must_use]
    pub fn new(len_max: usize) -> Self {
        Self {
            steps: Vec::new(),
            len: 0,
            len_max,
        }
    }

    /// Appends all changes between two revisions, as reported by a watch.
    pub fn add_changes(&mut self, from: StoreRevision, to: StoreRevision, changes: Vec<T>) {
        self.add(from, to, changes, false);
    }

    /// Appends the diff between the snapshots at two revisions.
    pub fn add_diff(&mut self, from: StoreRevision, to: StoreRevision, changes: Vec<T>) {
        self.add(from, to, changes, true);
    }

    /// Returns the changes after a revision, oldest first.
    ///
    /// `None` if the log does not hold all of them; the follower then needs a snapshot.
    #[must_use]
    pub fn after(&self, revision: StoreRevision) -> Option<Vec<T>> {
        let index = self.steps.partition_point(|step| step.to <= revision);
        let first = self.steps.get(index)?;
        let is_known = first.from == revision || (first.from < revision && !first.is_diff);
        is_known.then(|| {
            let steps = self.steps[index..].iter();
            steps
                .flat_map(|step| step.changes.iter().cloned())
                .collect()
        })
    }

    fn add(&mut self, from: StoreRevision, to: StoreRevision, changes: Vec<T>, is_diff: bool) {
        if self.steps.last().is_some_and(|last| last.to != from) {
            self.steps.clear();
            self.len = 0;
        }
        self.len += changes.len();
        self.steps.push(Step {
            from,
            to,
            changes,
            is_diff,
        });
        while self.len > self.len_max && self.steps.len() > 1 {
            self.len -= self.steps.remove(0).changes.len();
        }
    }
}
