use medlarpin_core::ids::stable_hash;
use medlarpin_core::prelude::{Fingerprint, ServiceName};

use crate::caller_request::CallerRequest;

/// Identifies a request and the services that answer it, to record that they have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ProofKey {
    pub(crate) content_hash: u64,
    pub(crate) fingerprint: Fingerprint,
}

impl ProofKey {
    /// Returns the key of a request that goes to all these services.
    pub(crate) fn new(request: &CallerRequest, services: &[ServiceName]) -> Self {
        let content_hash = request.identity().content_hash;
        let content = content_hash.to_le_bytes();
        let names = services.iter().map(|service| service.as_str().as_bytes());
        let parts: Vec<&[u8]> = std::iter::once(&content[..]).chain(names).collect();
        Self {
            content_hash,
            fingerprint: Fingerprint(stable_hash(&parts)),
        }
    }
}
