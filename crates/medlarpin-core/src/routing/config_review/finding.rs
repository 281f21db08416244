use super::{ConfigField, ConfigPart, Problem};

/// How serious a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Daemons use the configuration; it probably does not do what the operator wants.
    Warning,
    /// Daemons do not use the configuration.
    Error,
}

/// A problem of a configuration and its place.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// The route, service or other part that has the problem.
    pub part: ConfigPart,
    /// The field that has the problem, if it is one field.
    pub field: Option<ConfigField>,
    /// What is wrong.
    pub problem: Problem,
}
