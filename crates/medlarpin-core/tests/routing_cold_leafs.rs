//! Tests of the limit on the requests to cold leafs.

mod cold_model;

use cold_model::{World, play, second_max};
use medlarpin_core::prelude::*;
use medlarpin_core::routing::{ColdLeafBound, LeafWarmUp, RequestRate};

const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

fn world(daemons: u16, tolerated_per_s: f64) -> World {
    World {
        daemons,
        tolerated_per_s,
        overage: OVERAGE,
        slack: SLACK,
        duration: Duration::from_secs(60),
        fault_interval: None,
        demand_per_s: f64::INFINITY,
        sends_undiscovered: false,
    }
}

/// Guards against a fleet that sends a cold leaf more requests in a second than the bound allows,
/// while daemons start, end, join, are cut off and return, their lists differ, and the leaf becomes
/// cold again.
#[test]
fn a_fleet_stays_within_the_bound() {
    let check = |world: World, seeds: std::ops::Range<u64>| {
        let allowed = world.tolerated_per_s * world.overage + world.slack;
        for seed in seeds {
            let played = play(world, seed);
            let most = second_max(&played.arrivals);
            println!(
                "{} daemons, {} per s, seed {seed}: {most} of {allowed}, {} senders, {} arrivals",
                world.daemons,
                world.tolerated_per_s,
                played.senders_max,
                played.arrivals.len()
            );
            assert!(
                most as f64 <= allowed,
                "{world:?}, seed {seed}: {most} of {allowed}"
            );
        }
    };
    for tolerated_per_s in [0.5, 4.0, 20.0, 60.0] {
        for (daemons, seeds) in [(1, 0..2), (2, 0..4), (6, 0..12), (24, 0..6)] {
            let faulty = World {
                duration: Duration::from_secs(120),
                fault_interval: Some(Duration::from_secs(3)),
                ..world(daemons, tolerated_per_s)
            };
            check(faulty, seeds);
        }
    }
    let large = World {
        duration: Duration::from_secs(30),
        fault_interval: Some(Duration::from_secs(4)),
        ..world(300, 20.0)
    };
    check(large, 0..1);
}
