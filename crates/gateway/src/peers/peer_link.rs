//! The datagram link between nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{debug, warn};
use tokio::time::{Instant, MissedTickBehavior, interval_at, sleep_until};

use super::{Datagram, PeerSocket};
use crate::gateway::{DatagramSender, Envelope, Gateway};
use crate::sync::{Fetch, ListFetch};

/// News go out this often when there are any.
const TICK: Duration = Duration::from_millis(100);
/// Urgent news wait so long for others, so that a few messages tell of many engines.
const GATHER: Duration = Duration::from_millis(15);
/// Every so many ticks a node says that it is there.
const TICKS_PER_HEARTBEAT: u64 = 3;
/// The same in a wide zone, where each message goes through its reader to all: what nodes are sent grows with the zones, and
/// what it tells is gathered over this time.
const TICKS_PER_HEARTBEAT_OF_MANY: u64 = 6;
/// Every so many ticks a node tells whom it knows, also where nobody answered yet.
const TICKS_PER_INTRODUCTION: u64 = 12;
/// Every so many ticks engines are divided anew between kinds of requests: what decides that is
/// averaged over seconds.
const TICKS_PER_DIVISION: u64 = 5;
/// Every so many ticks the delays of the KV stores are computed anew.
const TICKS_PER_SOURCE_DELAYS: u64 = 2;
/// Every so many ticks a node logs which tenants come near their limits, and counts the nodes that it hears.
const TICKS_PER_SUMMARY: u64 = 10;
/// Every so many ticks the software versions of all engines are gone through.
const TICKS_PER_VERSIONS: u64 = 20;
/// Every so many ticks a node that relies on a reader asks it.
const TICKS_PER_QUESTION: u64 = 4;
/// The same for the reader of a zone, since what it learns is then passed on once more, and for a node
/// that knows itself to be behind.
const TICKS_PER_QUESTION_OF_READER: u64 = 2;
/// Every so many ticks a node reports the permits that it holds.
const TICKS_PER_PERMIT_REPORT: u64 = 5;
const LONGEST_DATAGRAM: usize = 60_000;

