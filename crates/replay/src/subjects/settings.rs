use std::collections::BTreeMap;
use std::num::ParseIntError;

use medlarpin_core::ids::Revision;
use medlarpin_core::revision_store::{Offer, OfferOutcome, RevisionStore};
use medlarpin_core::settings_tree::{
    SettingsText, SettingsTree, SettingsTreeError, TransferEntry, TransferTree,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

type Tree = SettingsTree<i64>;

/// The settings that a daemon holds. In a trace, a settings text is valid if it is an integer.
pub(crate) type SettingsStore = RevisionStore<Tree>;

/// Events of a daemon's settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum SettingsEvent {
    New,
    /// The platform returns these texts, by path.
    Platform {
        revision: u64,
        texts: BTreeMap<String, String>,
    },
    /// A peer sends its settings tree.
    Peer {
        revision: u64,
        entries: Vec<PeerEntry>,
    },
}

/// One path of a peer's tree; each text comes with the revision that introduced it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerEntry {
    path: String,
    in_force: Option<(u64, String)>,
    rejected: Option<(u64, String)>,
}

pub(crate) fn apply(subject: &mut Option<SettingsStore>, event: &SettingsEvent) -> Option<Value> {
    if matches!(event, SettingsEvent::New) {
        *subject = Some(SettingsStore::new());
    }
    let store = subject.as_mut()?;
    let held = store
        .current()
        .map_or_else(Tree::new, |offer| offer.value.clone());
    let next = match event {
        SettingsEvent::New => return Some(json!("empty")),
        SettingsEvent::Platform { revision, texts } => held.apply(
            Revision(*revision),
            texts.clone().into_iter().collect(),
            parse,
        ),
        SettingsEvent::Peer { revision, entries } => {
            let tree = TransferTree {
                revision: Revision(*revision),
                entries: entries.iter().map(PeerEntry::to_transfer).collect(),
            };
            held.merge(&tree, parse)
        }
    };
    let result = match next {
        Ok(tree) => offer_name(store.offer(Offer {
            revision: tree.revision(),
            digest: tree.digest(),
            value: tree,
        })),
        Err(SettingsTreeError::Stale { .. }) => "stale",
        Err(SettingsTreeError::Conflict(_)) => "conflict",
    };
    let current = store.current().map(|offer| &offer.value);
    let entries = current.map(Tree::entries).unwrap_or_default();
    let in_force: BTreeMap<&str, i64> = entries
        .iter()
        .filter_map(|entry| Some((entry.path(), entry.in_force()?.value)))
        .collect();
    let revision = current.map_or(0, |tree| tree.revision().0);
    Some(json!({"result": result, "revision": revision, "in_force": in_force}))
}

impl PeerEntry {
    fn to_transfer(&self) -> TransferEntry {
        let text = |part: &Option<(u64, String)>| {
            part.as_ref().map(|(revision, text)| SettingsText {
                revision: Revision(*revision),
                text: text.clone(),
            })
        };
        TransferEntry {
            path: self.path.clone(),
            in_force: text(&self.in_force),
            rejected: text(&self.rejected),
            known_hash: None,
        }
    }
}

fn parse(_path: &str, text: &str) -> Result<i64, ParseIntError> {
    text.parse()
}

fn offer_name(outcome: OfferOutcome) -> &'static str {
    match outcome {
        OfferOutcome::Accepted => "accepted",
        OfferOutcome::Same => "same",
        OfferOutcome::Stale => "stale",
        OfferOutcome::Conflict => "conflict",
    }
}
