//! The `check-config` command: reviews a published configuration before an operator sends it.

use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use medlarpin_core::prelude::{FailureDomain, SystemClock};
use medlarpin_core::routing::config_review::{
    ConfigDraft, ConfigPart, LeafSurvey, Problem, ReviewContext, review_config,
};
use medlarpin_core::routing::{LeafEntry, RoutingConfig};
use platform::{CONFIG_BYTES_MAX, Change, Store, inspect_config, parse_config};

use crate::config_report::ConfigReport;
use crate::error::CliError;
use crate::report::Report;

/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Where a configuration is read from.
#[derive(Debug)]
pub(crate) enum ConfigSource {
    File(PathBuf),
    Store(SocketAddr),
}

/// Where the leafs' entries are read from.
#[derive(Debug)]
pub(crate) struct PublishedLeafs {
    /// Address of the store.
    pub(crate) address: SocketAddr,
    /// Failure domains whose leafs get no requests.
    pub(crate) evacuated: Vec<FailureDomain>,
}

#[derive(Debug)]
pub(crate) struct CheckConfigRequest {
    /// The version in force.
    pub(crate) in_force: Option<ConfigSource>,
    pub(crate) leafs: Option<PublishedLeafs>,
    pub(crate) retry_ratio: f64,
    pub(crate) warnings_fail: bool,
    pub(crate) file: PathBuf,
}

/// Reviews a configuration; nothing is written anywhere.
pub(crate) async fn check_config(
    request: &CheckConfigRequest,
    json: bool,
) -> Result<Report, CliError> {
    let text = read_config(&request.file)?;
    let report = match inspect_config(&text) {
        Ok(draft) => review(draft, request).await?,
        Err(errors) => ConfigReport::of_errors(&errors),
    };
    Ok(report.render(json, request.warnings_fail))
}

async fn review(
    mut draft: ConfigDraft,
    request: &CheckConfigRequest,
) -> Result<ConfigReport, CliError> {
    let in_force = match &request.in_force {
        Some(source) => read_in_force(source, &mut draft).await?,
        None => None,
    };
    let leafs = match &request.leafs {
        Some(leafs) => Some(read_leafs(leafs, &mut draft).await?),
        None => None,
    };
    let context = ReviewContext {
        in_force: in_force.as_ref(),
        leafs: leafs.as_ref(),
        retry_ratio: request.retry_ratio,
    };
    let review = review_config(&draft, &context);
    let in_force = in_force.map(|config| config.version);
    Ok(ConfigReport::of_review(
        draft.config.version,
        in_force,
        &review,
    ))
}

/// Reads a file or standard input, up to one byte more than daemons accept.
fn read_config(path: &Path) -> Result<Vec<u8>, CliError> {
    let bytes_max = CONFIG_BYTES_MAX as u64 + 1;
    let mut text = Vec::new();
    let read = if path == Path::new(STANDARD_INPUT) {
        let input = std::io::stdin().lock();
        input.take(bytes_max).read_to_end(&mut text)
    } else {
        File::open(path).and_then(|file| file.take(bytes_max).read_to_end(&mut text))
    };
    match read {
        Ok(_bytes) => Ok(text),
        Err(source) => Err(CliError::ReadConfig {
            path: path.to_owned(),
            source,
        }),
    }
}

/// Reads the version in force; `None` if there is none. One that daemons cannot decode is not in
/// force anywhere, and must not keep the operator from replacing it.
async fn read_in_force(
    source: &ConfigSource,
    draft: &mut ConfigDraft,
) -> Result<Option<RoutingConfig>, CliError> {
    let text = match source {
        ConfigSource::File(path) => Some(read_config(path)?),
        ConfigSource::Store(address) => {
            let read = store(*address).read_config().await;
            read.map_err(|source| CliError::ReadStore {
                address: *address,
                source,
            })?
        }
    };
    let Some(text) = text else {
        return Ok(None);
    };
    if let Ok(config) = parse_config(&text) {
        return Ok(Some(config));
    }
    draft
        .decoding
        .add(ConfigPart::Whole, None, Problem::InForceUnusable);
    Ok(None)
}

async fn read_leafs(
    leafs: &PublishedLeafs,
    draft: &mut ConfigDraft,
) -> Result<LeafSurvey, CliError> {
    let address = leafs.address;
    let snapshot = store(address).read_all().await;
    let snapshot = snapshot.map_err(|source| CliError::ReadStore { address, source })?;
    let mut entries: Vec<LeafEntry> = Vec::new();
    let mut unusable = snapshot.unreadable;
    for item in snapshot.items {
        match item.decode() {
            Some(Change::Leaf(entry)) => entries.push(entry),
            Some(Change::Unusable { leaf: Some(_), .. }) => unusable += 1,
            _ => {}
        }
    }
    if unusable > 0 {
        let problem = Problem::UnusableLeafEntries { entries: unusable };
        draft.decoding.add(ConfigPart::Whole, None, problem);
    }
    Ok(LeafSurvey::new(&entries, &leafs.evacuated))
}

fn store(address: SocketAddr) -> Store {
    Store::new(address, Arc::new(SystemClock))
}
