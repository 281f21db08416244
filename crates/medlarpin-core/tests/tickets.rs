//! Tests of [`TicketTable`].

use std::sync::Arc;

use medlarpin_core::prelude::*;
use medlarpin_core::tickets::{
    IssueRefusal, ParseTicketError, RedeemOutcome, Ticket, TicketLimits, TicketTable,
};
use proptest::prelude::*;

const FINGERPRINT: Fingerprint = Fingerprint(7);

fn limits() -> TicketLimits {
    TicketLimits {
        lifetime: Duration::from_mins(10),
        max_tickets: 4,
        max_tickets_per_team: 3,
        max_outcome_bytes: 10,
        max_outcome_bytes_per_team: 6,
    }
}

fn new_table() -> TicketTable {
    TicketTable::new("vm-1".into(), Incarnation(3), limits())
}

fn team(name: &str) -> TeamName {
    TeamName::new(name)
}

/// Issues, redeems and finishes a ticket; the outcome has `bytes` bytes.
fn run(table: &mut TicketTable, name: &str, random: u128, bytes: usize, now: Instant) -> Ticket {
    let ticket = table
        .issue(&team(name), random, now)
        .expect("there is room");
    assert_eq!(
        table.redeem(&ticket, &team(name), FINGERPRINT, now),
        RedeemOutcome::MayRun
    );
    table.finish(&ticket, Arc::from(vec![1; bytes]), now);
    ticket
}

/// Guards against a ticket text that daemons parse differently.
#[test]
fn parses_only_the_canonical_text() {
    let check = |text: &str, expected: Result<&str, ParseTicketError>| {
        let parsed = text.parse::<Ticket>();
        let actual = parsed.as_ref().map(|ticket| ticket.issuer.as_str());
        assert_eq!(actual.map_err(|error| *error), expected, "{text}");
    };
    let digits = "0123456789abcdef0123456789abcdef";
    check(&format!("vm-1.eu.x.12.{digits}"), Ok("vm-1.eu.x"));
    check(digits, Err(ParseTicketError::MissingPart));
    check(&format!("1.{digits}"), Err(ParseTicketError::MissingPart));
    check(
        &format!(".1.{digits}"),
        Err(ParseTicketError::InvalidVmName),
    );
    check(
        &format!("a.01.{digits}"),
        Err(ParseTicketError::InvalidIncarnation),
    );
    check(
        &format!("a.+1.{digits}"),
        Err(ParseTicketError::InvalidIncarnation),
    );
    check("a.1.abc", Err(ParseTicketError::InvalidRandom));
    check(
        &format!("a.1.{}", digits.to_uppercase()),
        Err(ParseTicketError::InvalidRandom),
    );
    check(
        &format!("a.1.+{}", &digits[1..]),
        Err(ParseTicketError::InvalidRandom),
    );
}

/// Guards against a second run of a ticket, for each state in which it can be presented again.
#[test]
fn runs_a_ticket_at_most_once() {
    let (mut table, now, a) = (new_table(), Instant::now(), team("a"));
    let ticket = table.issue(&a, 1, now).expect("there is room");
    assert_eq!(
        table.redeem(&ticket, &team("b"), FINGERPRINT, now),
        RedeemOutcome::Mismatch
    );
    assert_eq!(
        table.redeem(&ticket, &a, FINGERPRINT, now),
        RedeemOutcome::MayRun
    );
    assert_eq!(
        table.redeem(&ticket, &a, FINGERPRINT, now),
        RedeemOutcome::Running
    );
    assert_eq!(
        table.redeem(&ticket, &a, Fingerprint(8), now),
        RedeemOutcome::Mismatch
    );
    table.release(&ticket);
    assert_eq!(
        table.redeem(&ticket, &a, Fingerprint(8), now),
        RedeemOutcome::Mismatch
    );
    assert_eq!(
        table.redeem(&ticket, &a, FINGERPRINT, now),
        RedeemOutcome::MayRun
    );
    table.finish(&ticket, Arc::from(*b"ok"), now);
    table.release(&ticket);
    assert_eq!(
        table.redeem(&ticket, &a, FINGERPRINT, now),
        RedeemOutcome::Finished(Arc::from(*b"ok"))
    );
    let restarted = Ticket {
        incarnation: Incarnation(4),
        ..ticket.clone()
    };
    assert_eq!(
        table.redeem(&restarted, &a, FINGERPRINT, now),
        RedeemOutcome::WrongIssuer
    );
    let never_issued = Ticket {
        random: 2,
        ..ticket
    };
    assert_eq!(
        table.redeem(&never_issued, &a, FINGERPRINT, now),
        RedeemOutcome::Unknown
    );
}

