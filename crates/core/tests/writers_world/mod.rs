//! Nodes that write records of streams to one store, on virtual time. What they know of each other differs.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::continuation::{
    Entry, Handovers, Journal, SegmentWrite, Shard, StoredSegment, StreamId, WritePace, Writer,
    first_of_shard,
};
use ryerouter_core::identity::PoolName;
use ryerouter_core::placement::rendezvous_score;

/// Mean time between two writes of a shard, at least.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a datagram is on its way.
const LATENCY: Duration = Duration::from_millis(1);
/// Time that a call to the store takes.
const CALL_TIME: Duration = Duration::from_millis(2);
/// Interval at which a node looks for records that were not confirmed.
const TICK: Duration = Duration::from_millis(100);
/// How long a node that has just started doesn't take itself for a writer.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// How long a node that has just started doesn't take itself for a reader.
const READER_DISCOVERY_TIME: Duration = Duration::from_millis(500);
/// Longest time after which a node that has started is known to another one of its zone.
const MAX_NEWS_TIME_MS: u64 = 2_000;
/// The same for those of other zones, which are heard of through echoes.
const MAX_FAR_NEWS_TIME_MS: u64 = 15_000;
const ZONES: u64 = 3;
/// Nodes that hold the record of a stream beside the writer.
const HOLDERS: usize = 3;
/// Shortest time after which a node that was killed is missed, and what is added to it at most.
const MIN_SUSPICION_MS: u64 = 1_100;
const MAX_SUSPICION_DELAY_MS: u64 = 2_200;
/// How long a view stays as it is.
const VIEW_TIME_MS: u64 = 2_000;
/// Nodes that rank further behind for a shard are never chosen.
const CANDIDATES: usize = 64;
/// Number of nodes that read a shard's stored records for others.
const SHARD_READERS: usize = 2;
/// Time for which a reading of a shard is not repeated.
const READING_INTERVAL: Duration = Duration::from_secs(1);

/// Shares of what goes wrong, in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct Disagreement {
    /// Live nodes that a view lacks.
    pub missing: u64,
    /// Nodes whose view lacks three of ten nodes, and holds all others, dead ones as well, for good.
    pub stuck: u64,
    /// Pairs of nodes of which the first can't send to the second.
    pub cut: u64,
    /// Whether news of nodes of other zones are slow.
    pub is_far_news_slow: bool,
}

/// Calls of all nodes to the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct Calls {
    /// Writes, those in conflict included.
    pub writes: usize,
    /// Writes in conflict with another writer.
    pub conflicts: usize,
    /// Reads by nodes that begin to write.
    pub position_reads: usize,
    /// Reads for callers that name streams which nobody knows.
    pub lookup_reads: usize,
}

impl Calls {
    pub fn total(&self) -> usize {
        self.writes + self.position_reads + self.lookup_reads
    }
}

#[derive(Debug)]
enum Event {
    Begin,
    TakeUp,
    Arrive {
        to: usize,
        from: usize,
        stream: StreamId,
    },
    /// A record comes to a holder, and names the node that the sender takes for the writer.
    Name {
        to: usize,
        shard: Shard,
        writer: usize,
    },
    Confirm {
        to: usize,
        from: usize,
        stream: StreamId,
    },
    Tick(usize),
    Read(usize, u64, Shard),
    Write(usize, u64, Shard, SegmentWrite),
    Wake(usize, u64, Shard),
    Kill(Vec<usize>),
    Start(Vec<usize>),
}

struct ShardWriter {
    journal: Journal,
    pace: WritePace,
    is_busy: bool,
}

impl Default for ShardWriter {
    fn default() -> Self {
        Self {
            journal: Journal::default(),
            pace: WritePace::new(WRITE_INTERVAL),
            is_busy: false,
        }
    }
}

/// What one process of a node knows.
#[derive(Default)]
struct Process {
    writers: BTreeMap<Shard, ShardWriter>,
    handovers: Handovers<usize>,
    read_at: BTreeMap<Shard, Timestamp>,
}

struct ModelNode {
    name_hash: u64,
    is_up: bool,
    /// When it was last started or killed.
    changed_at: Timestamp,
    lives: u64,
    process: Process,
}

/// The nodes and their store.
pub struct World {
    nodes: Vec<ModelNode>,
    candidates: BTreeMap<Shard, Vec<usize>>,
    disagreement: Disagreement,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), Event>,
    sequence: u64,
    random: ChaCha8Rng,
    segments: BTreeMap<(Shard, u8), StoredSegment>,
    recorded: HashSet<StreamId>,
    begun: Vec<(Timestamp, StreamId)>,
    pub calls: Calls,
    /// Records that nodes handed to others.
    pub handed_over: usize,
    /// Records that nodes confirmed.
    pub confirmed: usize,
}

