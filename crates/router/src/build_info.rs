//! What the running program was built from.

/// The first 12 digits of the commit of this crate's build, with the suffix `-modified` if sources differed from
/// it; "unknown" if it was built without a repository.
pub const COMMIT: &str = env!("MEDLARPIN_COMMIT");

/// The version and the commit, as `--version` prints them.
pub const BUILD: &str = concat!(
    env!("CARGO_PKG_VERSION"),
    " (",
    env!("MEDLARPIN_COMMIT"),
    ")"
);
