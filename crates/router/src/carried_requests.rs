/// Number of requests that are remembered of a connection. A leaf sends a late copy of an answer before the answer
/// to the next request.
const REQUESTS_MAX: usize = 16;

/// Hashes of the identifiers of the requests that a connection to a leaf has carried.
///
/// Answers name the request, but not the attempt. An attempt on a connection that has carried the same request
/// could take a late copy of the earlier answer for its own.
#[derive(Debug, Default)]
pub(crate) struct CarriedRequests {
    /// Oldest first; at most [`REQUESTS_MAX`].
    hashes: Vec<u64>,
}

impl CarriedRequests {
    /// Records that the request is being written to the connection.
    pub(crate) fn record(&mut self, request: u64) {
        if self.hashes.len() >= REQUESTS_MAX {
            self.hashes.remove(0);
        }
        self.hashes.push(request);
    }

    /// Returns true if a late answer to the request may still arrive on the connection.
    pub(crate) fn contains(&self, request: u64) -> bool {
        self.hashes.contains(&request)
    }
}