impl World {
    /// So many nodes, none of which is up.
    pub fn new(nodes: usize, disagreement: Disagreement, seed: u64) -> Self {
        let nodes: Vec<_> = (0..nodes)
            .map(|index| ModelNode {
                name_hash: mixed(&[seed, index as u64]),
                is_up: false,
                changed_at: Timestamp::ZERO,
                lives: 0,
                process: Process::default(),
            })
            .collect();
        let hashes = || {
            let nodes = nodes.iter().enumerate();
            nodes.map(|(index, node)| (node.name_hash, index))
        };
        let candidates =
            Shard::all().map(|shard| (shard, first_of_shard(shard, hashes(), CANDIDATES)));
        Self {
            candidates: candidates.collect(),
            nodes,
            disagreement,
            now: Timestamp::ZERO,
            events: BTreeMap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            segments: BTreeMap::new(),
            recorded: HashSet::new(),
            begun: Vec::new(),
            calls: Calls::default(),
            handed_over: 0,
            confirmed: 0,
        }
    }

    /// The first node for a shard.
    pub fn first(&self, shard: Shard) -> usize {
        self.candidates[&shard][0]
    }

    pub fn all(&self) -> Vec<usize> {
        (0..self.nodes.len()).collect()
    }

    pub fn start_at(&mut self, at: Timestamp, nodes: Vec<usize>) {
        self.schedule_at(at, Event::Start(nodes));
    }

    pub fn kill_at(&mut self, at: Timestamp, nodes: Vec<usize>) {
        self.schedule_at(at, Event::Kill(nodes));
    }

    /// So many streams begin in each second of a time.
    pub fn begin_streams(&mut self, from: Timestamp, to: Timestamp, per_second: usize) {
        for at in evenly(from, to, per_second) {
            self.schedule_at(at, Event::Begin);
        }
    }

    /// So many streams that nobody knows are taken up in each second of a time.
    pub fn take_up_streams(&mut self, from: Timestamp, to: Timestamp, per_second: usize) {
        for at in evenly(from, to, per_second) {
            self.schedule_at(at, Event::TakeUp);
        }
    }

    /// Streams that began outside of these times and that the store has never held.
    pub fn lost(&self, except: &[(Timestamp, Timestamp)]) -> Vec<(Timestamp, StreamId)> {
        let is_excepted =
            |at: Timestamp| except.iter().any(|(from, to)| (*from..=*to).contains(&at));
        let begun = self.begun.iter().filter(|(at, _)| !is_excepted(*at));
        let lost = begun.filter(|(_, stream)| !self.recorded.contains(stream));
        lost.copied().collect()
    }

    /// Streams that began.
    pub fn begun(&self) -> usize {
        self.begun.len()
    }

