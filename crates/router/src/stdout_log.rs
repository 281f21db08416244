//! Logging to standard output through a bounded queue, so that logging never blocks a request.

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

/// Maximum number of lines that wait for the writer thread; further ones are dropped and counted.
const QUEUE_LINES_MAX: usize = 2_000;
/// Time for which lines are collected before a write, which limits how often the writer wakes up.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Why logging could not be set up.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// invalid log settings: {0}
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// a logger is already installed
    Installed(#[from] log::SetLoggerError),
    /// cannot start the log writer thread: {0}
    Thread(std::io::Error),
}

#[derive(Debug, Default)]
struct Queue {
    lines: VecDeque<String>,
    /// Number of lines dropped since the last one that was queued.
    dropped: u64,
    /// Start of the current one-second window and the number of its lines, dropped ones included.
    window: Option<(Instant, u32)>,
}

#[derive(Debug)]
struct StdoutLog {
    queue: Mutex<Queue>,
    is_filled: Condvar,
    lines_per_s: u32,
}

/// The `log4rs` appender of the log.
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
        let (start, count) = queue.window.unwrap_or((now, 0));
        let is_current = now.saturating_duration_since(start) < Duration::from_secs(1);
        let (start, count) = if is_current { (start, count) } else { (now, 0) };
        queue.window = Some((start, count + 1));
        if count >= self.lines_per_s || queue.lines.len() >= QUEUE_LINES_MAX {
            queue.dropped += 1;
            return;
        }
        let dropped = std::mem::take(&mut queue.dropped);
        queue.lines.push_back(format_line(record, dropped));
        if queue.lines.len() == 1 {
            self.is_filled.notify_one();
        }
    }

    /// Runs the writer thread, which never returns.
    fn run_writer(&self) {
        loop {
            let mut queue = self.queue.lock();
            while queue.lines.is_empty() {
                self.is_filled.wait(&mut queue);
            }
            drop(queue);
            std::thread::sleep(WRITE_INTERVAL);
            self.write_queued();
        }
    }

    fn write_queued(&self) {
        let lines = std::mem::take(&mut self.queue.lock().lines);
        let text: String = lines.into_iter().collect();
        // A failure of standard output cannot be reported anywhere else.
        let _ = std::io::stdout().write_all(text.as_bytes());
    }
}

/// Installs the process-wide logger, which writes at most `lines_per_s` lines a second; further
/// lines are dropped, and the next written line states their number.
///
/// # Errors
///
/// Fails if a logger is already installed or the writer thread cannot be started.
pub fn install(lines_per_s: u32) -> Result<(), LogError> {
    let log = Arc::new(StdoutLog {
        queue: Mutex::default(),
        is_filled: Condvar::new(),
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
        .spawn(move || log.run_writer())
        .map_err(LogError::Thread)?;
    Ok(())
}

/// Formats a record as one line of JSON: its time and part, then the fields of its message.
///
/// A message that is not a JSON object becomes the field `message`.
fn format_line(record: &Record<'_>, dropped: u64) -> String {
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
