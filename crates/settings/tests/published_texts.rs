//! Guards against published texts of any size or content that cause a panic or replace the valid
//! text in force.

use std::sync::LazyLock;

use medlarpin_core::prelude::Revision;
use medlarpin_core::settings_tree::SettingsTree;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use settings::MAX_TEXT_BYTES;
use settings::prelude::*;

const PATH: &str = "teams/inspectors";
const VALID: &str = r#"{"rate_limit_per_s": 200, "concurrency_limit": 50}"#;

static IN_FORCE: LazyLock<SettingsTree<Subtree>> = LazyLock::new(|| {
    let texts = vec![(PATH.to_owned(), VALID.to_owned())];
    SettingsTree::new()
        .apply(Revision(1), texts, parse_subtree)
        .unwrap()
});

/// Publishes a text and checks that it replaces the value in force only if it is valid; returns
/// whether it is.
fn check_published(text: String) -> bool {
    let parsed = parse_subtree(PATH, &text);
    let texts = vec![(PATH.to_owned(), text)];
    let tree = IN_FORCE.apply(Revision(2), texts, parse_subtree).unwrap();
    let entry = tree.entry(PATH).unwrap();
    let value = &entry.in_force().unwrap().value;
    assert_eq!(entry.rejected().is_some(), parsed.is_err());
    let previous = &IN_FORCE.entry(PATH).unwrap().in_force().unwrap().value;
    assert_eq!(value, parsed.as_ref().unwrap_or(previous));
    parsed.is_ok()
}

/// Returns a text of exactly `bytes` bytes, padded in one of 6 ways.
fn text_of_size(which: usize, bytes: usize) -> String {
    let (before, padding, after) = [
        ("", " ", VALID),
        (VALID, "\n", ""),
        (
            "//",
            "x",
            concat!(
                "\n",
                r#"{"rate_limit_per_s": 200, "concurrency_limit": 50}"#
            ),
        ),
        (r#"{"rate_limit_per_s": 2"#, "0", "}"),
        (r#"{"coverage_wanted": ""#, "é", r#""}"#),
        ("[", "[", ""),
    ][which];
    let room = bytes.saturating_sub(before.len() + after.len());
    let mut text = format!("{before}{}", padding.repeat(room / padding.len()));
    text.extend(std::iter::repeat_n(' ', room % padding.len()));
    text + after
}

/// Guards against a limit that is off by one, and against an error that quotes a huge value.
#[test]
fn size_limit_is_exact() {
    for which in 0..6 {
        for bytes in [
            MAX_TEXT_BYTES - 1,
            MAX_TEXT_BYTES,
            MAX_TEXT_BYTES + 1,
            4 << 20,
        ] {
            let text = text_of_size(which, bytes);
            assert_eq!(text.len(), bytes);
            if let Err(error) = parse_subtree(PATH, &text) {
                let is_too_large = matches!(error, SettingsError::TooLarge { .. });
                assert_eq!(is_too_large, bytes > MAX_TEXT_BYTES, "{error}");
                assert!(error.to_string().len() < 1_000);
            }
            let fits = which < 3 && bytes <= MAX_TEXT_BYTES;
            assert_eq!(
                check_published(text),
                fits,
                "padding {which}, {bytes} bytes"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_255),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an invalid text that replaces or removes the valid one.
    #[test]
    fn invalid_texts_leave_the_value_in_force(at in any::<prop::sample::Index>(), insert in "\\PC{0,20}", cut in 0_usize..10) {
        let at = at.index(VALID.len());
        let end = (at + cut).min(VALID.len());
        check_published(format!("{}{insert}{}", &VALID[..at], &VALID[end..]));
        check_published(insert);
    }
}
