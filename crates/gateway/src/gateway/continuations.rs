//! Finds out at which software version a stream goes on, and tells other nodes; see docs/design/continuations.md.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::Timestamp;
use ryerouter_core::continuation::{
    Answers, Decision, Entry, HOLDERS, Knowledge, Node, Outlook, SETTLING_TIME, Source, StreamId,
    Unresolved, decide, decide_with_answers, holders_of,
};
use ryerouter_core::identity::{PoolName, ZoneName};
use ryerouter_core::release::SoftwareVersion;
use slog::info;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::stream_handovers::writer_to_name;
use super::stream_records::{hash_of_name, needs_stream_records};
use super::{Gateway, GatewayState, PEER_DISCOVERY_TIME};
use crate::continuation::{Answer, Lookup, Question, RecordBatches, Records, ServedVersions};
use crate::peers::{Datagram, Peer, PeerMessage};
use crate::serve::AcceptedRequest;
use crate::source::ItemKind;

/// Maximum time that a stream waits for other nodes to answer. Its caller gives up after two seconds, and a node that has
/// used up its share of a core answers within a tenth of a second.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);
/// The same while this node has just started: with all others it may have to read the stored records first.
const LOOKUP_TIMEOUT_AT_START: Duration = Duration::from_millis(1_000);
/// How long a node counts as just started.
const STARTING_TIME: Duration = Duration::from_secs(10);
/// Interval at which nodes that have not answered are asked again, since datagrams may be lost.
const ASK_AGAIN_INTERVAL: Duration = Duration::from_millis(60);
/// When a pool gets a second version, the streams of this time are announced. Streams that began earlier and go on later
/// are known to this node only.
const ANNOUNCED_AGE: Duration = Duration::from_secs(30);

impl Gateway {
    /// The version at which a request goes on with the stream that it names.
    pub(crate) async fn continuation_version(
        self: &Rc<Self>,
        request: &AcceptedRequest,
    ) -> Result<SoftwareVersion, Unresolved> {
        let asked_at = self.clock().now();
        let stream = request.stream_id();
        let pool = &request.pool;
        let mut outlook = self.version_outlook(pool);
        let (known, source) = self.own_record(stream);
        let mut known_by = match source {
            None => "list",
            Some(Source::Store) => "store",
            Some(Source::Own | Source::Peer) => "own",
        };
        let mut answers = Answers::default();
        let decision = match decide(known, &outlook) {
            Decision::Ask => {
                answers = self.ask_holders(stream, pool, asked_at).await;
                if answers.knowledge != Knowledge::Unknown {
                    known_by = match self.own_record(stream).1 {
                        Some(Source::Store) => "store",
                        _ => "peer",
                    };
                }
                // This node may have read the store, or heard of versions, meanwhile.
                let only_recorded = self.only_recorded_since(pool, asked_at);
                if answers.knowledge == Knowledge::Unknown && only_recorded.is_some() {
                    known_by = "record";
                }
                outlook = Outlook {
                    only_recorded,
                    ..self.version_outlook(pool)
                };
                decide_with_answers(&outlook, &answers)
            }
            decision => decision,
        };
        let decided = match decision {
            Decision::Continue(software) => Ok(software),
            Decision::Refuse(why) => Err(why),
            Decision::Ask => Err(Unresolved::NoRecord),
        };
        let label = if decided.is_ok() { known_by } else { "refused" };
        let continuations = &self.metrics().continuations;
        continuations.with_label_values(&[label]).inc();
        if let Some(left_out) = self.continuation_sampler().admit(self.clock().now()) {
            let waited = self.clock().now().since(asked_at);
            info!(self.log(), "stream_taken_up"; "request" => &request.caller.id,
                "resumes" => request.caller.resumes.as_deref(), "stream" => %stream,
                "after_event" => request.caller.last_event_id.as_deref(),
                "software" => decided.as_ref().ok(), "known_by" => label,
                "why" => decided.as_ref().err().map(ToString::to_string),
                "versions" => outlook.versions.join(","), "is_certain" => outlook.is_certain,
                "list_age_ms" => self.engine_list_age().map(|age| age.as_millis() as u64),
                "knows_past" => outlook.knows_past, "peers_know_past" => answers.know_past,
                "is_whole" => outlook.is_whole, "peers_are_whole" => answers.are_whole,
                "answers" => answers.count, "waited_ms" => waited.as_millis() as u64,
                "left_out" => left_out);
        }
        decided
    }

