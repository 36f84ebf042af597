//! Nodes in three regions that follow one source and tell each other what they know over links that
//! take their time and can be cut, on a virtual clock.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::gateway::{Envelope, Gateway};
use ryerouter_gateway::peers::{Datagram, NodeState};
use ryerouter_gateway::source::{CatalogueSource, FollowSettings, ItemKind, follow, keep_fresh};
use ryerouter_gateway::topology::Distance;
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep};

use super::fleet::{ZONES, three_regions};
use super::followers::three_engines;
use super::gateway_bench::{gateway_with, settings};
use super::virtual_source::{VirtualSource, Way};

/// Nodes in each zone.
pub const OF_ZONE: usize = 4;
/// Nodes in each region.
pub const OF_REGION: usize = 2 * OF_ZONE;
/// How long a datagram is on its way within a zone and a region, and between regions.
const WITHIN_REGION: Duration = Duration::from_millis(1);
const BETWEEN_REGIONS: Duration = Duration::from_millis(30);
/// As the real link does.
const TICK: Duration = Duration::from_millis(100);
const GATHER: Duration = Duration::from_millis(15);
const TICKS_PER_HEARTBEAT: u64 = 3;
const TICKS_PER_INTRODUCTION: u64 = 12;
/// Keys are refused when the configuration was not proven current for so long.
pub const MOST_UNPROVEN: Duration = Duration::from_millis(4_700);
/// All nodes know each other after this time.
pub const SETTLED: Duration = Duration::from_secs(8);

/// Nodes in three regions, four in each of their zones, in order of the zones.
pub struct RegionFleet {
    pub source: Rc<VirtualSource>,
    pub nodes: Vec<Rc<Gateway>>,
    cuts: RefCell<BTreeSet<(usize, usize)>>,
    /// Bytes that were sent to other regions.
    pub remote_bytes: Cell<usize>,
}

impl RegionFleet {
    /// Nodes that know each other and have read what the source holds. They know their regions, or
    /// take all zones for one.
    pub async fn settled(knows_regions: bool) -> Rc<Self> {
        let nodes = (0..ZONES.len() * OF_ZONE).map(|index| {
            let mut own = settings(&format!("node-{index:02}"));
            own.identity.incarnation = index as u64 + 10;
            own.identity.zone = ryerouter_core::identity::ZoneName::new(ZONES[index / OF_ZONE]);
            own.identity.peer_address = peer_address(index);
            own.identity.caller_address = caller_address(index);
            own.seeds = (0..3)
                .map(|region| peer_address(region * OF_REGION))
                .collect();
            own.propagation_limit = Duration::from_secs(2);
            own.max_unconfirmed_age = Some(MOST_UNPROVEN);
            if knows_regions {
                own.topology = three_regions();
            }
            gateway_with(own)
        });
        let fleet = Rc::new(Self {
            source: VirtualSource::new(three_engines()),
            nodes: nodes.collect(),
            cuts: RefCell::default(),
            remote_bytes: Cell::default(),
        });
        for index in 0..fleet.nodes.len() {
            fleet.start_node(index);
        }
        sleep(SETTLED).await;
        fleet
    }

    fn start_node(self: &Rc<Self>, index: usize) {
        let gateway = &self.nodes[index];
        let way: Rc<dyn CatalogueSource> = Rc::new(Way {
            source: Rc::clone(&self.source),
            node: index,
        });
        let how = FollowSettings {
            watch: Duration::from_secs(15),
            answer: Duration::from_millis(1_500),
            longest_pause: Duration::from_millis(600),
        };
        for kind in [
            ItemKind::Configuration,
            ItemKind::Engines,
            ItemKind::Weights,
        ] {
            let gateway = Rc::clone(gateway);
            spawn_local(follow(gateway, Rc::clone(&way), kind, how.clone()));
        }
        let allowed = gateway.settings().max_configuration_age();
        spawn_local(keep_fresh(Rc::clone(gateway), way, allowed));
        spawn_local(Rc::clone(self).run_link(index));
    }

