use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a run: one line for each thing that was sent, answered or run.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn create(folder: &Path) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(folder.join("record.txt"))?),
        })
    }

    /// Appends a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        writeln!(file, "{at:8.3} s  {text}").expect("the record can be written");
    }
}
