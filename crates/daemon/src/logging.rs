//! Sets up logging from the daemon's settings.

use displaydoc::Display;
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;
use settings::{LogLevel, LogPart, LogSettings};
use thiserror::Error;

/// Why logging could not be set up.
#[derive(Debug, Display, Error)]
pub enum LoggingError {
    /// invalid log settings: {0}
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// a logger is already installed
    Installed(#[from] log::SetLoggerError),
}

/// Target of the lines about callers' requests.
pub(crate) const ENTRY: &str = LogPart::Entry.as_str();
/// Target of the lines about batches and leaf groups.
pub(crate) const GATHER: &str = LogPart::Gather.as_str();
/// Target of the lines about leafs.
pub(crate) const LEAF: &str = LogPart::Leaf.as_str();
/// Target of the lines about other daemons and the VM list.
pub(crate) const GOSSIP: &str = LogPart::Gossip.as_str();
/// Target of the lines about settings.
pub(crate) const CONFIG: &str = LogPart::Config.as_str();
/// Target of the lines about the daemon's shutdown.
pub(crate) const SHUTDOWN: &str = LogPart::Shutdown.as_str();

/// Line format: time, level, part, message. The part is the log target, so the prefix of a line
/// always names the logger whose level applies to it.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t}: {m}{n}";

/// Installs the process-wide logger, which writes to standard error.
///
/// # Errors
///
/// Fails if a logger is installed already.
pub fn install(settings: &LogSettings) -> Result<(), LoggingError> {
    const CONSOLE: &str = "console";
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(PATTERN)))
        .build();
    let mut config =
        Config::builder().appender(Appender::builder().build(CONSOLE, Box::new(appender)));
    for part in LogPart::ALL {
        let level = level_filter(settings.level_of(part));
        config = config.logger(Logger::builder().build(part.as_str(), level));
    }
    // The configured level applies to the daemon's own parts; libraries log at most warnings.
    let libraries = level_filter(settings.level).min(LevelFilter::Warn);
    let root = Root::builder().appender(CONSOLE).build(libraries);
    log4rs::init_config(config.build(root)?)?;
    Ok(())
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
