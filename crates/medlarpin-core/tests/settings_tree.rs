//! Tests of [`RevisionStore`] and [`SettingsTree`].

use medlarpin_core::prelude::*;
use medlarpin_core::revision_store::{Offer, OfferOutcome, RevisionStore};
use medlarpin_core::settings_tree::{SettingsTree, SettingsTreeError};

type Tree = SettingsTree<i32>;

/// Revision and value in force, and revision of the rejected text, of one path.
type State = Option<(Option<(u64, i32)>, Option<u64>)>;

fn parse(_path: &str, text: &str) -> Result<i32, std::num::ParseIntError> {
    text.parse()
}

fn texts(texts: &[(&str, &str)]) -> Vec<(String, String)> {
    let owned = |(path, text): &(&str, &str)| ((*path).to_owned(), (*text).to_owned());
    texts.iter().map(owned).collect()
}

fn tree(revisions: &[&[(&str, &str)]]) -> Tree {
    let numbered = revisions.iter().zip(1..);
    numbered.fold(Tree::new(), |tree, (published, revision)| {
        tree.apply(Revision(revision), texts(published), parse)
            .unwrap()
    })
}

fn state(tree: &Tree, path: &str) -> State {
    let entry = tree.entry(path)?;
    let in_force = entry
        .in_force()
        .map(|part| (part.source.revision.0, part.value));
    Some((
        in_force,
        entry.rejected().map(|part| part.source.revision.0),
    ))
}

/// Guards against a return to an older value and against two accepted values of one revision.
#[test]
fn store_keeps_the_highest_revision() {
    use OfferOutcome::{Accepted, Conflict, Same, Stale};
    let mut store = RevisionStore::new();
    let mut check = |revision, digest, value, expected, current| {
        let revision = Revision(revision);
        assert_eq!(store.classify(revision, digest), expected);
        assert_eq!(
            store.offer(Offer {
                revision,
                digest,
                value
            }),
            expected
        );
        assert_eq!(store.current().unwrap().value, current);
        store.conflicts()
    };
    assert_eq!(check(5, 50, 'a', Accepted, 'a'), 0);
    assert_eq!(check(5, 50, 'b', Same, 'a'), 0);
    assert_eq!(check(4, 40, 'b', Stale, 'a'), 0);
    assert_eq!(check(5, 51, 'b', Conflict, 'a'), 1);
    assert_eq!(check(6, 60, 'c', Accepted, 'c'), 1);
    assert!(store.replace_equivalent(Offer {
        revision: Revision(6),
        digest: 60,
        value: 'd'
    }));
    assert!(!store.replace_equivalent(Offer {
        revision: Revision(6),
        digest: 61,
        value: 'e'
    }));
    assert_eq!(store.current().unwrap().value, 'd');
}

/// Guards against an invalid text that removes or replaces the valid settings of a path.
#[test]
fn invalid_text_leaves_the_last_valid_one_in_force() {
    fn check(revisions: &[&[(&str, &str)]], expected: State) {
        assert_eq!(state(&tree(revisions), "p"), expected, "{revisions:?}");
    }
    check(&[&[("p", "1")]], Some((Some((1, 1)), None)));
    check(&[&[("p", "1")], &[("p", "1")]], Some((Some((1, 1)), None)));
    check(
        &[&[("p", "1")], &[("p", "x")]],
        Some((Some((1, 1)), Some(2))),
    );
    check(
        &[&[("p", "1")], &[("p", "x")], &[("p", "x")]],
        Some((Some((1, 1)), Some(2))),
    );
    check(
        &[&[("p", "1")], &[("p", "x")], &[("p", "1")]],
        Some((Some((1, 1)), None)),
    );
    check(
        &[&[("p", "1")], &[("p", "x")], &[("p", "3")]],
        Some((Some((3, 3)), None)),
    );
    check(&[&[("p", "x")]], Some((None, Some(1))));
    check(&[&[("p", "1")], &[("q", "2")]], None);
    check(&[&[("p", "1"), ("p", "2")]], Some((Some((1, 1)), None)));
    let stale = tree(&[&[], &[]]).apply(Revision(2), Vec::new(), parse);
    assert!(matches!(stale, Err(SettingsTreeError::Stale { .. })));
}

/// Guards against daemons that compute different digests of the same published texts.
#[test]
fn digest_depends_on_published_texts_only() {
    let published: &[(&str, &str)] = &[("p", "x"), ("q", "2")];
    let late = Tree::new()
        .apply(Revision(2), texts(published), parse)
        .unwrap();
    let early = tree(&[&[("p", "1")], published]);
    let reordered = tree(&[&[], &[("q", "2"), ("p", "x")]]);
    assert_eq!([late.digest(), reordered.digest()], [early.digest(); 2]);
    for other in [&[("p", "x"), ("q", "3")], &[("p", "x"), ("r", "2")]] {
        assert_ne!(tree(&[&[], other]).digest(), early.digest());
    }
    assert_ne!(tree(&[published]).digest(), early.digest());
}

/// Guards against a daemon that starts late and lacks the valid texts that its peers have in force.
#[test]
fn merge_adopts_the_last_valid_texts() {
    let early = tree(&[&[("p", "1")], &[("p", "x"), ("q", "2")]]);
    let published = texts(&[("p", "x"), ("q", "2")]);
    let late = Tree::new().apply(Revision(2), published, parse).unwrap();
    for behind in [
        Tree::new(),
        late.clone(),
        tree(&[&[("p", "7"), ("r", "8")]]),
        early.clone(),
    ] {
        let merged = behind.merge(&early.to_transfer(), parse).unwrap();
        assert_eq!(merged.digest(), early.digest());
        let kept = if behind.entry("r").is_some() { 7 } else { 1 };
        assert_eq!(state(&merged, "p"), Some((Some((1, kept)), Some(2))));
        assert_eq!(merged.entries().len(), 2);
    }
    // Merging the tree of a peer that lacks a valid text removes no text.
    assert_eq!(early.merge(&late.to_transfer(), parse), Ok(early.clone()));
    let conflict = early.merge(&tree(&[&[], &[("p", "x")]]).to_transfer(), parse);
    assert_eq!(conflict, Err(SettingsTreeError::Conflict(Revision(2))));
    // A peer at an older revision receives only newer texts and fills in the others from its own
    // tree.
    let partial = late.to_transfer_since(early.revision());
    assert!(
        partial
            .entries
            .iter()
            .any(|entry| entry.known_hash.is_some())
    );
    assert_eq!(
        early.fill_omitted_texts(partial.clone()),
        Some(late.to_transfer())
    );
    assert_eq!(Tree::new().fill_omitted_texts(partial), None);
    let stale = early.merge(&tree(&[&[("p", "1")]]).to_transfer(), parse);
    assert!(matches!(stale, Err(SettingsTreeError::Stale { .. })));
    // This daemon's parser decides, so a text that is invalid only for the peer is in force here.
    let newer_parser = |path: &str, text: &str| parse(path, if text == "x" { "9" } else { text });
    let merged = Tree::new()
        .merge(&early.to_transfer(), newer_parser)
        .unwrap();
    assert_eq!(state(&merged, "p"), Some((Some((2, 9)), None)));
}
