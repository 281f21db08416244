//! Log output, set from the daemon's settings.

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

/// Line format: time, level, message. Each message starts with the prefix of its part.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

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
    for (part, level) in &settings.parts {
        let logger = Logger::builder().build(module_of(*part), filter(*level));
        config = config.logger(logger);
    }
    let root = Root::builder()
        .appender(CONSOLE)
        .build(filter(settings.level));
    log4rs::init_config(config.build(root)?)?;
    Ok(())
}

/// Returns the module whose log lines carry the part's prefix.
fn module_of(part: LogPart) -> &'static str {
    match part {
        LogPart::Entry => "daemon::entry",
        LogPart::Gather => "daemon::gather",
        LogPart::Leaf => "daemon::leafs",
        LogPart::Gossip => "daemon::fleet",
        LogPart::Config => "platform",
        LogPart::Shutdown => "daemon::daemon",
    }
}

fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
