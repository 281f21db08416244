//! Tests of the ticket book.

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

fn book() -> TicketTable {
    TicketTable::new("vm-1".into(), Incarnation(3), limits())
}

fn team(name: &str) -> TeamName {
    TeamName::new(name)
}

/// Burns and finishes a fresh ticket of a team with an outcome of some bytes.
fn run(book: &mut TicketTable, name: &str, random: u128, bytes: usize, now: Instant) -> Ticket {
    let ticket = book.issue(&team(name), random, now).expect("there is room");
    assert_eq!(
        book.redeem(&ticket, &team(name), FINGERPRINT, now),
        RedeemOutcome::MayRun
    );
    book.finish(&ticket, Arc::from(vec![1; bytes]), now);
    ticket
}

/// Guards against a ticket text that another daemon reads differently.
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

/// Guards against a second run, in each state in which a ticket may be presented again.
#[test]
fn runs_a_ticket_once() {
    let (mut book, now, a) = (book(), Instant::now(), team("a"));
    let ticket = book.issue(&a, 1, now).expect("there is room");
    assert_eq!(
        book.redeem(&ticket, &team("b"), FINGERPRINT, now),
        RedeemOutcome::Mismatch
    );
    assert_eq!(
        book.redeem(&ticket, &a, FINGERPRINT, now),
        RedeemOutcome::MayRun
    );
    assert_eq!(
        book.redeem(&ticket, &a, FINGERPRINT, now),
        RedeemOutcome::Running
    );
    assert_eq!(
        book.redeem(&ticket, &a, Fingerprint(8), now),
        RedeemOutcome::Mismatch
    );
    book.release(&ticket);
    assert_eq!(
        book.redeem(&ticket, &a, Fingerprint(8), now),
        RedeemOutcome::Mismatch
    );
    assert_eq!(
        book.redeem(&ticket, &a, FINGERPRINT, now),
        RedeemOutcome::MayRun
    );
    book.finish(&ticket, Arc::from(*b"ok"), now);
    book.release(&ticket);
    assert_eq!(
        book.redeem(&ticket, &a, FINGERPRINT, now),
        RedeemOutcome::Finished(Arc::from(*b"ok"))
    );
    let restarted = Ticket {
        incarnation: Incarnation(4),
        ..ticket.clone()
    };
    assert_eq!(
        book.redeem(&restarted, &a, FINGERPRINT, now),
        RedeemOutcome::WrongIssuer
    );
    let guessed = Ticket {
        random: 2,
        ..ticket
    };
    assert_eq!(
        book.redeem(&guessed, &a, FINGERPRINT, now),
        RedeemOutcome::Unknown
    );
}

/// Guards against a run of an expired ticket and against records that are never dropped.
#[test]
fn expires_tickets() {
    let (mut book, now, a) = (book(), Instant::now(), team("a"));
    let ticket = book.issue(&a, 1, now).expect("there is room");
    let later = now + limits().lifetime;
    assert_eq!(
        book.redeem(&ticket, &a, FINGERPRINT, later),
        RedeemOutcome::Expired
    );
    let much_later = later + limits().lifetime;
    assert_eq!(
        book.redeem(&ticket, &a, FINGERPRINT, much_later),
        RedeemOutcome::Unknown
    );
    assert!(book.is_empty());
}

/// Guards against unbounded memory and against one team that uses up all tickets.
#[test]
fn bounds_the_tickets_of_a_team_and_of_all() {
    let (mut book, now) = (book(), Instant::now());
    for random in 0..3 {
        book.issue(&team("a"), random, now).expect("there is room");
    }
    assert_eq!(book.issue(&team("a"), 3, now), Err(IssueRefusal::TeamFull));
    assert_eq!(
        book.issue(&team("b"), 0, now),
        Err(IssueRefusal::RandomInUse)
    );
    book.issue(&team("b"), 4, now).expect("there is room");
    assert_eq!(book.issue(&team("b"), 5, now), Err(IssueRefusal::TableFull));
    let later = now + limits().lifetime;
    book.issue(&team("c"), 6, later)
        .expect("expired tickets give way");
    assert_eq!(book.len(), 4);
}

/// Guards against unbounded outcomes and against a large team that displaces a small team's outcome.
#[test]
fn bounds_the_kept_outcomes() {
    let (mut book, now) = (book(), Instant::now());
    let small = run(&mut book, "b", 9, 2, now);
    let first = run(&mut book, "a", 1, 3, now);
    let second = run(&mut book, "a", 2, 5, now);
    let oversized = run(&mut book, "c", 3, 7, now);
    let check = |book: &mut TicketTable, ticket: &Ticket, name: &str, kept: bool| {
        let burn = book.redeem(ticket, &team(name), FINGERPRINT, now);
        assert_eq!(matches!(burn, RedeemOutcome::Finished(_)), kept, "{ticket}");
        assert_eq!(burn == RedeemOutcome::OutcomeDropped, !kept, "{ticket}");
    };
    check(&mut book, &small, "b", true);
    check(&mut book, &first, "a", false);
    check(&mut book, &second, "a", true);
    check(&mut book, &oversized, "c", false);
    assert_eq!(book.outcome_bytes(), 7);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a text form that loses part of the ticket.
    #[test]
    fn text_round_trips(name in "[a-z0-9.-]{1,40}", incarnation: u64, random: u128) {
        let ticket = Ticket { issuer: VmName::new(&name), incarnation: Incarnation(incarnation), random };
        prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
    }

    /// Guards against memory above the bounds and against two runs at once, for any sequence of calls.
    #[test]
    fn stays_within_bounds(steps in prop::collection::vec((0u8..4, 0u128..5, 0usize..8, 0u64..400), 1..200)) {
        let (mut book, mut now) = (book(), Instant::now());
        let mut running = std::collections::BTreeSet::new();
        for (kind, random, bytes, pause_s) in steps {
            now += Duration::from_secs(pause_s);
            let name = team(if random % 2 == 0 { "a" } else { "b" });
            let ticket = Ticket { issuer: "vm-1".into(), incarnation: Incarnation(3), random };
            match kind {
                0 => { if book.issue(&name, random, now).is_ok() { running.remove(&random); } }
                1 => { if book.redeem(&ticket, &name, FINGERPRINT, now) == RedeemOutcome::MayRun { prop_assert!(running.insert(random)); } }
                2 => { book.finish(&ticket, Arc::from(vec![0; bytes]), now); running.remove(&random); }
                _ => { book.release(&ticket); running.remove(&random); }
            }
            prop_assert!(book.len() <= 4 && book.outcome_bytes() <= 10);
        }
    }
}
