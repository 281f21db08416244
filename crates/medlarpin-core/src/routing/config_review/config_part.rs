use super::ShortName;

/// The part of a configuration that a finding or a difference is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigPart {
    /// The configuration as a whole.
    Whole,
    /// One route.
    Route {
        /// Position in the published list, from 0, where it is known.
        position: Option<usize>,
        /// Name of the route; empty if it has none that can be read.
        name: ShortName,
    },
    /// One service.
    Service {
        /// Position in the published list, from 0, where it is known.
        position: Option<usize>,
        /// Name of the service; empty if it has none that can be read.
        name: ShortName,
    },
    /// The limits of callers' requests.
    Limits,
}

impl ConfigPart {
    /// Names a route at its position in the published list.
    #[must_use]
    pub fn route_at(position: usize, name: &str) -> Self {
        Self::Route {
            position: Some(position),
            name: ShortName::new(name),
        }
    }

    /// Names a route by its name only.
    #[must_use]
    pub fn route(name: &str) -> Self {
        Self::Route {
            position: None,
            name: ShortName::new(name),
        }
    }

    /// Names a service at its position in the published list.
    #[must_use]
    pub fn service_at(position: usize, name: &str) -> Self {
        Self::Service {
            position: Some(position),
            name: ShortName::new(name),
        }
    }

    /// Names a service by its name only.
    #[must_use]
    pub fn service(name: &str) -> Self {
        Self::Service {
            position: None,
            name: ShortName::new(name),
        }
    }
}
