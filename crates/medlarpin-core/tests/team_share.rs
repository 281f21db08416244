//! Tests of the division of a team's limit among daemons and of the limiters.

mod share_model;

use medlarpin_core::concurrency_limiter::ConcurrencyLimiter;
use medlarpin_core::prelude::*;
use medlarpin_core::rate_limiter::RateLimiter;
use medlarpin_core::team_share::{ShareLedger, UnitKind, base_share};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use share_model::{Variant, World, list, name};

const MS: Duration = Duration::from_millis(1);

fn shares(limit: u64, team: &TeamName, vms: &VmList) -> Vec<u64> {
    let share = |vm: &Vm| base_share(limit, team, &vm.name, vms);
    vms.vms().iter().map(share).collect()
}

fn worlds() -> impl Strategy<Value = World> {
    let kind = prop_oneof![
        Just(UnitKind::Rate),
        Just(UnitKind::Concurrency { max_hold: 300 * MS })
    ];
    let numbers = (2_usize..7, 1_u64..100, 0_u64..60, 0_u64..2000, any::<u64>());
    (numbers, kind, any::<bool>(), any::<bool>()).prop_map(
        |((daemons, limit, loss_percent, delay_ms, seed), kind, joins, leaves)| World {
            daemons,
            limit,
            kind,
            loss_percent,
            delay_ms,
            joins,
            leaves,
            seed,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against base shares that do not sum to the limit, and against two lists whose
    /// combined use exceeds it: among the VMs of both, the share of one rises while that of another
    /// falls.
    #[test]
    fn base_shares_sum_to_the_limit_and_change_in_one_direction(
        limit in 0_u64..2000,
        first in prop::collection::btree_set(0_usize..40, 1..30),
        second in prop::collection::btree_set(0_usize..40, 1..30),
    ) {
        let team = TeamName::new("inspectors");
        let (first, second) = (list(1, first), list(2, second));
        prop_assert_eq!(shares(limit, &team, &first).iter().sum::<u64>(), limit);
        let (mut is_lower, mut is_higher) = (false, false);
        for vm in first.vms().iter().filter(|vm| second.get(&vm.name).is_some()) {
            let share = |vms| base_share(limit, &team, &vm.name, vms);
            is_lower |= share(&first) < share(&second);
            is_higher |= share(&first) > share(&second);
        }
        prop_assert!(!(is_lower && is_higher));
    }

    /// Guards against units in use above the limit under changes of the VM list, lost, late and
    /// duplicated messages, clock errors of 1%, and pauses.
    #[test]
    fn units_in_use_stay_within_the_limit(world in worlds()) {
        prop_assert_eq!(world.run(Variant::Shipped), Ok(()));
    }
}

/// Guards against a simulation that does not detect ledgers that create units.
#[test]
fn simulation_detects_faulty_variants() {
    let check = |variant| {
        let found = (0..50).filter(|seed| {
            let world = World {
                daemons: 5,
                limit: 40,
                kind: UnitKind::Rate,
                loss_percent: 10,
                delay_ms: 800,
                joins: true,
                leaves: false,
                seed: *seed,
            };
            assert_eq!(world.run(Variant::Shipped), Ok(()), "seed {seed}");
            world.run(variant).is_err()
        });
        let found = found.count();
        println!("{variant:?}: found in {found} of 50 runs");
        assert!(found > 0, "{variant:?}");
    };
    check(Variant::LeaseFromReply);
    check(Variant::JoinWithoutAcknowledgements);
    check(Variant::AddsRenewals);
}

/// Guards against demand that cannot use the idle units of other daemons.
#[test]
fn idle_units_move_to_the_demand() {
    let check = |kind, limit: u64, demand: u64, expected_min: u64| {
        let start = Instant::now();
        let team = TeamName::new("clerks");
        let vms = list(1, 0..4);
        let new = |vm| ShareLedger::new(team.clone(), name(vm), limit, kind, start);
        let mut ledgers: Vec<ShareLedger> = (0..4).map(new).collect();
        for ledger in &mut ledgers {
            ledger.set_vm_list(&vms, true, start);
            assert_eq!(
                ledger.available(start),
                0,
                "units before the start is confirmed"
            );
            ledger.skip_start_delay(start);
        }
        let mut now = start;
        for _ in 0..150 {
            now += 10 * MS;
            ledgers[0].record_demand(demand, now);
            if let Some(request) = ledgers[0].next_request(|_| true, now) {
                let lender = (0..4).find(|vm| name(*vm) == request.lender).unwrap();
                let lease = ledgers[lender].lend(&name(0), request.units, now);
                ledgers[0].accept(&lease, request.asked_at, now);
            }
        }
        assert!(
            ledgers[0].available(now) >= expected_min,
            "{}",
            ledgers[0].available(now)
        );
        now += Duration::from_secs(3);
        for ledger in &mut ledgers {
            ledger.tick(now);
        }
        let sum: u64 = ledgers.iter().map(|ledger| ledger.available(now)).sum();
        assert_eq!(sum, limit, "borrowed units were not returned");
        assert_eq!(ledgers[0].units_to_borrow(now), None);
    };
    check(UnitKind::Rate, 100_000, 1000, 80_000);
    check(UnitKind::Concurrency { max_hold: 300 * MS }, 40, 30, 30);
}

/// Guards against admission above the rate, including units that are borrowed after an idle time.
#[test]
fn rate_limiter_stays_within_the_units() {
    let check = |rates: &[u64], queries: std::ops::RangeInclusive<u32>| {
        let start = Instant::now();
        let mut limiter = RateLimiter::new(start);
        let mut admitted = 0;
        for (second, rate) in rates.iter().enumerate() {
            for ms in 0..1000 {
                let now = start + Duration::from_millis(second as u64 * 1000 + ms);
                admitted += u32::from(limiter.try_take(now, *rate).is_ok());
            }
        }
        assert!(queries.contains(&admitted), "{admitted} at {rates:?}");
    };
    check(&[0, 0], 0..=0);
    check(&[500, 500, 500, 500], 1..=2);
    check(&[100_000, 100_000], 199..=200);
    check(&[100_000, 0, 100_000], 199..=210);
    let now = Instant::now();
    let mut idle = RateLimiter::new(now);
    idle.refill(now, 0);
    let borrowed = idle.try_take(now + 10_000 * MS, 100_000);
    assert_eq!(borrowed, Err(10 * MS), "tokens for a time without units");
}

/// Guards against a concurrency permit that outlasts the lease of its unit.
#[test]
fn permits_expire_before_their_leases() {
    let start = Instant::now();
    let kind = UnitKind::Concurrency { max_hold: 300 * MS };
    let mut ledger = ShareLedger::new("clerks".into(), name(0), 4, kind, start);
    ledger.set_vm_list(&list(1, 0..4), true, start);
    ledger.skip_start_delay(start);
    let lender = ShareLedger::new("clerks".into(), name(1), 4, kind, start);
    let mut lender = lender;
    lender.set_vm_list(&list(1, 0..4), true, start);
    lender.skip_start_delay(start);
    ledger.accept(&lender.lend(&name(0), 1, start), start, start);
    let mut limiter = ConcurrencyLimiter::new();
    let mut check = |deadline_ms: u32, expected: bool| {
        let units = ledger.available_until(start + MS * deadline_ms, start);
        assert_eq!(limiter.try_acquire(units), expected, "{deadline_ms} ms");
    };
    check(1300, true);
    check(1300, false);
    check(1299, true);
    check(1299, false);
}