    /// What this node's register holds of a stream, and who reported it.
    fn own_record(&self, stream: StreamId) -> (Knowledge, Option<Source>) {
        let now = self.clock().now();
        let state = self.state();
        let register = &state.continuations.register;
        (register.get(stream, now), register.source(stream, now))
    }

    /// Time since the list of engines was confirmed.
    fn engine_list_age(&self) -> Option<Duration> {
        let now = self.clock().now();
        let state = self.state();
        let replica = state.replicas.of(ItemKind::Engines);
        replica.freshness.age(now)
    }

    /// Whether engines of a version serve a pool, as far as the list tells; `None` while the list may be outdated.
    pub(crate) fn is_version_in_service(&self, pool: &PoolName, software: &str) -> Option<bool> {
        let outlook = self.version_outlook(pool);
        let state = self.state();
        let mut engines = state.engines.of_pool(pool);
        let is_listed =
            engines.any(|engine| engine.is_in_service() && engine.entry.software == software);
        (is_listed || outlook.is_certain).then_some(is_listed)
    }

    /// Records that the caller of a request gets events of this version now, and tells the nodes that hold the record.
    pub(crate) fn note_stream_version(&self, request: &AcceptedRequest, software: &str) {
        if request.caller.first_request_id().is_empty() {
            // The caller takes up a stream without naming it, so nobody can ask for it.
            return;
        }
        let now = self.clock().now();
        let (stream, pool) = (request.stream_id(), &request.pool);
        let mut state = self.state_mut();
        let continuations = &mut state.continuations;
        let register = &mut continuations.register;
        register.note(stream, pool, software, Source::Own, now);
        if !needs_stream_records(&state, pool, now) {
            return;
        }
        let entry = Entry {
            pool: pool.clone(),
            software: software.to_owned(),
        };
        let writer = self.store_stream(&mut state, stream, &entry, now);
        let mut holders = self.holders(&state, stream, now);
        let named = writer.and_then(|writer| writer_to_name(&state, writer, now));
        drop(state);
        holders.retain(|holder| holder.is_some() && *holder != writer);
        for (receivers, is_to_be_stored) in [(vec![writer], true), (holders, false)] {
            let records = Records {
                pool: pool.clone(),
                software: entry.software.clone(),
                streams: vec![stream],
                is_to_be_stored,
                writer: named.clone().filter(|_| !is_to_be_stored),
            };
            let receivers: Vec<_> = receivers.into_iter().flatten().collect();
            self.send_datagram(&Datagram::StreamRecords(records), &receivers);
        }
    }

    /// Applies records of the node at `from`.
    pub fn apply_stream_records(&self, records: &Records, from: SocketAddr) {
        let now = self.clock().now();
        let (pool, software) = (&records.pool, &records.software);
        let mut state = self.state_mut();
        for stream in &records.streams {
            let register = &mut state.continuations.register;
            register.note(*stream, pool, software, Source::Peer, now);
        }
        if let (Some(writer), Some(stream)) = (&records.writer, records.streams.first()) {
            let (shard, name_hash) = (stream.shard(), hash_of_name(&writer.name));
            let handovers = &mut state.continuations.handovers;
            handovers.note_named(shard, name_hash, writer.address, now);
        }
        drop(state);
        if records.is_to_be_stored {
            self.take_streams(records, from);
        }
    }

