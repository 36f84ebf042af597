//! What was sent, answered and run, with times.

use std::fmt::Display;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(folder: &Path) -> io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(folder.join("record.txt"))?),
        })
    }

    /// Time since the beginning.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: impl Display) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }
}
