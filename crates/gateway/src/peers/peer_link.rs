//! The datagram link between nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::debug;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use super::{Datagram, ZoneNews};
use crate::gateway::Gateway;

/// News go out this often when there are any.
const TICK: Duration = Duration::from_millis(100);
/// Every so many ticks a node says that it is there.
const TICKS_PER_HEARTBEAT: u64 = 3;
/// Every so many ticks a node tells whom it knows, also where nobody answered yet.
const TICKS_PER_INTRODUCTION: u64 = 12;
/// Every so many ticks a node that relies on a reader asks it.
const TICKS_PER_QUESTION: u64 = 4;
const LONGEST_DATAGRAM: usize = 60_000;

/// Tells other nodes what this one knows and hears what they know, until dropped.
pub async fn run_peer_link(gateway: Rc<Gateway>, socket: UdpSocket) {
    let mut buffer = vec![0_u8; LONGEST_DATAGRAM];
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut tick: u64 = 0;
    // Not all nodes ask at the same moment.
    let phase = rand::random_range(0..TICKS_PER_QUESTION);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    receive(&gateway, &socket, &buffer[..length], from);
                }
            }
            _ = ticks.tick() => {
                tick += 1;
                tell(&gateway, &socket, tick);
                tell_zones(&gateway, &socket, tick);
                if tick % TICKS_PER_QUESTION == phase {
                    ask(&gateway, &socket);
                }
            }
            () = gateway.peer_news_is_urgent() => tell(&gateway, &socket, TICKS_PER_HEARTBEAT),
        }
    }
}

fn receive(gateway: &Rc<Gateway>, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    match serde_json::from_slice::<Datagram>(bytes) {
        Ok(Datagram::Message(message)) => gateway.hear_peer(*message),
        Ok(Datagram::Question(question)) => {
            let answer = gateway.answer_question(&question);
            send(socket, &Datagram::Answer(answer), &[from]);
        }
        Ok(Datagram::Answer(answer)) => gateway.take_answer(answer),
        Ok(Datagram::Zone(news)) => {
            let receivers = gateway.hear_zone(&news);
            let news = ZoneNews {
                is_passed_on: true,
                ..news
            };
            send(socket, &Datagram::Zone(news), &receivers);
        }
        Err(error) => debug!(gateway.log(), "peer_message_unreadable";
            "from" => %from, "error" => %error),
    }
}

fn tell(gateway: &Rc<Gateway>, socket: &UdpSocket, tick: u64) {
    let is_heartbeat = tick.is_multiple_of(TICKS_PER_HEARTBEAT);
    let is_introduction =
        tick.is_multiple_of(TICKS_PER_INTRODUCTION) || gateway.owes_introduction();
    if !is_heartbeat && !gateway.has_peer_news() {
        return;
    }
    let message = gateway.peer_message(is_introduction);
    let receivers = gateway.peer_receivers(is_introduction, &mut rand::rng());
    send(socket, &Datagram::Message(Box::new(message)), &receivers);
}

/// Tells the other zones what the nodes of this one know, when that falls to this node.
fn tell_zones(gateway: &Rc<Gateway>, socket: &UdpSocket, tick: u64) {
    let with_loads = tick.is_multiple_of(TICKS_PER_HEARTBEAT);
    if let Some((news, relays)) = gateway.next_zone_news(with_loads) {
        send(socket, &Datagram::Zone(news), &relays);
    }
}

/// Asks the node that reads the source for this zone, unless this node reads it itself.
fn ask(gateway: &Rc<Gateway>, socket: &UdpSocket) {
    if let Some((reader, question)) = gateway.next_question() {
        send(socket, &Datagram::Question(question), &[reader]);
    }
}

fn send(socket: &UdpSocket, datagram: &Datagram, receivers: &[SocketAddr]) {
    if receivers.is_empty() {
        return;
    }
    let Ok(bytes) = serde_json::to_vec(datagram) else {
        return;
    };
    if bytes.len() > LONGEST_DATAGRAM {
        return;
    }
    for receiver in receivers {
        // A datagram that can't be sent now is lost like any other.
        let _ = socket.try_send_to(&bytes, *receiver);
    }
}