    /// Answers another node's question, or passes it on to the nodes that hold the record.
    pub fn answer_stream_question(&self, question: &Question, from: SocketAddr) {
        let now = self.clock().now();
        let shard = question.stream.shard();
        let knowledge = self
            .state()
            .continuations
            .register
            .get(question.stream, now);
        if knowledge == Knowledge::Unknown && !self.has_read_shard(shard, &question.pool) {
            // The question comes again, and the stored records have been read by then.
            return;
        }
        let state = self.state();
        let continuations = &state.continuations;
        let holders = self.holders(&state, question.stream, now);
        let readers = self.shard_readers(&state, shard, now);
        let is_holder = holders.contains(&None) || readers.contains(&None);
        let answer = Answer {
            number: question.number,
            is_ambiguous: knowledge == Knowledge::Ambiguous,
            is_holder: is_holder || knowledge != Knowledge::Unknown || question.asker.is_some(),
            versions: continuations.history.versions(&question.pool, now),
            knows_past: continuations.versions.knows_past(&question.pool)
                && !continuations.history.is_incomplete(&question.pool, now),
            is_whole: is_whole(&state, now),
            software: match knowledge {
                Knowledge::Began(software) => Some(software),
                Knowledge::Unknown | Knowledge::Ambiguous => None,
            },
        };
        drop(state);
        let asker = question.asker.unwrap_or(from);
        if !answer.is_holder {
            let passed_on = Question {
                asker: Some(asker),
                ..question.clone()
            };
            let holders = holders.into_iter().flatten();
            let holders: Vec<_> = holders.filter(|holder| *holder != asker).collect();
            self.send_datagram(&Datagram::StreamQuestion(passed_on), &holders);
        }
        self.send_datagram(&Datagram::StreamAnswer(answer), &[asker]);
    }

    /// Applies an answer to a question of this node.
    pub fn apply_stream_answer(&self, answer: &Answer, from: SocketAddr) {
        let lookup = self
            .state()
            .continuations
            .lookups
            .get(&answer.number)
            .cloned();
        if let Some(lookup) = lookup {
            lookup.receive(from, answer);
        }
    }

    /// Records that the list holds an engine of this version.
    pub(super) fn note_version_listed(
        &self,
        state: &mut GatewayState,
        pool: &PoolName,
        software: &str,
        now: Timestamp,
    ) {
        let continuations = &mut state.continuations;
        if !continuations.history.pools().any(|known| known == pool) {
            continuations.versions.note_first_listed(pool, now);
        }
        if continuations.history.note_listed(pool, software, now) {
            self.announce_streams(state, pool, now);
        }
    }

    /// Keeps the versions of all listed engines up to date, and forgets those of long ago.
    pub fn refresh_versions(&self) {
        let now = self.clock().now();
        let mut state = self.state_mut();
        let state = &mut *state;
        let history = &mut state.continuations.history;
        for engine in state.engines.iter() {
            history.note_listed(&engine.entry.pool, &engine.entry.software, now);
        }
        history.expire(now);
        state.continuations.register.expire(now);
        if state.is_engine_list_current(SETTLING_TIME, now) {
            let zones = zones_of(state.peers.recently_heard(now));
            state.continuations.zones.note_current(zones);
        }
    }

