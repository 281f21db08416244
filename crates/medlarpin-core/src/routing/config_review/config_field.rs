/// A field of a configuration that findings and differences name. The adapter of the platform knows
/// the published names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigField {
    /// Version of the configuration.
    Version,
    /// Name of a route or service.
    Name,
    /// Host of a route.
    Host,
    /// Path prefix of a route.
    Prefix,
    /// Whether a route's requests may run more than once.
    Repeatability,
    /// Time limit of a route's requests.
    Timeout,
    /// Target latency of a route.
    TargetLatency,
    /// Priority of a route.
    Priority,
    /// Maximum number of leafs that one request of a route is sent to.
    LeafsMax,
    /// The single service of a route.
    Service,
    /// The weighted services of a route.
    Split,
    /// The shards of a route.
    Shards,
    /// Maximum number of records of an answer.
    RecordsMax,
    /// Least share of the shards that an answer covers.
    CoverageMin,
    /// Maximum number of connections to a leaf.
    ConnectionsMax,
    /// Path of the leafs' health check.
    HealthPath,
    /// Maximum size of a request's headers.
    HeaderBytes,
    /// Maximum size of a request's body.
    BodyBytes,
    /// Maximum time to receive a request's headers.
    HeaderTimeout,
    /// Time after which an idle connection is closed.
    IdleTimeout,
}
