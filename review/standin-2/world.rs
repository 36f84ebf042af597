//! What all cases share: the record, chance, and requests of clients.

use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{Answer, Client};

/// `record.txt`: what was sent, answered and run, with milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        let began = Instant::now();
        Ok(Self { file, began })
    }

    pub fn note(&self, text: &str) {
        let at = self.began.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>7} {text}");
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }
}

static CHANCE: AtomicU64 = AtomicU64::new(0);

/// A number from 0 to 1, drawn anew in each run.
pub fn chance() -> f64 {
    let seed = || {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        since.unwrap_or_default().as_nanos() as u64
    };
    let _ = CHANCE.compare_exchange(0, seed() | 1, Ordering::SeqCst, Ordering::SeqCst);
    let mut value = CHANCE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((value ^ (value >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}

/// A request of a client.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub deadline: Duration,
    /// Further fields, each with its line end.
    pub fields: &'a str,
    pub body: &'a str,
}

impl Request<'_> {
    pub fn print(&self) -> String {
        let key = self
            .key
            .map(|key| format!("Authorization: Token {key}\r\n"));
        let length = match (self.method, self.body.len()) {
            ("GET", _) => String::new(),
            (_, length) => format!("Content-Length: {length}\r\n"),
        };
        format!(
            "{} {} HTTP/1.1\r\nHost: jepu9.example\r\nRyerouter-Request-Id: {}\r\nRyerouter-Deadline-Ms: {}\r\n{}{}{}\r\n{}",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis(),
            key.unwrap_or_default(),
            self.fields,
            length,
            self.body
        )
    }

    /// Sends it on a new connection.
    pub fn send(&self, front: SocketAddr) -> io::Result<Answer> {
        Client::connect(front, self.deadline + Duration::from_secs(1))?.call(&self.print())
    }
}

/// The status of an answer, for the record.
pub fn status(answer: &io::Result<Answer>) -> String {
    match answer {
        Ok(answer) if answer.is_whole => answer.head.status().to_string(),
        Ok(answer) => format!("{}, cut", answer.head.status()),
        Err(error) => error.kind().to_string(),
    }
}
