//! Guards against forged or damaged tickets that panic, run a request or change the book.

use medlarpin_core::prelude::*;
use medlarpin_core::tickets::{RedeemOutcome, Ticket, TicketLimits, TicketTable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const FINGERPRINT: Fingerprint = Fingerprint(1);

/// Presents a text as a ticket; only the canonical text of the issued ticket may run.
fn check(text: &str) -> Result<(), TestCaseError> {
    let now = Instant::now();
    let team = TeamName::new("orders");
    let mut book = TicketTable::new("vm-1".into(), Incarnation(7), TicketLimits::default());
    let issued = book.issue(&team, 0xabc, now).unwrap();
    let before = book.clone();
    let Ok(ticket) = text.parse::<Ticket>() else {
        return Ok(());
    };
    prop_assert_eq!(ticket.to_string(), text);
    let is_foreign = ticket != issued;
    let redeemed = book.redeem(&ticket, &team, FINGERPRINT, now);
    prop_assert_eq!(redeemed != RedeemOutcome::MayRun, is_foreign);
    if is_foreign {
        prop_assert!(matches!(
            redeemed,
            RedeemOutcome::WrongIssuer | RedeemOutcome::Unknown
        ));
        book.release(&ticket);
        book.finish(&ticket, b"forged".as_slice().into(), now);
        prop_assert_eq!(book, before);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_257),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on texts that are no tickets.
    #[test]
    fn any_text_is_answered(text in "\\PC{0,80}") {
        check(&text)?;
    }

    /// Guards against a ticket that is accepted though a part of it differs.
    #[test]
    fn forged_tickets_run_nothing(
        vm in prop_oneof![Just("vm-1".to_owned()), "[a-z0-9.-]{0,300}"],
        incarnation in prop_oneof![Just("7".to_owned()), "[0+-]{0,2}[0-9]{0,30}"],
        random in prop_oneof![Just(format!("{:032x}", 0xabc)), "[0-9a-fA-F]{0,40}", "[0-9a-f]{32}"],
    ) {
        check(&format!("{vm}.{incarnation}.{random}"))?;
    }
}
