//! The settings tree: all settings at one revision, with the last valid text of each path.

use std::fmt::Display;

use displaydoc::Display;
use thiserror::Error;

use crate::ids::{Revision, stable_hash};

/// Text of one path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsText {
    /// Revision of the tree with which this daemon first received the text.
    pub revision: Revision,
    /// The text as published.
    pub text: String,
}

/// A valid text and its parsed value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce<V> {
    /// The text.
    pub source: SettingsText,
    /// The parsed value.
    pub value: V,
}

/// A published text that is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejected {
    /// The text.
    pub source: SettingsText,
    /// Error message of the parser.
    pub error: String,
}

/// One path of the tree, with a text in force, a rejected text or both.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsEntry<V> {
    path: String,
    in_force: Option<InForce<V>>,
    /// The published text, if it is invalid; never older than the text in force.
    rejected: Option<Rejected>,
}

impl<V> SettingsEntry<V> {
    /// Returns the path.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the last valid text and its value, if there is one.
    #[must_use]
    pub fn in_force(&self) -> Option<&InForce<V>> {
        self.in_force.as_ref()
    }

    /// Returns the published text, if it is invalid.
    #[must_use]
    pub fn rejected(&self) -> Option<&Rejected> {
        self.rejected.as_ref()
    }

    /// Returns the text that the platform published, valid or not.
    #[must_use]
    pub fn published(&self) -> Option<&SettingsText> {
        let rejected = self.rejected.as_ref().map(|rejected| &rejected.source);
        rejected.or(self.in_force.as_ref().map(|in_force| &in_force.source))
    }
}

/// A settings tree without parsed values, as sent between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TransferTree {
    /// Revision of the tree.
    pub revision: Revision,
    /// The paths, in any order.
    pub entries: Vec<TransferEntry>,
}

/// One path of a [`TransferTree`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferEntry {
    /// The path.
    pub path: String,
    /// The last text that is valid for the sender.
    pub in_force: Option<SettingsText>,
    /// The published text, if it is invalid for the sender.
    pub rejected: Option<SettingsText>,
    /// Hash of the text in force, if the text is omitted because the receiver should already have
    /// it.
    pub known_hash: Option<u64>,
}

/// Reason for which a settings tree was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum SettingsTreeError {
    /// the offered settings tree has {offered:?}, which is not newer than the current {held:?}
    Stale {
        /// Revision of the offered tree.
        offered: Revision,
        /// Revision of the current tree.
        held: Revision,
    },
    /// the offered settings tree and the current one both have {0:?}, but different texts
    Conflict(Revision),
}

/// All settings at one revision.
///
/// Trees are immutable; each change returns a new tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsTree<V> {
    revision: Revision,
    digest: u64,
    /// Sorted by path, without duplicates.
    entries: Vec<SettingsEntry<V>>,
}

impl<V: Clone> SettingsTree<V> {
    /// Creates the empty tree of a daemon that has received no settings yet.
    #[must_use]
    pub fn new() -> Self {
        Self::with_entries(Revision::default(), Vec::new())
    }

    /// Returns the tree's revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the digest of the revision, the paths and the published texts.
    ///
    /// It does not depend on which texts are valid, so daemons of different program versions
    /// compute the same digest.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the entries, sorted by path.
    #[must_use]
    pub fn entries(&self) -> &[SettingsEntry<V>] {
        &self.entries
    }

    /// Finds an entry by path.
    #[must_use]
    pub fn entry(&self, path: &str) -> Option<&SettingsEntry<V>> {
        let index = self
            .entries
            .binary_search_by(|entry| entry.path.as_str().cmp(path))
            .ok()?;
        self.entries.get(index)
    }

    /// Returns the tree that results from publication of `texts` (path and text) at a revision.
    ///
    /// If a text is invalid, the path's last valid text stays in force. A path that is not in
    /// `texts` is removed. If `texts` has several texts for one path, the first counts.
    ///
    /// # Errors
    ///
    /// Returns an error if the revision is not higher than that of this tree.
    pub fn apply<E: Display>(
        &self,
        revision: Revision,
        texts: Vec<(String, String)>,
        parse: impl Fn(&str, &str) -> Result<V, E>,
    ) -> Result<Self, SettingsTreeError> {
        if revision <= self.revision {
            return Err(SettingsTreeError::Stale {
                offered: revision,
                held: self.revision,
            });
        }
        let entries = texts.into_iter().map(|(path, text)| {
            let held = self.entry(&path);
            let current = held.and_then(SettingsEntry::published);
            // An unchanged text keeps the revision with which it was first received.
            let source = current
                .filter(|published| published.text == text)
                .cloned()
                .unwrap_or(SettingsText { revision, text });
            let last_valid = held.and_then(|entry| entry.in_force.clone());
            parse_entry(path, source, last_valid, &parse)
        });
        Ok(Self::with_entries(revision, entries.collect()))
    }

