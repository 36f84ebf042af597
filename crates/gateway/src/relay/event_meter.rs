//! Counts the events of a stream, and bounds what is read besides them.

use std::time::Duration;

use ryerouter_core::Timestamp;

use super::{FillerMeter, RelayFault, TransferMeter};

/// Bytes outside of data lines that may come between two events, in addition to [`FILLER_BYTES_PER_SECOND`]. Some
/// engines begin with a comment of two kibibytes, which makes old browsers read on.
const MAX_FILLER_BYTES: u64 = 4 * 1_024;
/// Rate of comments that keep a connection open until the next event.
const FILLER_BYTES_PER_SECOND: f64 = 128.0;
/// Start of the lines that make up an event.
const DATA_FIELD: &[u8] = b"data";

/// Counts the events of a stream. Comments, blank lines and fields without data make no event; how much of them may come
/// between two events is bounded, and so is the time of an event that has begun.
#[derive(Debug, Clone)]
pub struct EventMeter {
    /// When the last event came, or the wait for the first one began.
    since: Timestamp,
    /// Bytes outside of data lines since then.
    filler_bytes: u64,
    /// Tells whether they go on.
    filler: FillerMeter,
    /// The event that has begun.
    event: TransferMeter,
    /// When bytes were last received.
    received_at: Timestamp,
    /// The first bytes of the current line.
    line_start: Vec<u8>,
    /// Whether the current event has data.
    has_data: bool,
}

/// What was received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MeteredBytes {
    /// Number of events that were completed.
    pub events: u32,
    /// Whether parts of data lines were received.
    pub has_data: bool,
}

impl EventMeter {
    /// Creates a meter when the wait for the first event begins.
    pub fn new(since: Timestamp) -> Self {
        Self {
            since,
            filler_bytes: 0,
            filler: FillerMeter::default(),
            event: TransferMeter::of_event(),
            received_at: since,
            line_start: Vec::with_capacity(DATA_FIELD.len()),
            has_data: false,
        }
    }

    /// Counts received bytes. An error tells that they are no part of a sound stream.
    pub fn push(&mut self, bytes: &[u8], now: Timestamp) -> Result<MeteredBytes, RelayFault> {
        let mut metered = MeteredBytes::default();
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.push_part_of_line(part, now, &mut metered);
        }
        self.note_event_time(bytes.len(), now);
        match self.fault(now) {
            Some(detail) => Err(RelayFault { detail }),
            None => Ok(metered),
        }
    }

    /// Whether there is something besides events, and it came too recently to tell whether it goes on.
    pub fn is_undecided(&self, now: Timestamp) -> bool {
        self.filler.is_undecided(now)
    }

    fn note_event_time(&mut self, bytes: usize, now: Timestamp) {
        let waited = now.since(self.received_at);
        self.received_at = now;
        if self.has_data {
            self.event.push(bytes, waited);
        }
    }

    fn fault(&self, now: Timestamp) -> Option<String> {
        let allowed = max_filler_bytes(now.since(self.since));
        if self.filler_bytes > allowed {
            return Some(format!("more than {allowed} bytes without an event"));
        }
        if self.filler.is_exceeded(now) {
            return Some("bytes without an event go on".to_owned());
        }
        let is_overdue = self.event.is_overdue();
        is_overdue.then(|| "event without an end".to_owned())
    }

    fn push_part_of_line(&mut self, part: &[u8], now: Timestamp, metered: &mut MeteredBytes) {
        let missing = DATA_FIELD.len() - self.line_start.len();
        let start = &part[..part.len().min(missing)];
        self.line_start.extend_from_slice(start);
        let is_data = self.line_start == DATA_FIELD;
        self.has_data |= is_data;
        metered.has_data |= is_data;
        if !is_data {
            let bytes = part.len() as u64;
            self.filler_bytes += bytes;
            self.filler.push(bytes, now);
        }
        if !part.ends_with(b"\n") {
            return;
        }
        let is_blank = matches!(self.line_start.as_slice(), b"\n" | b"\r\n");
        self.line_start.clear();
        if is_blank && std::mem::take(&mut self.has_data) {
            metered.events += 1;
            self.since = now;
            self.filler_bytes = 0;
            self.filler = FillerMeter::default();
            self.event = TransferMeter::of_event();
        }
    }
}

/// Number of bytes outside of data lines that may come within this time without an event.
fn max_filler_bytes(elapsed: Duration) -> u64 {
    MAX_FILLER_BYTES + (FILLER_BYTES_PER_SECOND * elapsed.as_secs_f64()) as u64
}