/// Tells other nodes what this one knows and hears what they know, until dropped.
pub async fn run_peer_link(gateway: Rc<Gateway>, socket: impl PeerSocket + 'static) {
    let socket = Rc::new(socket);
    gateway.attach_peer_link(sender_to(&socket));
    let socket = socket.as_ref();
    let mut buffer = vec![0_u8; LONGEST_DATAGRAM];
    let mut ticks = interval_at(gateway.clock().next_look(TICK), TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut tick: u64 = 0;
    let mut urgent_at = None;
    // Not all nodes ask at the same moment.
    let phase = rand::random_range(0..TICKS_PER_QUESTION);
    loop {
        tokio::select! {
            received = socket.receive(&mut buffer) => {
                if let Ok((length, from)) = received {
                    receive(&gateway, socket, &buffer[..length], from);
                }
            }
            _ = ticks.tick() => {
                tick += 1;
                gateway.log_suspension();
                gateway.update_readiness();
                gateway.refresh_foreign_loads();
                gateway.refresh_quotas();
                gateway.refresh_pool_loads();
                gateway.refresh_limits();
                gateway.refresh_reach();
                gateway.refresh_releases();
                gateway.clear_outlived_runs();
                gateway.refresh_permits();
                if tick.is_multiple_of(TICKS_PER_PERMIT_REPORT) {
                    gateway.report_permits();
                }
                if tick.is_multiple_of(TICKS_PER_DIVISION) {
                    gateway.refresh_prefill_splits();
                    gateway.refresh_pool_capacities();
                }
                if tick.is_multiple_of(TICKS_PER_SOURCE_DELAYS) {
                    gateway.refresh_source_delays();
                }
                if tick.is_multiple_of(TICKS_PER_VERSIONS) {
                    gateway.refresh_versions();
                }
                if tick.is_multiple_of(TICKS_PER_SUMMARY) {
                    gateway.log_tenants_near_limits();
                    gateway.report_pool_loads();
                    gateway.log_failed_connects();
                    gateway.log_limited_engines();
                    gateway.update_peer_count();
                }
                tell(&gateway, socket, tick);
                tell_zones(&gateway, socket, tick);
                send_fetch(&gateway, socket, gateway.next_configuration_fetch());
                let list_fetch = gateway.next_list_fetch(&mut rand::rng());
                send_list_fetch(&gateway, socket, list_fetch);
                let spacing = match gateway.asks_often() {
                    true => TICKS_PER_QUESTION_OF_READER,
                    false => TICKS_PER_QUESTION,
                };
                if tick % spacing == phase % spacing {
                    ask(&gateway, socket);
                }
            }
            () = gateway.permits_returned() => gateway.settle_permits(),
            () = gateway.peer_send_requested(), if urgent_at.is_none() => {
                urgent_at = Some(Instant::now() + GATHER);
            }
            () = sleep_until(urgent_at.unwrap_or_else(Instant::now)), if urgent_at.is_some() => {
                urgent_at = None;
                send_envelopes(&gateway, socket, gateway.next_urgent_updates());
                tell(&gateway, socket, TICKS_PER_HEARTBEAT_OF_MANY);
            }
        }
    }
}

fn receive(gateway: &Rc<Gateway>, socket: &impl PeerSocket, bytes: &[u8], from: SocketAddr) {
    match serde_json::from_slice::<Datagram>(bytes) {
        Ok(Datagram::Message(message)) => gateway.receive_peer_message(*message),
        Ok(Datagram::Question(question)) => {
            let answer = gateway.answer_question(&question);
            send(gateway, socket, &Datagram::Answer(answer), &[from]);
        }
        Ok(Datagram::Answer(answer)) => {
            if gateway.apply_answer(answer) {
                ask(gateway, socket);
            }
        }
        Ok(Datagram::Fetch(fetch)) => {
            if let Some(chunk) = gateway.answer_configuration_fetch(&fetch) {
                send(gateway, socket, &Datagram::Chunk(chunk), &[from]);
            }
        }
        Ok(Datagram::Chunk(chunk)) => {
            send_fetch(gateway, socket, gateway.apply_configuration_chunk(chunk))
        }
        Ok(Datagram::ListFetch(fetch)) => {
            if let Some(piece) = gateway.answer_list_fetch(&fetch) {
                send(gateway, socket, &Datagram::ListPiece(piece), &[from]);
            }
        }
        Ok(Datagram::ListPiece(piece)) => {
            let next = gateway.apply_list_piece(from, piece, &mut rand::rng());
            send_list_fetch(gateway, socket, next);
        }
        Ok(Datagram::Zone(news)) => {
            send_envelopes(gateway, socket, gateway.receive_zone_update(&news));
        }
        Ok(Datagram::StreamRecords(records)) => gateway.apply_stream_records(&records, from),
        Ok(Datagram::StreamsTaken(taken)) => gateway.apply_streams_taken(&taken, from),
        Ok(Datagram::StreamQuestion(question)) => gateway.answer_stream_question(&question, from),
        Ok(Datagram::StreamAnswer(answer)) => gateway.apply_stream_answer(&answer, from),
        Ok(Datagram::PermitAsk(ask)) => gateway.answer_permit_ask(&ask, from),
        Ok(Datagram::PermitAnswer(answer)) => gateway.apply_permit_answer(&answer),
        Ok(Datagram::PermitReport(report)) => gateway.apply_permit_report(&report, from),
        Err(error) => debug!(gateway.log(), "peer_message_unreadable";
            "from" => %from, "error" => %error),
    }
}

/// Sends datagrams as long as the link runs.
fn sender_to(socket: &Rc<impl PeerSocket + 'static>) -> DatagramSender {
    let socket = Rc::downgrade(socket);
    Box::new(move |gateway, datagram, receivers| {
        if let Some(socket) = socket.upgrade() {
            send(gateway, socket.as_ref(), datagram, receivers);
        }
    })
}

fn tell(gateway: &Rc<Gateway>, socket: &impl PeerSocket, tick: u64) {
    let is_heartbeat = tick.is_multiple_of(ticks_per_heartbeat(gateway));
    let is_full_update = tick.is_multiple_of(TICKS_PER_INTRODUCTION) || gateway.owes_full_update();
    if !is_heartbeat && !is_full_update && !gateway.has_peer_updates() {
        return;
    }
    let message = gateway.peer_message(is_full_update);
    let receivers = gateway.peer_receivers(is_full_update, &mut rand::rng());
    for (message, receivers) in gateway.messages_for(message, receivers) {
        send(
            gateway,
            socket,
            &Datagram::Message(Box::new(message)),
            &receivers,
        );
    }
}

fn ticks_per_heartbeat(gateway: &Gateway) -> u64 {
    match gateway.state().peers.is_wide() {
        true => TICKS_PER_HEARTBEAT_OF_MANY,
        false => TICKS_PER_HEARTBEAT,
    }
}

/// Tells the other zones what the nodes of this one know, when that falls to this node.
fn tell_zones(gateway: &Rc<Gateway>, socket: &impl PeerSocket, tick: u64) {
    let with_loads = tick.is_multiple_of(ticks_per_heartbeat(gateway));
    if with_loads {
        send_envelopes(gateway, socket, gateway.next_own_zone_updates());
    }
    send_envelopes(gateway, socket, gateway.next_zone_update(with_loads));
}

fn send_envelopes(
    gateway: &Gateway,
    socket: &impl PeerSocket,
    envelopes: impl IntoIterator<Item = Envelope>,
) {
    for (news, receivers) in envelopes {
        send(gateway, socket, &Datagram::Zone(news), &receivers);
    }
}

/// Asks the node that reads the source for this zone, unless this node reads it itself.
fn ask(gateway: &Rc<Gateway>, socket: &impl PeerSocket) {
    if let Some((reader, question)) = gateway.next_question() {
        send(gateway, socket, &Datagram::Question(question), &[reader]);
    }
}

fn send_fetch(gateway: &Gateway, socket: &impl PeerSocket, fetch: Option<(SocketAddr, Fetch)>) {
    if let Some((address, fetch)) = fetch {
        send(gateway, socket, &Datagram::Fetch(fetch), &[address]);
    }
}

fn send_list_fetch(
    gateway: &Gateway,
    socket: &impl PeerSocket,
    fetch: Option<(SocketAddr, ListFetch)>,
) {
    if let Some((address, fetch)) = fetch {
        send(gateway, socket, &Datagram::ListFetch(fetch), &[address]);
    }
}

fn send(
    gateway: &Gateway,
    socket: &impl PeerSocket,
    datagram: &Datagram,
    receivers: &[SocketAddr],
) {
    if receivers.is_empty() {
        return;
    }
    let bytes = match serde_json::to_vec(datagram) {
        Ok(bytes) if bytes.len() <= LONGEST_DATAGRAM => bytes,
        Ok(bytes) => return note_unsent(gateway, &format!("{} bytes", bytes.len())),
        Err(error) => return note_unsent(gateway, &error.to_string()),
    };
    for receiver in receivers {
        // A datagram that can't be sent now is lost like any other.
        let _ = socket.try_send(&bytes, *receiver);
    }
}

/// What the datagram held reaches nobody, which no later message makes up for.
fn note_unsent(gateway: &Gateway, why: &str) {
    let now = gateway.clock().now();
    if let Some(left_out) = gateway.sampler().admit(now) {
        warn!(gateway.log(), "peer_message_unsent"; "why" => why, "left_out" => left_out);
    }
}
