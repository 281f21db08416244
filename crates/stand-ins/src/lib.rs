//! Small fakes of the platform and of upstream leafs for tests, the quick start and benchmarks.
//!
//! Each fake listens on a port of 127.0.0.1 that the operating system assigns, and runs on the
//! caller's tokio runtime.

pub mod deployment;
pub mod leaf;
pub mod platform;
pub mod server;

/// The items that most users of the fakes need.
pub mod prelude {
    pub use crate::deployment::{
        Coverage, Deployment, DeploymentConfig, DeploymentError, ServiceConfig, TeamConfig,
    };
    pub use crate::leaf::{
        CrashRule, FakeLeaf, Faults, HealthReport, HealthState, LeafConfig, Refusal, ReplyFault,
        Run, Shards, expected_rows,
    };
    pub use crate::platform::{
        FakePlatform, PlatformMode, PlatformView, Snapshot, VmEntry, VmEntryState,
    };
}
