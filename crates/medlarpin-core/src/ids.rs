//! Typed identifiers and the stable hash.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from its text.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the name's text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a VM that runs a daemon.
    VmName
}
name_type! {
    /// Name of a failure domain.
    FailureDomain
}
name_type! {
    /// Name of a region.
    Region
}
name_type! {
    /// Name of a team.
    TeamName
}
name_type! {
    /// Name of a searchable service.
    ServiceName
}
name_type! {
    /// Identifier of a leaf; unique within its service.
    LeafId
}

/// Number of a shard within an index version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// Number of an index version; a higher one is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IndexVersion(pub u64);

/// Revision of the settings tree or of the VM list; a higher one is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision(pub u64);

/// Number of one run of a daemon; chosen at its start and higher than those of earlier runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Identifier of one caller's query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Hash of a query's team, service and text; equal queries have the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a query.
    #[must_use]
    pub fn of(team: &TeamName, service: &ServiceName, query: &str) -> Self {
        Self(stable_hash(&[
            team.as_str().as_bytes(),
            service.as_str().as_bytes(),
            query.as_bytes(),
        ]))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Hashes the parts with 64-bit FNV-1a and a final mixing step.
///
/// All daemons must compute the same value, so the standard library's hasher, whose algorithm may
/// change with the toolchain, is not used.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET_BASIS;
    for part in parts {
        for byte in *part {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
        // Separator, so that ("ab", "c") and ("a", "bc") have different hashes.
        hash = (hash ^ 0xff).wrapping_mul(PRIME);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
