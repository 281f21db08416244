//! Spreads the newest configuration among the daemons, whichever of them the store has shown it to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarpin_core::routing::{ConfigVersion, RoutingConfig};
use platform::{Change, Item};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::event::Event;
use crate::peers::{self, PeerError};
use crate::shared::Shared;

/// Time for which a daemon that was told of a newer configuration waits for it to arrive from the
/// store or the followed daemon, as it normally does.
const USUAL_ARRIVAL_TIME: Duration = Duration::from_millis(400);

/// What came of a fetch of another daemon's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConfigFetch {
    /// The present configuration is as new.
    NotNeeded,
    /// The configuration was fetched.
    Fetched,
    /// The other daemon's configuration cannot be used here.
    Unusable,
}

/// Puts a configuration in force if it is newer than the present one; `item` is what published it.
pub(crate) fn offer(shared: &Shared, config: RoutingConfig, item: &Item) {
    let in_force = shared.config.load().as_ref().map(|known| known.version);
    let previous = in_force.unwrap_or_default();
    if in_force.is_some_and(|known| config.version <= known) {
        if config.version < previous {
            Event::ConfigIgnored {
                version: config.version.0,
                in_force: previous.0,
            }
            .log();
        }
        return;
    }
    Event::ConfigInForce {
        version: config.version.0,
        previous_version: previous.0,
        revision: shared.published_items.revision().number,
    }
    .log();
    let version = i64::try_from(config.version.0).unwrap_or(i64::MAX);
    shared.metrics.config_version.set(version);
    shared.config.store(Some(Arc::new(config)));
    shared.published_items.set_config(item.clone());
}

/// Compares the configuration in force with that of another daemon, and fetches the other one if it
/// is newer.
pub(crate) async fn compare(
    shared: &Shared,
    daemon: SocketAddr,
    theirs: ConfigVersion,
) -> Result<(), PeerError> {
    let is_newer = || theirs > ConfigVersion(shared.config_version());
    if is_newer() && shared.is_config_checked() {
        sleep(USUAL_ARRIVAL_TIME).await;
    }
    if fetch_newer(shared, daemon, theirs).await? == ConfigFetch::Unusable {
        return Ok(());
    }
    // A daemon without a configuration is starting and has nothing to compare with.
    if theirs > ConfigVersion::default() {
        shared.config_check.lock().compared();
    }
    Ok(())
}

/// Fetches the configuration of another daemon and puts it in force if its version, `theirs`, is newer than
/// the present one.
pub(crate) async fn fetch_newer(
    shared: &Shared,
    daemon: SocketAddr,
    theirs: ConfigVersion,
) -> Result<ConfigFetch, PeerError> {
    if theirs <= ConfigVersion(shared.config_version()) {
        return Ok(ConfigFetch::NotNeeded);
    }
    let item = peers::fetch_config(shared, daemon).await?;
    match item.decode() {
        Some(Change::Config(config)) => {
            Event::ConfigFromDaemon {
                daemon,
                version: config.version.0,
            }
            .log();
            offer(shared, *config, &item);
            Ok(ConfigFetch::Fetched)
        }
        Some(Change::Unusable { key, error, .. }) => {
            Event::EntryUnusable {
                key: &key,
                error: &error,
            }
            .log();
            Ok(ConfigFetch::Unusable)
        }
        // `fetch_config` returns the configuration's item, which decodes to nothing else.
        _ => Ok(ConfigFetch::Unusable),
    }
}

/// Compares the configuration in force with that of a daemon that has called, in a task of its own.
pub(crate) fn compare_later(shared: &Arc<Shared>, daemon: SocketAddr, theirs: ConfigVersion) {
    if theirs <= ConfigVersion(shared.config_version()) && shared.is_config_checked() {
        return;
    }
    let shared = Arc::clone(shared);
    spawn_local(async move {
        if let Err(error) = compare(&shared, daemon, theirs).await {
            Event::DaemonUnreachable {
                daemon,
                error: &error,
            }
            .log();
        }
    });
}
