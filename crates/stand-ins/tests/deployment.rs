//! Tests that a deployment publishes exactly the shards that its leafs serve.

mod client;

use std::time::Duration;

use serde_json::{Value, json};
use stand_ins::prelude::*;

use crate::client::TestClient;

const DOMAINS: usize = 3;

fn config(leafs: usize, replicas: usize, shards: u32) -> DeploymentConfig {
    let service = ServiceConfig {
        name: "hodowcy".to_owned(),
        leafs,
        replicas,
        shards,
        slots: 3,
        connection_limit: 90,
        service_time: Duration::from_millis(1),
    };
    DeploymentConfig {
        services: vec![service],
        teams: vec![TeamConfig::new("veterinarians")],
        failure_domains: DOMAINS,
        index_version: 5,
    }
}

/// Checks that the published shard maps have `replicas` distinct domains for each shard, and that a
/// leaf of each serves it.
async fn check(leafs: usize, replicas: usize, shards: u32) {
    let deployment = Deployment::start(config(leafs, replicas, shards))
        .await
        .unwrap();
    deployment
        .publish_version("hodowcy", 6, shards * 2)
        .unwrap();
    let client = TestClient::new();
    let (_, tree) = client
        .send(deployment.platform().address(), "/v1/settings", None)
        .await
        .unwrap();
    let text = |path: &str| -> Value {
        serde_json::from_str(tree["subtrees"][path].as_str().unwrap()).unwrap()
    };
    let service = text("services/hodowcy");
    let domain_of = |id: &Value| {
        let leafs = service["leafs"].as_array().unwrap();
        leafs.iter().find(|leaf| leaf["id"] == *id).unwrap()["failure_domain"].to_string()
    };
    assert_eq!(tree["revision"], 2);
    assert_eq!(text("teams/veterinarians")["coverage_wanted"], "all");
    for (version, count) in [(5, shards), (6, shards * 2)] {
        let index = text(&format!("indexes/hodowcy/{version}"));
        assert_eq!(
            index["shards"].as_array().map(Vec::len),
            Some(count as usize)
        );
        for entry in index["shards"].as_array().unwrap() {
            let replica_ids = entry["leafs"].as_array().unwrap();
            let mut domains: Vec<_> = replica_ids.iter().map(domain_of).collect();
            domains.sort();
            domains.dedup();
            assert_eq!(domains.len(), replicas, "shard {entry}");
            let request = json!({
                "request_id": "r-1", "team": "t", "query": "q", "index_version": version,
                "shard": entry["shard"], "deadline_ms": 1000,
            });
            let leaf = deployment.leaf(replica_ids[0].as_str().unwrap());
            let reply = client
                .send(leaf.address(), "/search", Some(&request))
                .await
                .unwrap();
            assert_eq!(reply.0, 200, "shard {entry}");
        }
    }
    assert_eq!(deployment.total_runs(), u64::from(shards) * 3);
}

/// Guards against shard maps that list a leaf without the shard, or two leafs of the same failure
/// domain.
#[tokio::test]
async fn leafs_serve_the_published_shard_maps() {
    for (leafs, replicas, shards) in [(3, 3, 4), (6, 2, 12), (7, 2, 10), (2, 2, 3), (1, 1, 1)] {
        check(leafs, replicas, shards).await;
    }
}

/// Guards against a deployment with fewer replicas than configured.
#[tokio::test]
async fn more_replicas_than_failure_domains_are_an_error() {
    let started = Deployment::start(config(6, 4, 4)).await;
    assert!(matches!(
        started,
        Err(DeploymentError::Replicas { replicas: 4, .. })
    ));
}
