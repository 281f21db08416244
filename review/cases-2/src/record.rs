//! The file in which a script records what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record that all stand-ins of a script write to; each line has the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at_s = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at_s:9.3} s  {text}");
    }

    /// Writes a line that is also shown on standard output.
    pub fn result(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
