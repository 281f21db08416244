use std::collections::BTreeSet;

use medlarpin_core::prelude::{IndexVersion, LeafId, Service, ServiceName, ShardId, ShardMap};

use crate::document::{Source, read_document};
use crate::error::SettingsError;
use crate::reader::Field;
use crate::service::LEAF_ID_PUNCTUATION;
use crate::suggestion::suggestion;

/// Maximum number of unknown leafs reported per index text; a removed leaf may be listed by
/// thousands of shards.
const MAX_UNKNOWN_LEAFS: usize = 20;

/// Reads the shard map of one index version.
///
/// Accepts a shard without leafs, so that a lost shard is reported as uncovered. Rejects a version
/// without shards, because every answer from it would count as complete.
pub(crate) fn read(
    root: &Field<'_>,
    service: ServiceName,
    version: IndexVersion,
) -> Result<ShardMap, SettingsError> {
    let mut replicas: Vec<(ShardId, Vec<LeafId>)> = Vec::new();
    let mut seen = BTreeSet::new();
    for_each_shard(root, |item, shard, leafs| {
        if !seen.insert(shard) {
            return Err(item.duplicate_entry(&shard.0.to_string(), "list each shard once"));
        }
        let mut ids = Vec::new();
        for (leaf, id) in leafs {
            if ids.contains(&id) {
                return Err(leaf.duplicate_entry(id.as_str(), "list each leaf of a shard once"));
            }
            ids.push(id);
        }
        replicas.push((shard, ids));
        Ok(())
    })?;
    Ok(ShardMap::new(service, version, replicas))
}

/// Returns an error for each entry that lists a leaf unknown to the service, up to
/// [`MAX_UNKNOWN_LEAFS`].
pub(crate) fn unknown_leafs(source: Source<'_>, service: &Service) -> Vec<SettingsError> {
    let mut errors = Vec::new();
    let known: Vec<&str> = service
        .leafs()
        .iter()
        .map(|leaf| leaf.id.as_str())
        .collect();
    let result = read_document(source, |root| {
        for_each_shard(root, |_item, _shard, leafs| {
            let unknown = leafs
                .into_iter()
                .filter(|(_, id)| service.leaf(id).is_none());
            for (field, id) in unknown.take(MAX_UNKNOWN_LEAFS - errors.len()) {
                errors.push(SettingsError::UnknownLeaf {
                    location: field.location(),
                    leaf: id.as_str().to_owned(),
                    service: service.name().as_str().to_owned(),
                    hint: suggestion(id.as_str(), &known),
                });
            }
            Ok(())
        })
    });
    errors.extend(result.err());
    errors
}

fn for_each_shard<'a>(
    root: &Field<'a>,
    mut visit: impl FnMut(&Field<'a>, ShardId, Vec<(Field<'a>, LeafId)>) -> Result<(), SettingsError>,
) -> Result<(), SettingsError> {
    let fields = root.object(&["shards"])?;
    for item in fields
        .required("shards", "[{\"shard\": 0, ...}]")?
        .non_empty_items()?
    {
        let entry = item.object(&["shard", "leafs"])?;
        let shard = ShardId(entry.required("shard", "0")?.integer_u32(0..=u32::MAX)?);
        let mut leafs = Vec::new();
        for leaf in entry.required("leafs", "[\"hodowcy-1\"]")?.items()? {
            let id = LeafId::new(leaf.name(LEAF_ID_PUNCTUATION)?);
            leafs.push((leaf, id));
        }
        visit(&item, shard, leafs)?;
    }
    Ok(())
}
