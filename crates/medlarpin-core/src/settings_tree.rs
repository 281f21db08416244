//! All settings at one revision, with the last valid text of each path.

use std::fmt::Display;

use displaydoc::Display;
use thiserror::Error;

use crate::ids::{Revision, stable_hash};

/// A text of one path with the revision at which this daemon first saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsText {
    /// Revision of the tree that brought the text.
    pub revision: Revision,
    /// The text as published.
    pub text: String,
}

/// A text that parsed, and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce<V> {
    /// The text.
    pub source: SettingsText,
    /// The parsed value.
    pub value: V,
}

/// A published text that did not parse.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejected {
    /// The text.
    pub source: SettingsText,
    /// The parser's message.
    pub error: String,
}

/// One path of the tree; at least one of the two parts is present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsEntry<V> {
    path: String,
    in_force: Option<InForce<V>>,
    /// The published text, if it did not parse; never older than the text in force.
    rejected: Option<Rejected>,
}

impl<V> SettingsEntry<V> {
    /// Returns the path.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the last valid text and its value.
    #[must_use]
    pub fn in_force(&self) -> Option<&InForce<V>> {
        self.in_force.as_ref()
    }

    /// Returns the published text if it did not parse.
    #[must_use]
    pub fn rejected(&self) -> Option<&Rejected> {
        self.rejected.as_ref()
    }

    /// Returns the text that the platform publishes, valid or not.
    #[must_use]
    pub fn published(&self) -> Option<&SettingsText> {
        let rejected = self.rejected.as_ref().map(|rejected| &rejected.source);
        rejected.or(self.in_force.as_ref().map(|in_force| &in_force.source))
    }
}

/// A tree without parsed values, as it travels between daemons.
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
    /// The last text that the sender found valid.
    pub in_force: Option<SettingsText>,
    /// The published text, if the sender found it invalid.
    pub rejected: Option<SettingsText>,
    /// Hash of the text in force, if it was left out because the receiver should hold it.
    pub known_hash: Option<u64>,
}

/// Why a tree was not taken over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum SettingsTreeError {
    /// the tree's revision {offered:?} is not above the revision {held:?} that is held
    Stale {
        /// Revision offered.
        offered: Revision,
        /// Revision held.
        held: Revision,
    },
    /// the texts offered for revision {0:?} differ from those held
    Conflict(Revision),
}

/// The settings tree: for each path the text in force and, if there is one, the rejected text.
///
/// Trees are immutable; a change returns the tree that follows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsTree<V> {
    revision: Revision,
    digest: u64,
    /// Sorted by path, without duplicates.
    entries: Vec<SettingsEntry<V>>,
}

impl<V: Clone> SettingsTree<V> {
    /// Creates the empty tree of a daemon that has seen no settings.
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
    /// It does not depend on which texts a daemon finds valid, so daemons of different program
    /// versions agree on it.
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

    /// Returns the tree after the platform published `texts` (path and text) at a revision.
    ///
    /// An invalid text leaves the path's last valid text in force; a path that is not in `texts`
    /// leaves the tree. Of several texts for one path the first counts.
    ///
    /// # Errors
    ///
    /// Returns an error if the revision is not above the tree's own.
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
            let unchanged = held.and_then(SettingsEntry::published);
            // An unchanged text keeps the revision that brought it.
            let source = unchanged
                .filter(|published| published.text == text)
                .cloned()
                .unwrap_or(SettingsText { revision, text });
            let last_valid = held.and_then(|entry| entry.in_force.clone());
            entry_of(path, source, last_valid, &parse)
        });
        Ok(Self::with_entries(revision, entries.collect()))
    }

    /// Returns the tree after a peer's tree was merged into it.
    ///
    /// Each published text is judged by this daemon's own parser. Where it is invalid, the newest
    /// text in force on either side that parses stays in force. A peer's tree of the same revision
    /// changes nothing but that.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer's revision is lower, or if it is the same with other texts.
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
            Some(entry_of(path, source.clone(), last_valid, &parse))
        });
        let merged = Self::with_entries(peer.revision, entries.collect());
        if merged.revision == self.revision && merged.digest != self.digest {
            return Err(SettingsTreeError::Conflict(self.revision));
        }
        Ok(merged)
    }

    /// Returns the tree's texts for a peer.
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

    /// Returns the tree for a peer that holds a revision, without the texts that are older than it.
    ///
    /// Most changes touch one path, so whole trees would make up most of a daemon's control traffic.
    #[must_use]
    pub fn to_transfer_since(&self, above: Revision) -> TransferTree {
        let mut transfer = self.to_transfer();
        for entry in &mut transfer.entries {
            if let Some(text) = &mut entry.in_force
                && entry.rejected.is_none()
                && text.revision <= above
            {
                entry.known_hash = Some(stable_hash(&[text.text.as_bytes()]));
                text.text.clear();
            }
        }
        transfer
    }

    /// Fills in the texts that a peer left out; `None` if this tree does not hold one of them.
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

/// Judges a published text; an invalid one leaves `last_valid` in force.
fn entry_of<V, E: Display>(
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

/// Returns the newer of this daemon's valid text and the peer's, if the latter parses here too.
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
