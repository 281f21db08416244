//! Guards against forged or corrupted tickets that cause a panic, run a request or change the
//! table.

use medlarpin_core::prelude::*;
use medlarpin_core::tickets::{RedeemOutcome, Ticket, TicketLimits, TicketTable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const FINGERPRINT: Fingerprint = Fingerprint(1);

/// Presents a text as a ticket and checks that only the exact text of the issued ticket may run.
fn check(text: &str) -> Result<(), TestCaseError> {
    let now = Instant::now();
    let team = TeamName::new("orders");
    let mut table = TicketTable::new("vm-1".into(), Incarnation(7), TicketLimits::default());
    let issued = table.issue(&team, 0xabc, now).unwrap();
    let before = table.clone();
    let Ok(ticket) = text.parse::<Ticket>() else {
        return Ok(());
    };
    prop_assert_eq!(ticket.to_string(), text);
    let is_forged = ticket != issued;
    let outcome = table.redeem(&ticket, &team, FINGERPRINT, now);
    prop_assert_eq!(outcome != RedeemOutcome::MayRun, is_forged);
    if is_forged {
        prop_assert!(matches!(
            outcome,
            RedeemOutcome::WrongIssuer | RedeemOutcome::Unknown
        ));
        table.release(&ticket);
        table.finish(&ticket, b"forged".as_slice().into(), now);
        prop_assert_eq!(table, before);
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

    /// Guards against a panic on texts that are not tickets.
    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,80}") {
        check(&text)?;
    }

    /// Guards against acceptance of a ticket that differs from the issued one in any part.
    #[test]
    fn forged_tickets_do_not_run(
        vm in prop_oneof![Just("vm-1".to_owned()), "[a-z0-9.-]{0,300}"],
        incarnation in prop_oneof![Just("7".to_owned()), "[0+-]{0,2}[0-9]{0,30}"],
        random in prop_oneof![Just(format!("{:032x}", 0xabc)), "[0-9a-fA-F]{0,40}", "[0-9a-f]{32}"],
    ) {
        check(&format!("{vm}.{incarnation}.{random}"))?;
    }
}