    /// Returns the result of merging a peer's tree into this one.
    ///
    /// This daemon's parser decides whether a published text is valid. If it is not, the newest
    /// valid text of those in force on either side is in force in the result. A peer's tree of the
    /// same revision can change only these texts in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer's revision is lower, or if it is equal but the texts differ.
    pub fn merge<E: Display>(
        &self,
        peer: &TransferTree,
        parse: impl Fn(&str, &str) -> Result<V, E>,
    ) -> Result<Self, SettingsTreeError> {
        if peer.revision < self.revision {
            return Err(SettingsTreeError::Stale {
                offered: peer.revision,
                held: self.revision,
            });
        }
        let entries = peer.entries.iter().filter_map(|theirs| {
            let source = theirs.rejected.as_ref().or(theirs.in_force.as_ref())?;
            let ours = self.entry(&theirs.path);
            let ours = ours.and_then(|entry| entry.in_force.clone());
            let last_valid = newest_valid(&theirs.path, ours, theirs.in_force.as_ref(), &parse);
            let path = theirs.path.clone();
            Some(parse_entry(path, source.clone(), last_valid, &parse))
        });
        let merged = Self::with_entries(peer.revision, entries.collect());
        if merged.revision == self.revision && merged.digest != self.digest {
            return Err(SettingsTreeError::Conflict(self.revision));
        }
        Ok(merged)
    }

    /// Returns the whole tree in the form that is sent to peers.
    #[must_use]
    pub fn to_transfer(&self) -> TransferTree {
        let entries = self.entries.iter().map(|entry| TransferEntry {
            path: entry.path.clone(),
            in_force: entry.in_force.as_ref().map(|part| part.source.clone()),
            rejected: entry.rejected.as_ref().map(|part| part.source.clone()),
            known_hash: None,
        });
        TransferTree {
            revision: self.revision,
            entries: entries.collect(),
        }
    }

    /// Returns the tree for a peer at an older revision, without the texts that the peer should
    /// have.
    ///
    /// Omits the valid texts up to that revision. Most changes concern one path, so whole trees
    /// would make up most of a daemon's control traffic.
    #[must_use]
    pub fn to_transfer_since(&self, peer_revision: Revision) -> TransferTree {
        let mut transfer = self.to_transfer();
        for entry in &mut transfer.entries {
            if let Some(text) = &mut entry.in_force
                && entry.rejected.is_none()
                && text.revision <= peer_revision
            {
                entry.known_hash = Some(stable_hash(&[text.text.as_bytes()]));
                text.text.clear();
            }
        }
        transfer
    }

    /// Fills in the texts that a peer omitted; returns `None` if this tree lacks one of them.
    #[must_use]
    pub fn fill_omitted_texts(&self, mut transfer: TransferTree) -> Option<TransferTree> {
        for entry in &mut transfer.entries {
            let Some(hash) = entry.known_hash.take() else {
                continue;
            };
            let ours = self.entry(&entry.path)?.in_force()?;
            let matches = stable_hash(&[ours.source.text.as_bytes()]) == hash;
            let text = entry.in_force.as_mut().filter(|_| matches)?;
            text.text.clone_from(&ours.source.text);
        }
        Some(transfer)
    }

    fn with_entries(revision: Revision, mut entries: Vec<SettingsEntry<V>>) -> Self {
        entries.sort_by(|a, b| a.path.cmp(&b.path));
        entries.dedup_by(|a, b| a.path == b.path);
        let revision_bytes = revision.0.to_le_bytes();
        let mut parts: Vec<&[u8]> = vec![&revision_bytes];
        for entry in &entries {
            let text = entry.published().map_or("", |published| &published.text);
            parts.extend([entry.path.as_bytes(), text.as_bytes()]);
        }
        let digest = stable_hash(&parts);
        Self {
            revision,
            digest,
            entries,
        }
    }
}

impl<V: Clone> Default for SettingsTree<V> {
    fn default() -> Self {
        Self::new()
    }
}

/// Creates the entry of a published text; if the text is invalid, `last_valid` stays in force.
fn parse_entry<V, E: Display>(
    path: String,
    source: SettingsText,
    last_valid: Option<InForce<V>>,
    parse: impl Fn(&str, &str) -> Result<V, E>,
) -> SettingsEntry<V> {
    let unchanged = last_valid
        .as_ref()
        .is_some_and(|valid| valid.source.text == source.text);
    if unchanged {
        return SettingsEntry {
            path,
            in_force: last_valid,
            rejected: None,
        };
    }
    match parse(&path, &source.text) {
        Ok(value) => SettingsEntry {
            path,
            in_force: Some(InForce { source, value }),
            rejected: None,
        },
        Err(error) => SettingsEntry {
            path,
            in_force: last_valid,
            rejected: Some(Rejected {
                source,
                error: error.to_string(),
            }),
        },
    }
}

/// Returns the newer of this daemon's valid text and the peer's, if the latter is valid here too.
fn newest_valid<V, E>(
    path: &str,
    ours: Option<InForce<V>>,
    theirs: Option<&SettingsText>,
    parse: impl Fn(&str, &str) -> Result<V, E>,
) -> Option<InForce<V>> {
    let held = ours.as_ref().map(|ours| ours.source.revision);
    let newer = theirs.filter(|theirs| held.is_none_or(|held| theirs.revision > held));
    let parsed = newer.and_then(|theirs| {
        let value = parse(path, &theirs.text).ok()?;
        let source = theirs.clone();
        Some(InForce { source, value })
    });
    parsed.or(ours)
}
