use std::fmt;

use super::ShortName;
use crate::routing::RouteTarget;

/// Maximum number of services that a summary names.
const SERVICES_NAMED_MAX: usize = 4;

/// A short description of where a route's requests go.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetSummary {
    /// To a single service.
    Service(ShortName),
    /// To one of several services.
    Split {
        /// The first services with their share of the requests, from 0 to 1.
        first: Vec<(ShortName, f64)>,
        /// Number of all services.
        services: usize,
    },
    /// To all shards of a list.
    Scatter {
        /// Number of shards.
        shards: usize,
    },
}

impl TargetSummary {
    /// Describes a target.
    #[must_use]
    pub fn new(target: &RouteTarget) -> Self {
        match target {
            RouteTarget::Service(service) => Self::Service(ShortName::new(service.as_str())),
            RouteTarget::Split(parts) => {
                let total: f64 = parts.iter().map(|part| f64::from(part.weight)).sum();
                let first = parts.iter().take(SERVICES_NAMED_MAX).map(|part| {
                    let share = f64::from(part.weight) / total.max(1.0);
                    (ShortName::new(part.service.as_str()), share)
                });
                Self::Split {
                    first: first.collect(),
                    services: parts.len(),
                }
            }
            RouteTarget::Scatter(scatter) => Self::Scatter {
                shards: scatter.shards.len(),
            },
        }
    }
}

impl fmt::Display for TargetSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(service) => write!(f, "service {service}"),
            Self::Split { first, services } => {
                f.write_str("split")?;
                for (index, (service, share)) in first.iter().enumerate() {
                    let separator = if index == 0 { " " } else { ", " };
                    write!(f, "{separator}{service} {:.1}%", share * 100.0)?;
                }
                let omitted = services - first.len();
                if omitted > 0 {
                    write!(f, " and {omitted} more")?;
                }
                Ok(())
            }
            Self::Scatter { shards } => write!(f, "{shards} shards"),
        }
    }
}
