use std::process::ExitCode;

/// Outcome of a command, which determines the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded; a query was answered completely.
    Success,
    /// `check` found errors, `status` found that the daemon is not ready, or a file could not be
    /// read.
    CheckFailed,
    /// `check-config` found warnings, which were asked to fail.
    ConfigWarnings,
    /// `check-config` found errors, or could not read the configuration.
    ConfigErrors,
    /// The command line is not valid.
    Usage,
    /// A query was answered partially.
    Partial,
    /// A query was not run.
    NotRun,
    /// It is unknown whether a query ran.
    OutcomeUnknown,
    /// The daemon refused a request as invalid.
    InvalidRequest,
    /// The daemon or the store could not be reached, its response was unexpected, or the report could not be
    /// written.
    Unreachable,
    /// The daemon does not know the team, service, shard or request, or no log mentions the
    /// request.
    NotFound,
}

impl Exit {
    /// Exit codes for the help text. bpaf keeps a line break only if a space follows it.
    pub(crate) const HELP: &'static str = "Exit codes:
   0 success; a query was answered completely
   1 check found errors, status met a daemon that is not ready, or check-config found warnings and was asked to fail on them
   2 the command line is not valid, or check-config found errors
   3 a query was answered partially
   4 a query was not run
   5 it is unknown whether a query ran
   6 the daemon refused the request as invalid
   7 the daemon or the store is unreachable or its answer unreadable
   8 the daemon does not know the team, shard or request
 Shell completion:
   medlarpin --bpaf-complete-style-bash (or -zsh, -fish, -elvish)";
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Success => 0,
            Exit::CheckFailed | Exit::ConfigWarnings => 1,
            Exit::Usage | Exit::ConfigErrors => 2,
            Exit::Partial => 3,
            Exit::NotRun => 4,
            Exit::OutcomeUnknown => 5,
            Exit::InvalidRequest => 6,
            Exit::Unreachable => 7,
            Exit::NotFound => 8,
        })
    }
}