    /// The versions of pools that several versions serve, for other nodes.
    pub(super) fn served_versions(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Vec<ServedVersions> {
        let mixed = state.continuations.history.listed_in_mixed_pools(now);
        mixed
            .map(|(pool, versions)| ServedVersions {
                pool: pool.clone(),
                versions: versions
                    .into_iter()
                    .map(|(software, age)| (software.clone(), age.as_millis() as u64))
                    .collect(),
            })
            .collect()
    }

    /// Applies the versions that another node has seen.
    pub(super) fn apply_served_versions(&self, state: &mut GatewayState, message: &PeerMessage) {
        let now = self.clock().now();
        for served in &message.served {
            let mut is_new = false;
            for (software, age_ms) in &served.versions {
                let at = now.before(Duration::from_millis(*age_ms));
                let history = &mut state.continuations.history;
                is_new |= history.note_told(&served.pool, software, at, now);
            }
            if is_new {
                self.announce_streams(state, &served.pool, now);
            }
        }
    }

    /// Tells the nodes that hold records of the streams which this node relayed lately: until now, with one version,
    /// there was no need to.
    pub(super) fn announce_streams(
        &self,
        state: &mut GatewayState,
        pool: &PoolName,
        now: Timestamp,
    ) {
        let register = &state.continuations.register;
        let own = register.own_since(pool, ANNOUNCED_AGE, now);
        let own: Vec<_> = own
            .map(|(stream, software)| {
                let (pool, software) = (pool.clone(), software.clone());
                (stream, Entry { pool, software })
            })
            .collect();
        let mut batches = RecordBatches::default();
        for (stream, entry) in &own {
            let writer = self.store_stream(state, *stream, entry, now);
            let holders = self.holders(state, *stream, now);
            let holders = holders.into_iter().flatten();
            for holder in holders.filter(|holder| Some(*holder) != writer) {
                batches.add(holder, *stream, entry, false);
            }
            if let Some(writer) = writer {
                batches.add(writer, *stream, entry, true);
            }
        }
        self.send_records(batches);
        info!(self.log(), "versions_mixed"; "pool" => %pool, "streams_announced" => own.len(),
            "versions" => state.continuations.history.versions(pool, now).join(","));
    }

    async fn ask_holders(
        self: &Rc<Self>,
        stream: StreamId,
        pool: &PoolName,
        asked_at: Timestamp,
    ) -> Answers {
        let asked = self.nodes_to_ask(stream);
        let lookup = Rc::new(Lookup::new(asked));
        let open = OpenLookup::begin(self, &lookup);
        let question = Question {
            number: open.number,
            stream,
            pool: pool.clone(),
            asker: None,
        };
        let wait = match self.uptime() < STARTING_TIME {
            true => LOOKUP_TIMEOUT_AT_START,
            false => LOOKUP_TIMEOUT,
        };
        let limit = self.clock().now().after(wait);
        let ask_until_settled = async {
            loop {
                let datagram = Datagram::StreamQuestion(question.clone());
                self.send_datagram(&datagram, &lookup.unanswered());
                tokio::select! {
                    () = lookup.until_settled() => return,
                    () = sleep(ASK_AGAIN_INTERVAL) => {}
                }
            }
        };
        let read = self.until_shard_read(stream.shard(), pool);
        let confirmed = self.until_only_version_confirmed(pool, asked_at);
        let ask_and_read = async {
            tokio::select! {
                // What is known needs no proof that nothing else served.
                () = lookup.until_known() => {}
                _ = async { tokio::join!(ask_until_settled, read, confirmed) } => {}
            }
        };
        // Without answers in time, what came until then decides.
        let _ = self.clock().until(limit, ask_and_read).await;
        let mut answers = lookup.answers();
        let state = self.state();
        answers.has_peers |= state.peers.known_count() > 0;
        if answers.knowledge == Knowledge::Unknown {
            let register = &state.continuations.register;
            answers.knowledge = register.get(stream, self.clock().now());
        }
        answers
    }

    /// The other nodes that hold a stream's record or read it from the store. A node that has just started may not know
    /// them, and also asks nodes that it has not heard from.
    fn nodes_to_ask(&self, stream: StreamId) -> Vec<SocketAddr> {
        let now = self.clock().now();
        let state = self.state();
        let holders = self.holders(&state, stream, now);
        let mut asked: Vec<_> = holders.into_iter().flatten().collect();
        if state.continuations.versions.has_store {
            let readers = self.shard_readers(&state, stream.shard(), now);
            asked.extend(readers.into_iter().flatten());
        }
        if self.uptime() < PEER_DISCOVERY_TIME {
            let unheard = state.peers.unanswered_addresses().iter().take(HOLDERS);
            asked.extend(unheard);
        }
        asked
    }

    /// The nodes that hold a stream's record, among them the one that writes it to the store; `None` stands for this node.
    fn holders(
        &self,
        state: &GatewayState,
        stream: StreamId,
        now: Timestamp,
    ) -> Vec<Option<SocketAddr>> {
        let identity = &self.settings().identity;
        let own = Node {
            key: None,
            name_hash: xxh3_64(identity.name.as_str().as_bytes()),
            zone: &identity.zone,
        };
        let peers = state.peers.alive(now).map(|peer| Node {
            key: Some(peer.identity.peer_address),
            name_hash: xxh3_64(peer.identity.name.as_str().as_bytes()),
            zone: &peer.identity.zone,
        });
        let holders = holders_of(stream, peers.chain([own]));
        if !state.continuations.versions.has_store {
            return holders;
        }
        let readers = self.shard_readers(state, stream.shard(), now);
        let Some(writer) = readers.first().copied() else {
            return holders;
        };
        let others = holders.into_iter().filter(|holder| *holder != writer);
        [writer].into_iter().chain(others).take(HOLDERS).collect()
    }

    fn version_outlook(&self, pool: &PoolName) -> Outlook {
        let now = self.clock().now();
        let state = self.state();
        let has_heard_others = self.uptime() >= PEER_DISCOVERY_TIME;
        let continuations = &state.continuations;
        let knows_past = continuations.versions.knows_past(pool)
            && !continuations.history.is_incomplete(pool, now);
        let is_list_current = state.is_engine_list_current(SETTLING_TIME, now);
        Outlook {
            versions: continuations.history.versions(pool, now),
            is_certain: is_list_current && has_heard_others && knows_past,
            knows_past,
            is_whole: is_whole(&state, now),
            only_recorded: None,
        }
    }

    fn only_recorded_since(&self, pool: &PoolName, at: Timestamp) -> Option<SoftwareVersion> {
        let state = self.state();
        let continuations = &state.continuations;
        let only = continuations.versions.only_recorded_since(pool, at);
        let is_incomplete = continuations
            .history
            .is_incomplete(pool, self.clock().now());
        only.filter(|_| !is_incomplete).cloned()
    }
}

/// Whether no node that this one can't hear may serve versions of which it has not heard.
fn is_whole(state: &GatewayState, now: Timestamp) -> bool {
    let peers = state.peers.recently_heard(now);
    let heard = zones_of(peers.filter(|peer| peer.is_heard(SETTLING_TIME, now)));
    let is_list_current = state.is_engine_list_current(SETTLING_TIME, now);
    is_list_current || state.continuations.zones.are_all_in(&heard)
}

fn zones_of<'a>(peers: impl Iterator<Item = &'a Peer>) -> BTreeSet<ZoneName> {
    peers.map(|peer| peer.identity.zone.clone()).collect()
}

/// Keeps a question open until dropped.
struct OpenLookup {
    gateway: Rc<Gateway>,
    number: u64,
}

impl OpenLookup {
    fn begin(gateway: &Rc<Gateway>, lookup: &Rc<Lookup>) -> Self {
        let mut state = gateway.state_mut();
        // An answer may come late, to a question of this node's former life.
        let number = u64::from(rand::random::<u32>());
        let lookups = &mut state.continuations.lookups;
        lookups.insert(number, Rc::clone(lookup));
        Self {
            gateway: Rc::clone(gateway),
            number,
        }
    }
}

impl Drop for OpenLookup {
    fn drop(&mut self) {
        let mut state = self.gateway.state_mut();
        state.continuations.lookups.remove(&self.number);
    }
}
