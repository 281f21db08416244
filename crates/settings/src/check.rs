use std::collections::BTreeSet;

use medlarpin_core::prelude::Service;

use crate::document::Source;
use crate::error::SettingsError;
use crate::index;
use crate::subtree::{Subtree, SubtreePath, parse_subtree};
use crate::suggestion::suggestion;

/// Checks each text of a settings tree and the references between the texts.
///
/// Returns the first error of each invalid text, an error for each shard map of an unknown service,
/// and errors for unknown leafs in shard maps, of which the number per shard map is limited.
#[must_use]
pub fn check_tree<P: AsRef<str>, T: AsRef<str>>(texts: &[(P, T)]) -> Vec<SettingsError> {
    let mut errors = Vec::new();
    let mut services: Vec<Service> = Vec::new();
    let mut indexes = Vec::new();
    let mut paths = BTreeSet::new();
    for (path, text) in texts {
        let source = Source {
            file: path.as_ref(),
            text: text.as_ref(),
        };
        if !paths.insert(source.file) {
            errors.push(SettingsError::DuplicateEntry {
                location: source.location(0, "$"),
                value: source.file.to_owned(),
                hint: "keep one text for each path".to_owned(),
            });
            continue;
        }
        match parse_subtree(source.file, source.text) {
            Ok(Subtree::Team(_)) => {}
            Ok(Subtree::Service(service)) => services.push(service),
            Ok(Subtree::Index(map)) => indexes.push((source, map)),
            Err(error) => errors.push(error),
        }
    }
    services.sort_by(|a, b| a.name().cmp(b.name()));
    for (source, map) in indexes {
        match services.binary_search_by(|service| service.name().cmp(map.service())) {
            Ok(position) => errors.extend(index::unknown_leafs(source, &services[position])),
            // The text of the service was rejected, and that error is reported already.
            Err(_) if paths.contains(format!("services/{}", map.service()).as_str()) => {}
            Err(_) => errors.push(unknown_service(source, map.service().as_str(), &paths)),
        }
    }
    errors
}

fn unknown_service(source: Source<'_>, service: &str, paths: &BTreeSet<&str>) -> SettingsError {
    let names: Vec<String> = paths
        .iter()
        .filter_map(|path| match SubtreePath::parse(path) {
            Ok(SubtreePath::Service(name)) => Some(name.as_str().to_owned()),
            _ => None,
        })
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let hint = if names.is_empty() {
        format!("add services/{service}")
    } else {
        suggestion(service, &names)
    };
    SettingsError::UnknownService {
        location: source.location(0, "$"),
        service: service.to_owned(),
        hint,
    }
}