    /// What the datagram link of a node does.
    async fn run_link(self: Rc<Self>, index: usize) {
        let gateway = &self.nodes[index];
        sleep(TICK.mul_f64(index as f64 / self.nodes.len() as f64)).await;
        let mut ticks = interval(TICK);
        let mut tick = 0;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    tick += 1;
                    gateway.refresh_foreign_loads();
                    gateway.refresh_quotas();
                    gateway.remove_unlisted();
                    self.tell(index, tick);
                    let with_loads = tick % TICKS_PER_HEARTBEAT == 0;
                    if with_loads {
                        self.send_envelopes(index, gateway.next_own_zone_updates());
                    }
                    self.send_envelopes(index, gateway.next_zone_update(with_loads));
                    if let Some((address, fetch)) = gateway.next_list_fetch(&mut rand::rng()) {
                        self.send(index, address, Datagram::ListFetch(fetch));
                    }
                    if let Some((address, fetch)) = gateway.next_configuration_fetch() {
                        self.send(index, address, Datagram::Fetch(fetch));
                    }
                    let spacing = if gateway.asks_often() { 2 } else { 4 };
                    if tick % spacing == index as u64 % spacing
                        && let Some((reader, question)) = gateway.next_question()
                    {
                        self.send(index, reader, Datagram::Question(question));
                    }
                }
                () = gateway.peer_send_requested() => {
                    sleep(GATHER).await;
                    self.send_envelopes(index, gateway.next_urgent_updates());
                    self.tell(index, TICKS_PER_HEARTBEAT);
                }
            }
        }
    }

    fn tell(self: &Rc<Self>, index: usize, tick: u64) {
        let gateway = &self.nodes[index];
        let is_full_update =
            tick.is_multiple_of(TICKS_PER_INTRODUCTION) || gateway.owes_full_update();
        let is_due = is_full_update || tick.is_multiple_of(TICKS_PER_HEARTBEAT);
        if !is_due && !gateway.has_peer_updates() {
            return;
        }
        let message = gateway.peer_message(is_full_update);
        let receivers = gateway.peer_receivers(is_full_update, &mut rand::rng());
        for (message, receivers) in gateway.messages_for(message, receivers) {
            for receiver in receivers {
                let datagram = Datagram::Message(Box::new(message.clone()));
                self.send(index, receiver, datagram);
            }
        }
    }

    fn send_envelopes(self: &Rc<Self>, from: usize, envelopes: impl IntoIterator<Item = Envelope>) {
        for (news, receivers) in envelopes {
            for receiver in receivers {
                self.send(from, receiver, Datagram::Zone(news.clone()));
            }
        }
    }

    fn send(self: &Rc<Self>, from: usize, receiver: SocketAddr, datagram: Datagram) {
        let Some(to) = (0..self.nodes.len()).find(|to| peer_address(*to) == receiver) else {
            return;
        };
        let delay = match from / OF_REGION == to / OF_REGION {
            true => WITHIN_REGION,
            false => {
                let bytes = serde_json::to_vec(&datagram).expect("datagram").len();
                self.remote_bytes.set(self.remote_bytes.get() + bytes);
                BETWEEN_REGIONS
            }
        };
        if self.cuts.borrow().contains(&(from, to)) {
            return;
        }
        let fleet = Rc::clone(self);
        spawn_local(async move {
            sleep(delay).await;
            fleet.receive(from, to, datagram);
        });
    }

    fn receive(self: &Rc<Self>, from: usize, to: usize, datagram: Datagram) {
        let gateway = &self.nodes[to];
        let back = peer_address(from);
        match datagram {
            Datagram::Message(message) => gateway.receive_peer_message(*message),
            Datagram::Question(question) => {
                let answer = gateway.answer_question(&question);
                self.send(to, back, Datagram::Answer(answer));
            }
            Datagram::Answer(answer) => {
                let has_more = gateway.apply_answer(answer);
                if has_more && let Some((reader, question)) = gateway.next_question() {
                    self.send(to, reader, Datagram::Question(question));
                }
            }
            Datagram::Fetch(fetch) => {
                if let Some(chunk) = gateway.answer_configuration_fetch(&fetch) {
                    self.send(to, back, Datagram::Chunk(chunk));
                }
            }
            Datagram::Chunk(chunk) => {
                if let Some((address, fetch)) = gateway.apply_configuration_chunk(chunk) {
                    self.send(to, address, Datagram::Fetch(fetch));
                }
            }
            Datagram::ListFetch(fetch) => {
                if let Some(piece) = gateway.answer_list_fetch(&fetch) {
                    self.send(to, back, Datagram::ListPiece(piece));
                }
            }
            Datagram::ListPiece(piece) => {
                let next = gateway.apply_list_piece(back, piece, &mut rand::rng());
                if let Some((address, fetch)) = next {
                    self.send(to, address, Datagram::ListFetch(fetch));
                }
            }
            Datagram::Zone(news) => self.send_envelopes(to, gateway.receive_zone_update(&news)),
            Datagram::StreamRecords(records) => gateway.apply_stream_records(&records, back),
            Datagram::StreamsTaken(taken) => gateway.apply_streams_taken(&taken, back),
            Datagram::StreamQuestion(question) => gateway.answer_stream_question(&question, back),
            Datagram::StreamAnswer(answer) => gateway.apply_stream_answer(&answer, back),
            Datagram::PermitAsk(ask) => gateway.answer_permit_ask(&ask, back),
            Datagram::PermitAnswer(answer) => gateway.apply_permit_answer(&answer),
            Datagram::PermitReport(report) => gateway.apply_permit_report(&report, back),
        }
    }

    /// From now on nothing that `from` sends arrives at `to`.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        self.cuts.borrow_mut().insert((from, to));
    }

    /// From now on these nodes and the others do not reach each other.
    pub fn cut_off(&self, nodes: impl IntoIterator<Item = usize>) {
        let apart: BTreeSet<_> = nodes.into_iter().collect();
        for one in &apart {
            for other in (0..self.nodes.len()).filter(|other| !apart.contains(other)) {
                self.cut_one_way(*one, other);
                self.cut_one_way(other, *one);
            }
        }
    }

    /// These nodes are lost: each for itself, also from the source.
    pub fn lose(&self, nodes: impl IntoIterator<Item = usize>) {
        for node in nodes {
            self.cut_off([node]);
            self.source.set_reachable(node, false);
        }
    }

    /// All links carry again.
    pub fn join_all(&self) {
        self.cuts.borrow_mut().clear();
        for node in 0..self.nodes.len() {
            self.source.set_reachable(node, true);
        }
    }

    /// Waits until `is_known` holds at these nodes, for `longest` at most; tells how long it took.
    pub async fn until(
        &self,
        nodes: impl IntoIterator<Item = usize>,
        longest: Duration,
        is_known: impl Fn(&Gateway) -> bool,
    ) -> Option<Duration> {
        let nodes: Vec<_> = nodes.into_iter().collect();
        let begin = Instant::now();
        while begin.elapsed() < longest {
            if nodes.iter().all(|node| is_known(&self.nodes[*node])) {
                return Some(begin.elapsed());
            }
            sleep(Duration::from_millis(10)).await;
        }
        None
    }

    /// All nodes serve.
    pub fn serve(&self) {
        for node in &self.nodes {
            node.state_mut().node_state = NodeState::Ready;
        }
    }

    /// How far two nodes are from each other.
    pub fn distance(&self, one: usize, other: usize) -> Distance {
        let zone = |index: usize| &self.nodes[index].settings().identity.zone;
        three_regions().distance(zone(one), zone(other))
    }
}

pub fn peer_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
}

pub fn caller_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 10_000 + index as u16))
}
