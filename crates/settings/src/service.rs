use std::collections::BTreeSet;

use medlarpin_core::prelude::{Leaf, LeafId, Service, ServiceName};

use crate::error::SettingsError;
use crate::reader::Field;
use crate::subtree::NAME_MARKS;

const LEAF_KEYS: &[&str] = &[
    "id",
    "address",
    "failure_domain",
    "slots",
    "connection_limit",
    "new_connection_ms",
];

/// Marks allowed in leaf ids beside letters and digits.
pub(crate) const LEAF_MARKS: &str = "-_.:/";

/// A leaf's connections are divided among 4 holders and 2 disputed ones; with fewer than 6 a share
/// would be 0.
const LEAST_CONNECTION_LIMIT: u32 = 6;

/// The list of leafs may be empty: refusing the text would keep the removed leafs in use.
pub(crate) fn read(root: &Field<'_>, name: ServiceName) -> Result<Service, SettingsError> {
    let fields = root.object(&["leafs"])?;
    let mut leafs: Vec<Leaf> = Vec::new();
    let (mut ids, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    for item in fields.required("leafs", "[{\"id\": ...}]")?.items()? {
        let leaf = read_leaf(&item)?;
        if !ids.insert(leaf.id.clone()) {
            return Err(item.repeated(leaf.id.as_str(), "give each leaf an id of its own"));
        }
        // Two leafs at one address would double the slots and connections that it is sent.
        if !addresses.insert(leaf.address) {
            return Err(item.repeated(&leaf.address.to_string(), "list each address once"));
        }
        leafs.push(leaf);
    }
    Ok(Service::new(name, leafs))
}

fn read_leaf(item: &Field<'_>) -> Result<Leaf, SettingsError> {
    let fields = item.object(LEAF_KEYS)?;
    Ok(Leaf {
        id: LeafId::new(fields.required("id", "\"hodowcy-1\"")?.name(LEAF_MARKS)?),
        address: fields
            .required("address", "\"192.0.2.7:9000\"")?
            .peer_address()?,
        failure_domain: fields
            .required("failure_domain", "\"warmia-1\"")?
            .name(NAME_MARKS)?
            .into(),
        slots: fields.required("slots", "2")?.small_number(1..=10_000)?,
        connection_limit: fields
            .required("connection_limit", "60")?
            .small_number(LEAST_CONNECTION_LIMIT..=1_000_000)?,
        new_connection_ms: fields.small_number_or("new_connection_ms", 0..=60_000, 5)?,
    })
}