    /// Plays all events until `end`.
    pub fn run_until(&mut self, end: Timestamp) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Begin => self.begin(),
            Event::TakeUp => self.take_up(),
            Event::Arrive { to, from, stream } => self.receive(to, from, stream),
            Event::Name { to, shard, writer } if self.nodes[to].is_up => {
                let name_hash = self.nodes[writer].name_hash;
                let handovers = &mut self.nodes[to].process.handovers;
                handovers.note_named(shard, name_hash, writer, self.now);
            }
            Event::Name { .. } => {}
            Event::Confirm { to, from, stream } if self.nodes[to].is_up => {
                let handovers = &mut self.nodes[to].process.handovers;
                handovers.confirm(from, &[stream], self.now);
            }
            Event::Confirm { .. } => {}
            Event::Tick(node) => self.tick(node),
            Event::Read(node, life, shard) if self.lives(node, life) => self.read(node, shard),
            Event::Write(node, life, shard, write) => {
                self.write(node, life, shard, write);
            }
            Event::Wake(node, life, shard) if self.lives(node, life) => {
                self.writer(node, shard).is_busy = false;
                self.poke(node, shard);
            }
            Event::Read(..) | Event::Wake(..) => {}
            Event::Kill(nodes) => self.kill(nodes),
            Event::Start(nodes) => self.start(nodes),
        }
    }

    fn schedule_at(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now.after(after), event);
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let is_cut = mixed(&[1, from as u64, to as u64]) % 1_000 < self.disagreement.cut;
        if !is_cut {
            self.schedule(LATENCY, event);
        }
    }

    fn lives(&self, node: usize, life: u64) -> bool {
        self.nodes[node].is_up && self.nodes[node].lives == life
    }

    fn kill(&mut self, nodes: Vec<usize>) {
        for node in nodes {
            let node = &mut self.nodes[node];
            node.is_up = false;
            node.changed_at = self.now;
        }
    }

    fn start(&mut self, nodes: Vec<usize>) {
        for index in nodes {
            let node = &mut self.nodes[index];
            node.is_up = true;
            node.changed_at = self.now;
            node.lives += 1;
            node.process = Process::default();
            if node.lives == 1 {
                self.schedule(TICK, Event::Tick(index));
            }
        }
    }

    /// Whether a node counts another one as alive.
    fn sees(&self, observer: usize, target: usize) -> bool {
        let (of, to) = (observer as u64, target as u64);
        if mixed(&[2, of]) % 1_000 < self.disagreement.stuck {
            return mixed(&[3, of, to]) % 10 < 7;
        }
        let (observer, target) = (&self.nodes[observer], &self.nodes[target]);
        let now_ms = self.now.as_millis();
        if !target.is_up {
            let delay = mixed(&[4, of, to]) % MAX_SUSPICION_DELAY_MS;
            let is_known = target.lives > 0 && observer.changed_at < target.changed_at;
            return is_known && now_ms < target.changed_at.as_millis() + MIN_SUSPICION_MS + delay;
        }
        let known_from = observer.changed_at.max(target.changed_at).as_millis();
        let is_far = of % ZONES != to % ZONES;
        let longest = match is_far && self.disagreement.is_far_news_slow {
            true => MAX_FAR_NEWS_TIME_MS,
            false => MAX_NEWS_TIME_MS,
        };
        let news_time = mixed(&[5, of, to, known_from]) % longest;
        let is_missing =
            mixed(&[6, of, to, now_ms / VIEW_TIME_MS]) % 1_000 < self.disagreement.missing;
        now_ms >= known_from + news_time && !is_missing
    }

    /// The nodes that may be first for a shard, as a node sees them.
    fn others(&self, node: usize, shard: Shard) -> Vec<(u64, usize)> {
        let candidates = self.candidates[&shard].iter().copied();
        let seen = candidates.filter(|other| *other != node && self.sees(node, *other));
        seen.map(|other| (self.nodes[other].name_hash, other))
            .collect()
    }

    fn random_node(&mut self) -> Option<usize> {
        let count = self.nodes.len();
        let node = self.random.random_range(0..count);
        self.nodes[node].is_up.then_some(node)
    }

    fn begin(&mut self) {
        let stream = StreamId(mixed(&[7, self.begun.len() as u64]));
        if let Some(node) = self.random_node() {
            self.begun.push((self.now, stream));
            if let Some(writer) = self.store(node, stream) {
                self.name_writer(node, stream.shard(), writer);
            }
        }
    }

    /// Tells the holders of a stream, which any node may be, of its writer, if the node hears that one itself.
    fn name_writer(&mut self, node: usize, shard: Shard, writer: usize) {
        // Nodes that have heard all others name nobody.
        if !self.disagreement.is_far_news_slow || !self.sees(node, writer) {
            return;
        }
        for _ in 0..HOLDERS {
            let to = self.random.random_range(0..self.nodes.len());
            if self.sees(node, to) {
                self.send(node, to, Event::Name { to, shard, writer });
            }
        }
    }

    /// Hands the record of a stream to the writer that a node knows, which may be the node itself. Returns the other node
    /// that gets it.
    fn store(&mut self, node: usize, stream: StreamId) -> Option<usize> {
        let shard = stream.shard();
        let others = self.others(node, shard);
        let now = self.now;
        let this = &mut self.nodes[node];
        let is_starting = now.since(this.changed_at) < DISCOVERY_TIME;
        let handovers = &mut this.process.handovers;
        match handovers.writer(shard, this.name_hash, others, is_starting, now) {
            Writer::Own => {
                let writer = this.process.writers.entry(shard).or_default();
                writer.journal.note(stream, entry(), now);
                self.poke(node, shard);
                None
            }
            Writer::Other(to) => {
                handovers.begin(stream, entry(), Some(to), now);
                let from = node;
                self.handed_over += 1;
                self.send(from, to, Event::Arrive { to, from, stream });
                Some(to)
            }
            Writer::Undecided => {
                handovers.begin(stream, entry(), None, now);
                None
            }
        }
    }

    fn receive(&mut self, node: usize, from: usize, stream: StreamId) {
        if !self.nodes[node].is_up {
            return;
        }
        let confirmation = Event::Confirm {
            to: from,
            from: node,
            stream,
        };
        self.confirmed += 1;
        self.send(node, from, confirmation);
        self.store(node, stream);
    }

    fn tick(&mut self, node: usize) {
        self.schedule(TICK, Event::Tick(node));
        if !self.nodes[node].is_up {
            return;
        }
        let overdue = self.nodes[node].process.handovers.take_overdue(self.now);
        for (stream, _) in overdue {
            self.store(node, stream);
        }
    }

    fn writer(&mut self, node: usize, shard: Shard) -> &mut ShardWriter {
        let writers = &mut self.nodes[node].process.writers;
        writers.entry(shard).or_default()
    }

    /// Begins the next call of a writer, unless it waits for one or pauses.
    fn poke(&mut self, node: usize, shard: Shard) {
        let (now, life) = (self.now, self.nodes[node].lives);
        let writer = self.writer(node, shard);
        if writer.is_busy {
            return;
        }
        if writer.journal.needs_position() {
            writer.is_busy = true;
            self.calls.position_reads += 1;
            self.schedule(CALL_TIME, Event::Read(node, life, shard));
        } else if let Some(write) = writer.journal.begin_write(now) {
            writer.is_busy = true;
            self.schedule(CALL_TIME, Event::Write(node, life, shard, write));
        }
    }

    fn read(&mut self, node: usize, shard: Shard) {
        let of_shard = self.segments.range((shard, 0)..=(shard, u8::MAX));
        let found: Vec<_> = of_shard.map(|(_, stored)| stored.clone()).collect();
        let writer = self.writer(node, shard);
        writer.journal.begin_after(&found);
        writer.is_busy = false;
        self.poke(node, shard);
    }

    /// The store takes the write of a node that may have been killed since.
    fn write(&mut self, node: usize, life: u64, shard: Shard, write: SegmentWrite) {
        let SegmentWrite {
            number,
            segment,
            replaces,
        } = write;
        self.calls.writes += 1;
        let found = self.segments.get(&(shard, segment.index)).cloned();
        let is_conflict = found.as_ref().map(|found| found.revision) != replaces;
        let revision = self.calls.writes as u64;
        if is_conflict {
            self.calls.conflicts += 1;
        } else {
            self.recorded
                .extend(segment.streams.iter().map(|(id, _)| *id));
            let key = (shard, segment.index);
            self.segments
                .insert(key, StoredSegment { segment, revision });
        }
        if !self.lives(node, life) {
            return;
        }
        let now = self.now;
        let writer = self.writer(node, shard);
        match is_conflict {
            true => writer.journal.resolve_conflict(number, found),
            false => writer.journal.end_write(number, revision),
        }
        let pause = writer.pace.pause_after_write(now);
        self.schedule(pause, Event::Wake(node, life, shard));
    }

    /// A caller names a stream that no node knows: the node that it asks, and the shard's readers as that one sees them,
    /// read the store where they take themselves for readers.
    fn take_up(&mut self) {
        let shard = StreamId(self.random.random()).shard();
        let Some(node) = self.random_node() else {
            return;
        };
        let mut asked = first_of_shard(shard, self.others(node, shard), SHARD_READERS);
        asked.push(node);
        for reader in asked {
            if self.nodes[reader].is_up && self.is_reader(reader, shard) {
                self.look_up(reader, shard);
            }
        }
    }

    fn is_reader(&self, node: usize, shard: Shard) -> bool {
        let others = self.others(node, shard);
        let all = others
            .into_iter()
            .chain([(self.nodes[node].name_hash, node)]);
        first_of_shard(shard, all, SHARD_READERS).contains(&node)
    }

    fn look_up(&mut self, node: usize, shard: Shard) {
        let now = self.now;
        let read_at = &self.nodes[node].process.read_at;
        let is_recent = |at: &Timestamp| now.since(*at) < READING_INTERVAL;
        let is_starting = now.since(self.nodes[node].changed_at) < READER_DISCOVERY_TIME;
        if read_at.get(&shard).is_some_and(is_recent) || is_starting {
            return;
        }
        self.nodes[node].process.read_at.insert(shard, now);
        self.calls.lookup_reads += 1;
    }
}

fn entry() -> Entry {
    Entry {
        pool: PoolName::new("pool"),
        software: "v1".to_owned(),
    }
}

/// A number drawn by these, the same each time.
fn mixed(numbers: &[u64]) -> u64 {
    numbers
        .iter()
        .fold(0, |hash, number| rendezvous_score(hash, *number + 1))
}

fn evenly(from: Timestamp, to: Timestamp, per_second: usize) -> impl Iterator<Item = Timestamp> {
    let count = to.since(from).as_secs_f64() * per_second as f64;
    (0..count as u64)
        .map(move |number| from.after(Duration::from_secs_f64(number as f64 / per_second as f64)))
}
