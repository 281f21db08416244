use std::time::Duration;

use hyper::StatusCode;
use medlarpin_core::load_shedder;
use serde::{Serialize, Serializer};

/// `Retry-After` if the daemon has no configuration or a service has no usable leaf; new leafs and
/// configurations appear within about a second.
const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_millis(600);
/// `Retry-After` if the leafs or this daemon are overloaded.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(100);

/// Why a request is refused without an answer of a leaf; log lines have the text of
/// [`Self::as_str`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The head of the request is malformed.
    BadRequest,
    /// The body did not arrive by the deadline.
    BodyTimedOut,
    /// The memory for callers' bodies has no room; no leaf has run the request.
    OutOfMemory,
    /// Equal requests have crashed leafs; no leaf has run this one.
    Quarantined {
        /// Seconds until the quarantine ends.
        left_s: u64,
    },
    /// Equal requests have probably crashed leafs, which are silent; no leaf has run this one.
    Withheld {
        /// Milliseconds until the caller may try again.
        retry_after_ms: u64,
    },
    /// No route matches.
    NoRoute,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The connection failed before the whole body arrived.
    BodyBrokenOff,
    /// The daemon has no configuration yet.
    NoConfig,
    /// No leaf is available; none has run the request.
    NoLeaf,
    /// This VM reaches no leaf that could run the request; none has got it.
    Unreachable,
    /// The leafs are overloaded and rejected the request; none has run it.
    LeafsFull,
    /// The leafs have more work than they can do in time, so that a part of the queries is refused;
    /// no leaf has run this one.
    Overloaded {
        /// Milliseconds until the caller may try again.
        retry_after_ms: u64,
    },
    /// The leafs take no more requests of this daemon for now, by the request rates that they state;
    /// no leaf has run this one.
    RateLimited {
        /// Milliseconds until the caller may try again.
        retry_after_ms: u64,
    },
    /// The leafs failed; one may have run the request.
    LeafsFailed,
    /// The other daemon that gathers the query failed; a leaf may have run the request.
    DaemonFailed,
    /// The daemon is being stopped, and the request is unlikely to end before; no leaf has got it.
    Stopping,
    /// The daemon was stopped before the request ended; a leaf may have run it.
    Stopped,
    /// The deadline passed; a leaf may have run the request.
    TimedOut,
    /// The deadline passed before any leaf got the request.
    Expired,
}

impl Refusal {
    /// Returns the refusal of a query because of overload; `random` is uniform in [0, 1).
    ///
    /// The admitted share changes with each interval of the load shedder. Callers are spread over
    /// two intervals, so that they do not return together.
    pub(crate) fn overloaded(random: f64) -> Self {
        let retry_after = load_shedder::INTERVAL.mul_f64(0.5 + random);
        Self::Overloaded {
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the refusal of a request for which the leafs have room after `wait` on this daemon;
    /// `random` is uniform in [0, 1).
    ///
    /// Retries reach other daemons, which may have room sooner. Callers are spread, so that they do
    /// not return together.
    pub(crate) fn rate_limited(wait: Duration, random: f64) -> Self {
        let wait = wait.clamp(RETRY_AFTER_FULL, RETRY_AFTER_UNAVAILABLE);
        let retry_after = wait.mul_f64(0.5 + random);
        Self::RateLimited {
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the refusal of a request whose quarantine lasts for the given time.
    pub(crate) fn quarantined(left: Duration) -> Self {
        Self::Quarantined {
            left_s: left.as_secs().max(1),
        }
    }

    /// Returns the refusal of a request that is withheld for the given time unless leafs stay silent.
    pub(crate) fn withheld(left: Duration) -> Self {
        Self::Withheld {
            retry_after_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the reason as it stands in metrics and log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTimedOut => "body_timed_out",
            Self::OutOfMemory => "out_of_memory",
            Self::Quarantined { .. } => "quarantined",
            Self::Withheld { .. } => "withheld",
            Self::NoRoute => "no_route",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBrokenOff => "body_broken_off",
            Self::NoConfig => "no_config",
            Self::NoLeaf => "no_leaf",
            Self::Unreachable => "unreachable",
            Self::LeafsFull => "leafs_full",
            Self::Overloaded { .. } => "overloaded",
            Self::RateLimited { .. } => "rate_limited",
            Self::LeafsFailed => "leafs_failed",
            Self::DaemonFailed => "daemon_failed",
            Self::Stopping => "stopping",
            Self::Stopped => "stopped",
            Self::TimedOut => "timed_out",
            Self::Expired => "expired",
        }
    }

    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::BodyBrokenOff => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::NoConfig
            | Self::NoLeaf
            | Self::Unreachable
            | Self::LeafsFull
            | Self::OutOfMemory
            | Self::Quarantined { .. }
            | Self::Withheld { .. }
            | Self::Overloaded { .. }
            | Self::RateLimited { .. }
            | Self::Stopping
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::LeafsFailed | Self::DaemonFailed => StatusCode::BAD_GATEWAY,
            Self::TimedOut | Self::Stopped => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoConfig | Self::NoLeaf | Self::Unreachable => Some(RETRY_AFTER_UNAVAILABLE),
            // Another daemon may serve the request at once.
            Self::LeafsFull | Self::OutOfMemory | Self::Stopping => Some(RETRY_AFTER_FULL),
            Self::Overloaded { retry_after_ms }
            | Self::RateLimited { retry_after_ms }
            | Self::Withheld { retry_after_ms } => Some(Duration::from_millis(retry_after_ms)),
            Self::Quarantined { left_s } => Some(Duration::from_secs(left_s)),
            Self::BadRequest
            | Self::NoRoute
            | Self::BodyTooLarge
            | Self::BodyBrokenOff
            | Self::BodyTimedOut
            | Self::LeafsFailed
            | Self::DaemonFailed
            | Self::TimedOut
            | Self::Stopped
            | Self::Expired => None,
        }
    }
}

impl Serialize for Refusal {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}
