use crate::ids::Revision;

/// Changes of one advance of the revision.
#[derive(Debug, Clone)]
struct Step<T> {
    from: Revision,
    to: Revision,
    /// Oldest first.
    changes: Vec<T>,
    /// True if the changes are the difference of two complete lists. What changed and changed back
    /// between the two is not in it.
    is_difference: bool,
}

/// The latest changes of the published items, for daemons that follow this one.
#[derive(Debug, Clone)]
pub struct ChangeLog<T> {
    /// Each step starts at the revision at which the one before it ends.
    steps: Vec<Step<T>>,
    /// Number of changes in all steps.
    len: usize,
    len_max: usize,
}

impl<T: Clone> ChangeLog<T> {
    /// Creates a log that keeps about `len_max` changes.
    #[must_use]
    pub fn new(len_max: usize) -> Self {
        Self {
            steps: Vec::new(),
            len: 0,
            len_max,
        }
    }

    /// Adds all changes between two revisions, as a watch reports them.
    pub fn add_changes(&mut self, from: Revision, to: Revision, changes: Vec<T>) {
        self.add(from, to, changes, false);
    }

    /// Adds the difference of the complete lists at two revisions.
    pub fn add_difference(&mut self, from: Revision, to: Revision, changes: Vec<T>) {
        self.add(from, to, changes, true);
    }

    /// Returns the changes after a revision, oldest first; `None` if they are not known.
    #[must_use]
    pub fn after(&self, revision: Revision) -> Option<Vec<T>> {
        let index = self.steps.partition_point(|step| step.to <= revision);
        let first = self.steps.get(index)?;
        let is_known = first.from == revision || (first.from < revision && !first.is_difference);
        is_known.then(|| {
            let steps = self.steps[index..].iter();
            steps
                .flat_map(|step| step.changes.iter().cloned())
                .collect()
        })
    }

    fn add(&mut self, from: Revision, to: Revision, changes: Vec<T>, is_difference: bool) {
        if self.steps.last().is_some_and(|last| last.to != from) {
            self.steps.clear();
            self.len = 0;
        }
        self.len += changes.len();
        self.steps.push(Step {
            from,
            to,
            changes,
            is_difference,
        });
        while self.len > self.len_max && self.steps.len() > 1 {
            self.len -= self.steps.remove(0).changes.len();
        }
    }
}
