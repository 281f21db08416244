//! Log output, set from the daemon's settings.

use displaydoc::Display;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;
use settings::LogSettings;
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
    let mut config = Config::builder().appender(Appender::builder().build(CONSOLE, Box::new(appender)));
    for (part, level) in &settings.parts {
        config = config.logger(Logger::builder().build(format!("daemon::{part}"), *level));
    }
    let root = Root::builder().appender(CONSOLE).build(settings.level);
    log4rs::init_config(config.build(root)?)?;
    Ok(())
}
