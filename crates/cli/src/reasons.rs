//! Explanations of the reason and outcome codes in a daemon's answers.

/// Returns an explanation of a reason code for operators.
pub(crate) fn reason_text(reason: &str) -> &'static str {
    match reason {
        "version_gone" => "no usable replica still holds the pinned index version",
        "no_replica" => "the shard map names no usable replica",
        "deadline_passed" => "the deadline passed before an answer arrived",
        "leaf_refused" => "every replica that was tried refused the request",
        "leaf_lost" => "the connection to the leaf was lost",
        "gatherer_lost" => "no daemon that holds a leaf of the shard returned a result",
        "quarantined" => "the query crashed leafs and is quarantined for 10 minutes",
        "invalid_reply" => "the leaf's reply belonged to another request, version or shard",
        "queue_full" => "the leaf's queue could not serve the request in time",
        "paused" => "the daemon was paused and has not rejoined yet",
        "no_connection" => "the leaf was lost or draining, or no connection to it could be opened",
        "rate_limit" => "the team is above its rate limit; see `medlarpin team`",
        "concurrency_limit" => "the team is above its concurrency limit; see `medlarpin team`",
        "overloaded" => "the fair queues cannot serve the query in time",
        "no_version" => "no published index version of the service can be served",
        "starting" => "the daemon has no settings yet",
        "ticket_invalid" => "the ticket expired before it was used",
        "ticket_limit" => "too many tickets are outstanding",
        "issuer_lost" => "the ticket's issuer cannot be reached, is stopping or has restarted",
        "outcome_forgotten" => {
            "the issuer no longer stores the outcome or has no record of the ticket"
        }
        "no_answer" => "a leaf may have run the query, and no answer arrived in time",
        _ => "this version of medlarpin does not know the reason",
    }
}

/// Returns an explanation of an outcome code for operators.
pub(crate) fn outcome_text(outcome: &str) -> &'static str {
    match outcome {
        "complete" => "all requested shards are covered",
        "partial" => "some of the requested shards are covered, others are not",
        "not_run" => "no leaf ran this submission; it can be sent again",
        "unknown" => "a leaf may have run the query",
        _ => "this version of medlarpin does not know the outcome",
    }
}
