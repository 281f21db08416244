use std::collections::BTreeSet;

use medlarpin_core::prelude::{Leaf, LeafId, Service, ServiceName};

use crate::error::SettingsError;
use crate::reader::Field;
use crate::subtree::NAME_PUNCTUATION;

const LEAF_KEYS: &[&str] = &[
    "id",
    "address",
    "failure_domain",
    "slots",
    "connection_limit",
    "new_connection_ms",
];

/// Punctuation allowed in leaf ids in addition to letters and digits.
pub(crate) const LEAF_ID_PUNCTUATION: &str = "-_.:/";

/// A leaf's connection limit is divided among 4 holders and 2 former holders that may still have
/// connections. Each share is at least 1, so below 6 the shares would add up to more than the
/// limit.
const MIN_CONNECTION_LIMIT: u32 = 6;

/// Reads a service.
///
/// Accepts an empty list of leafs: if the text were rejected, the previous one would stay in force
/// and the removed leafs in use.
pub(crate) fn read(root: &Field<'_>, name: ServiceName) -> Result<Service, SettingsError> {
    let fields = root.object(&["leafs"])?;
    let mut leafs: Vec<Leaf> = Vec::new();
    let (mut ids, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    for item in fields.required("leafs", "[{\"id\": ...}]")?.items()? {
        let leaf = read_leaf(&item)?;
        if !ids.insert(leaf.id.clone()) {
            return Err(item.duplicate_entry(leaf.id.as_str(), "give each leaf an id of its own"));
        }
        // Listing an address twice would double the concurrent requests and connections to it.
        if !addresses.insert(leaf.address) {
            return Err(item.duplicate_entry(&leaf.address.to_string(), "list each address once"));
        }
        leafs.push(leaf);
    }
    Ok(Service::new(name, leafs))
}

fn read_leaf(item: &Field<'_>) -> Result<Leaf, SettingsError> {
    let fields = item.object(LEAF_KEYS)?;
    Ok(Leaf {
        id: LeafId::new(
            fields
                .required("id", "\"hodowcy-1\"")?
                .name(LEAF_ID_PUNCTUATION)?,
        ),
        address: fields
            .required("address", "\"192.0.2.7:9000\"")?
            .remote_address()?,
        failure_domain: fields
            .required("failure_domain", "\"warmia-1\"")?
            .name(NAME_PUNCTUATION)?
            .into(),
        slots: fields.required("slots", "2")?.integer_u32(1..=10_000)?,
        connection_limit: fields
            .required("connection_limit", "60")?
            .integer_u32(MIN_CONNECTION_LIMIT..=1_000_000)?,
        new_connection_ms: fields.integer_u32_or("new_connection_ms", 0..=60_000, 5)?,
    })
}
