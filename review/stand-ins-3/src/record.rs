use std::fmt::Display;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes what was sent, answered and run to `record.txt`, with the time since the start in milliseconds.
#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file; an earlier one is replaced.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: impl Display) {
        let at_ms = self.started.elapsed().as_millis();
        if let Ok(mut file) = self.file.lock() {
            // The exit code still tells the result if the file cannot be written.
            let _ = writeln!(file, "{at_ms:>7} ms  {text}");
        }
    }
}
