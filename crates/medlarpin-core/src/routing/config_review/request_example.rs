use super::{ShortName, TargetSummary};

/// A route's answer to an example request.
pub type ExampleAnswer = Option<(ShortName, TargetSummary)>;

/// A request that another configuration answers elsewhere.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestExample {
    /// Host of the request.
    pub host: ShortName,
    /// Path of the request.
    pub path: ShortName,
    /// Route and target in the version in force; `None` if no route matches.
    pub from: ExampleAnswer,
    /// Route and target in this version; `None` if no route matches.
    pub to: ExampleAnswer,
}
