//! Log lines on standard output, bounded and without blocking.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use displaydoc::Display;
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use parking_lot::{Condvar, Mutex};
use thiserror::Error;

/// Lines that wait for the writer; more are dropped and counted.
const QUEUE_LINES_MAX: usize = 2_000;
/// Time over which lines are collected before they are written; bounds the wake-ups of the writer.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Why logging could not be set up.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// invalid log settings: {0}
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// a logger is already installed
    Installed(#[from] log::SetLoggerError),
    /// cannot start the thread that writes the log: {0}
    Thread(std::io::Error),
}

#[derive(Debug, Default)]
struct Queue {
    lines: VecDeque<String>,
    /// Lines that were dropped since the last line was queued.
    dropped: u64,
    /// Start of the current second and the lines in it.
    second: Option<(Instant, u32)>,
}

#[derive(Debug)]
struct StdoutLog {
    queue: Mutex<Queue>,
    filled: Condvar,
    lines_per_s: u32,
}

/// The appender that `log4rs` calls.
#[derive(Debug)]
struct StdoutAppender(Arc<StdoutLog>);

impl Append for StdoutAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        self.0.push(record);
        Ok(())
    }

    fn flush(&self) {}
}

impl StdoutLog {
    fn push(&self, record: &Record<'_>) {
        let now = Instant::now();
        let mut queue = self.queue.lock();
        let (start, count) = queue.second.unwrap_or((now, 0));
        let is_same = now.saturating_duration_since(start) < Duration::from_secs(1);
        let (start, count) = if is_same { (start, count) } else { (now, 0) };
        queue.second = Some((start, count + 1));
        if count >= self.lines_per_s || queue.lines.len() >= QUEUE_LINES_MAX {
            queue.dropped += 1;
            return;
        }
        let dropped = std::mem::take(&mut queue.dropped);
        queue.lines.push_back(line(record, dropped));
        if queue.lines.len() == 1 {
            self.filled.notify_one();
        }
    }

    /// Writes the queued lines for ever.
    fn write(&self) {
        loop {
            let mut queue = self.queue.lock();
            while queue.lines.is_empty() {
                self.filled.wait(&mut queue);
            }
            drop(queue);
            std::thread::sleep(WRITE_INTERVAL);
            self.write_queued();
        }
    }

    fn write_queued(&self) {
        let lines = std::mem::take(&mut self.queue.lock().lines);
        let text: String = lines.into_iter().collect();
        // Without standard output there is no place left to report its failure.
        let _ = std::io::stdout().write_all(text.as_bytes());
    }
}

/// Installs the process-wide logger.
///
/// # Errors
///
/// Fails if a logger is installed already or the writer's thread cannot be started.
pub fn install(lines_per_s: u32) -> Result<(), LogError> {
    let log = Arc::new(StdoutLog {
        queue: Mutex::default(),
        filled: Condvar::new(),
        lines_per_s,
    });
    let appender = StdoutAppender(Arc::clone(&log));
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .build(Root::builder().appender("stdout").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(128 * 1024)
        .spawn(move || log.write())
        .map_err(LogError::Thread)?;
    Ok(())
}

/// Returns the line of a record: its time and part, then the fields of its message.
fn line(record: &Record<'_>, dropped: u64) -> String {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let message = record.args().to_string();
    let fields = message.strip_prefix('{').map_or_else(
        || {
            format!(
                "\"message\":{}}}",
                serde_json::Value::from(message.as_str())
            )
        },
        str::to_owned,
    );
    let dropped = if dropped > 0 {
        format!("\"lines_dropped\":{dropped},")
    } else {
        String::new()
    };
    format!(
        "{{\"unix_ms\":{},\"part\":\"{}\",{dropped}{fields}\n",
        unix.as_millis(),
        record.target(),
    )
}
