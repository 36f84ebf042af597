//! Reads a back end's stream and yields what the caller gets.

use std::collections::VecDeque;
use std::ops::Range;

use bytes::Bytes;
use memchr::memmem;

use super::{
    ChunkOrder, ChunkPlacement, DeliveredText, EventBuffer, EventFields, RelayFault,
    StreamProgress, Usage,
};

/// Field of the usage counts, as it stands in JSON.
const USAGE_FIELD: &[u8] = b"\"usage\"";
/// A comment without words.
const COMMENT: &[u8] = b":\n\n";

/// Reads the events of one answer, over as many attempts as it takes, and yields the bytes its
/// caller gets: each chunk once, in order, and the end mark last.
#[derive(Debug)]
pub struct EventStream {
    buffer: EventBuffer,
    order: ChunkOrder,
    text: DeliveredText,
    last_chunk: Bytes,
    duplicates: u64,
}

impl EventStream {
    /// A stream whose events have at most `max_event_bytes` bytes.
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            buffer: EventBuffer::new(max_event_bytes),
            order: ChunkOrder::default(),
            text: DeliveredText::default(),
            last_chunk: Bytes::new(),
            duplicates: 0,
        }
    }

    /// Chunks delivered, which is the index of the next one.
    pub fn delivered_chunks(&self) -> u64 {
        self.order.next()
    }

    /// Chunks dropped because they had been delivered already.
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// The text delivered.
    pub fn text(&self) -> &DeliveredText {
        &self.text
    }

    /// Starts to read another attempt's stream in place of one that broke off.
    pub fn restart(&mut self, max_event_bytes: usize) {
        self.buffer = EventBuffer::new(max_event_bytes);
        self.order.reset();
    }

    /// Takes bytes of the back end's stream and appends what the caller gets to `output`.
    ///
    /// After a fault the output is still good: it ends with the last chunk before the fault.
    pub fn push(
        &mut self,
        bytes: Bytes,
        output: &mut VecDeque<Bytes>,
    ) -> Result<StreamProgress, RelayFault> {
        let (block, searched) = self.buffer.join(bytes);
        let mut run = Run::new(&block, output);
        let mut last_data = None;
        let mut start = 0;
        let mut search_from = searched;
        let mut progress = Ok(StreamProgress::Open);
        while let Some(end) = EventBuffer::find_end(&block, search_from) {
            match self.take_event(&block, start..end, &mut run, &mut last_data) {
                Ok(StreamProgress::Open) => {}
                ended => {
                    progress = ended;
                    start = end;
                    break;
                }
            }
            start = end;
            search_from = end;
        }
        run.flush();
        if let Some(data) = last_data {
            self.keep_if_last(block.slice(data));
        }
        if let Ok(StreamProgress::Open) = progress {
            self.buffer.keep(&block[start..])?;
        }
        progress
    }

    /// Only the chunk with the usage counts is needed again; any other would keep the memory of
    /// the whole read it came with.
    fn keep_if_last(&mut self, chunk: Bytes) {
        self.last_chunk = match memmem::find(&chunk, USAGE_FIELD) {
            Some(_) => chunk,
            None => Bytes::new(),
        };
    }

    fn take_event(
        &mut self,
        block: &Bytes,
        range: Range<usize>,
        run: &mut Run<'_>,
        last_data: &mut Option<Range<usize>>,
    ) -> Result<StreamProgress, RelayFault> {
        let event = &block[range.clone()];
        self.buffer.check_size(event)?;
        let fields = EventFields::parse(event);
        let Some(data) = fields.data.clone() else {
            self.take_comment(event, run);
            return Ok(StreamProgress::Open);
        };
        if fields.is_done(event) {
            let last = last_data.take().map(|last| block.slice(last));
            let usage = self.finish(last)?;
            run.extend(range);
            return Ok(StreamProgress::Done(usage));
        }
        let index = fields.index.ok_or(RelayFault::MissingIndex)?;
        match self.order.place(index) {
            ChunkPlacement::Due => {
                self.text.append(&event[data.clone()]);
                *last_data = Some(range.start + data.start..range.start + data.end);
                run.extend(range);
                self.release_held(run, last_data);
            }
            ChunkPlacement::Duplicate => {
                self.duplicates += 1;
                run.skip();
            }
            ChunkPlacement::Early => {
                self.order.hold(index, event)?;
                run.skip();
            }
        }
        Ok(StreamProgress::Open)
    }

    /// Comments keep connections alive, so the caller gets one too, but not its words; any other
    /// event without data is dropped.
    fn take_comment(&self, event: &[u8], run: &mut Run<'_>) {
        if event.starts_with(b":") {
            run.insert(Bytes::from_static(COMMENT));
        } else {
            run.skip();
        }
    }

    fn release_held(&mut self, run: &mut Run<'_>, last_data: &mut Option<Range<usize>>) {
        while let Some(event) = self.order.release() {
            if let Some(data) = EventFields::parse(&event).data {
                self.text.append(&event[data.clone()]);
                self.keep_if_last(event.slice(data));
                // The chunk just released is later than any in the block so far.
                *last_data = None;
            }
            run.insert(event);
        }
    }

    /// Checks at the end mark that no chunk is missing, also at the end: the last chunk of a
    /// complete answer carries the usage counts.
    fn finish(&mut self, last: Option<Bytes>) -> Result<Usage, RelayFault> {
        if let Some(last) = last {
            self.keep_if_last(last);
        }
        self.order.check_complete()?;
        Usage::parse(&self.last_chunk).ok_or(RelayFault::MissingUsage)
    }
}

/// Joins neighbouring events of a block into one slice.
struct Run<'a> {
    block: &'a Bytes,
    output: &'a mut VecDeque<Bytes>,
    range: Range<usize>,
}

impl<'a> Run<'a> {
    fn new(block: &'a Bytes, output: &'a mut VecDeque<Bytes>) -> Self {
        Self {
            block,
            output,
            range: 0..0,
        }
    }

    fn extend(&mut self, range: Range<usize>) {
        if self.range.is_empty() {
            self.range = range;
        } else {
            self.range.end = range.end;
        }
    }

    fn skip(&mut self) {
        self.flush();
    }

    fn insert(&mut self, event: Bytes) {
        self.flush();
        self.output.push_back(event);
    }

    fn flush(&mut self) {
        if !self.range.is_empty() {
            self.output.push_back(self.block.slice(self.range.clone()));
        }
        self.range = 0..0;
    }
}
