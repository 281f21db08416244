use super::{BoundedList, ConfigField, ConfigPart, Finding, Problem, Severity};

/// Maximum number of findings that a report lists. More are no help to an operator, and a
/// configuration of a few MB could have a million.
pub const FINDINGS_MAX: usize = 1_000;

/// The findings about a configuration: all are counted, and the first [`FINDINGS_MAX`] are kept.
#[derive(Debug, Clone, PartialEq)]
pub struct Findings {
    list: BoundedList<Finding>,
    errors: usize,
}

impl Default for Findings {
    fn default() -> Self {
        Self {
            list: BoundedList::new(FINDINGS_MAX),
            errors: 0,
        }
    }
}

impl Findings {
    /// Adds a finding.
    pub fn add(&mut self, part: ConfigPart, field: Option<ConfigField>, problem: Problem) {
        if problem.severity() == Severity::Error {
            self.errors += 1;
        }
        self.list.push(Finding {
            part,
            field,
            problem,
        });
    }

    /// Returns the findings that were kept, in the order in which they were added.
    #[must_use]
    pub fn kept(&self) -> &[Finding] {
        self.list.kept()
    }

    /// Returns the number of findings that were not kept.
    #[must_use]
    pub fn omitted(&self) -> usize {
        self.list.omitted()
    }

    /// Returns the number of errors among all findings.
    #[must_use]
    pub fn errors(&self) -> usize {
        self.errors
    }

    /// Returns the number of warnings among all findings.
    #[must_use]
    pub fn warnings(&self) -> usize {
        self.list.total() - self.errors
    }
}
