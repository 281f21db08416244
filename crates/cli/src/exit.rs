use std::process::ExitCode;

/// Exit codes; the help text lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded; a query was answered completely.
    Success,
    /// `check` found errors, or `status` met a daemon that is not ready.
    Findings,
    /// The command line is not valid.
    Usage,
    /// A query was answered partially.
    Partial,
    /// A query was not run.
    NotRun,
    /// A query may have run.
    Unknown,
    /// The daemon refused a request as invalid.
    Refused,
    /// The daemon could not be reached or its answer could not be read.
    Unreachable,
    /// The daemon does not know the team, shard or request.
    NotFound,
}

impl Exit {
    /// Table for the help text; a line break followed by a space is kept there.
    pub(crate) const HELP: &'static str = "Exit codes:
   0 success; a query was answered completely
   1 check found errors, or status met a daemon that is not ready
   2 the command line is not valid
   3 a query was answered partially
   4 a query was not run
   5 it is unknown whether a query ran
   6 the daemon refused the request as invalid
   7 the daemon is unreachable or its answer unreadable
   8 the daemon does not know the team, shard or request
 Shell completion:
   medlarpin --bpaf-complete-style-bash (or -zsh, -fish, -elvish)";
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Success => 0,
            Exit::Findings => 1,
            Exit::Usage => 2,
            Exit::Partial => 3,
            Exit::NotRun => 4,
            Exit::Unknown => 5,
            Exit::Refused => 6,
            Exit::Unreachable => 7,
            Exit::NotFound => 8,
        })
    }
}
