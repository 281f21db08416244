use std::sync::Arc;

use crate::call_evidence::CallEvidence;
use crate::caller_request::CallerRequest;
use crate::shared::Shared;

/// Records what a request has shown about whether it ends leafs, when it is dropped: at the end of the
/// request, and also if its caller leaves before.
#[derive(Debug)]
pub(crate) struct EvidenceRecorder {
    shared: Arc<Shared>,
    request: Arc<CallerRequest>,
    evidence: Arc<CallEvidence>,
}

impl EvidenceRecorder {
    /// Creates the recorder of a request's evidence.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        request: &Arc<CallerRequest>,
        evidence: &Arc<CallEvidence>,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            request: Arc::clone(request),
            evidence: Arc::clone(evidence),
        }
    }
}

impl Drop for EvidenceRecorder {
    fn drop(&mut self) {
        let memory = &self.shared.crash_memory;
        memory.record_evidence(&self.request, &self.evidence, self.shared.now());
    }
}