/// Guards against a run with an expired ticket and against records that are never removed.
#[test]
fn expired_ticket_does_not_run() {
    let (mut table, now, a) = (new_table(), Instant::now(), team("a"));
    let ticket = table.issue(&a, 1, now).expect("there is room");
    let later = now + limits().lifetime;
    assert_eq!(
        table.redeem(&ticket, &a, FINGERPRINT, later),
        RedeemOutcome::Expired
    );
    let after_eviction = later + limits().lifetime;
    assert_eq!(
        table.redeem(&ticket, &a, FINGERPRINT, after_eviction),
        RedeemOutcome::Unknown
    );
    assert!(table.is_empty());
}

/// Guards against unbounded memory and against one team that exhausts the tickets of the others.
#[test]
fn limits_tickets_per_team_and_in_total() {
    let (mut table, now) = (new_table(), Instant::now());
    for random in 0..3 {
        table.issue(&team("a"), random, now).expect("there is room");
    }
    assert_eq!(table.issue(&team("a"), 3, now), Err(IssueRefusal::TeamFull));
    assert_eq!(
        table.issue(&team("b"), 0, now),
        Err(IssueRefusal::RandomInUse)
    );
    table.issue(&team("b"), 4, now).expect("there is room");
    assert_eq!(
        table.issue(&team("b"), 5, now),
        Err(IssueRefusal::TableFull)
    );
    let later = now + limits().lifetime;
    table
        .issue(&team("c"), 6, later)
        .expect("expired tickets are evicted");
    assert_eq!(table.len(), 4);
}

/// Guards against unbounded outcomes and against a large team that evicts a small team's outcome.
#[test]
fn limits_the_stored_outcomes() {
    let (mut table, now) = (new_table(), Instant::now());
    let small = run(&mut table, "b", 9, 2, now);
    let first = run(&mut table, "a", 1, 3, now);
    let second = run(&mut table, "a", 2, 5, now);
    let oversized = run(&mut table, "c", 3, 7, now);
    let check = |table: &mut TicketTable, ticket: &Ticket, name: &str, stored: bool| {
        let outcome = table.redeem(ticket, &team(name), FINGERPRINT, now);
        assert_eq!(
            matches!(outcome, RedeemOutcome::Finished(_)),
            stored,
            "{ticket}"
        );
        assert_eq!(
            outcome == RedeemOutcome::OutcomeDropped,
            !stored,
            "{ticket}"
        );
    };
    check(&mut table, &small, "b", true);
    check(&mut table, &first, "a", false);
    check(&mut table, &second, "a", true);
    check(&mut table, &oversized, "c", false);
    assert_eq!(table.outcome_bytes(), 7);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a text form that loses a part of the ticket.
    #[test]
    fn text_round_trips(name in "[a-z0-9.-]{1,40}", incarnation: u64, random: u128) {
        let ticket = Ticket { issuer: VmName::new(&name), incarnation: Incarnation(incarnation), random };
        prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
    }

    /// Guards against exceeded limits and concurrent runs of one ticket, for any sequence of calls.
    #[test]
    fn stays_within_limits(steps in prop::collection::vec((0u8..4, 0u128..5, 0usize..8, 0u64..400), 1..200)) {
        let (mut table, mut now) = (new_table(), Instant::now());
        let mut running = std::collections::BTreeSet::new();
        for (kind, random, bytes, pause_s) in steps {
            now += Duration::from_secs(pause_s);
            let name = team(if random % 2 == 0 { "a" } else { "b" });
            let ticket = Ticket { issuer: "vm-1".into(), incarnation: Incarnation(3), random };
            match kind {
                0 => { if table.issue(&name, random, now).is_ok() { running.remove(&random); } }
                1 => { if table.redeem(&ticket, &name, FINGERPRINT, now) == RedeemOutcome::MayRun { prop_assert!(running.insert(random)); } }
                2 => { table.finish(&ticket, Arc::from(vec![0; bytes]), now); running.remove(&random); }
                _ => { table.release(&ticket); running.remove(&random); }
            }
            prop_assert!(table.len() <= 4 && table.outcome_bytes() <= 10);
        }
    }
}
