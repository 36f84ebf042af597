//! Messages between hollow nodes and calls to the store, counted as on the wire.

use super::*;

impl HollowCluster {
    pub(super) fn message(&mut self, to: usize, from: SocketAddr, line: &[u8], wire_bytes: u64) {
        if self.nodes[to].state.is_none() {
            return;
        }
        let message: PeerMessage =
            serde_json::from_slice(line).expect("a line that was encoded can be decoded");
        self.meter.count(to, ByteKind::of(&message), wire_bytes);
        let process = self.nodes[to].process;
        self.give(process, ControlEvent::PeerMessageReceived { from, message });
    }

    pub(super) fn datagram(&mut self, process: Process, to: SocketAddr, message: &PeerMessage) {
        let line = serde_json::to_vec(message).expect("messages can be encoded");
        let wire_bytes = datagram_bytes(line.len());
        let kind = ByteKind::of(message);
        self.meter.count(process.node, kind, wire_bytes);
        self.meter.count_datagram();
        if self.random.random_bool(LOSS) {
            return;
        }
        self.deliver(process, to, line, wire_bytes, 1);
    }

    pub(super) fn stream(&mut self, process: Process, to: SocketAddr, message: &PeerMessage) {
        let is_up = layout::node_at(to)
            .and_then(|node| self.nodes.get(node))
            .is_some_and(|node| node.state.is_some());
        if !is_up {
            let event = ScaleEvent::StreamFailed { process, to };
            self.schedule(Duration::from_millis(50), event);
            return;
        }
        let line = serde_json::to_vec(message).expect("messages can be encoded");
        let wire_bytes = stream_bytes(line.len());
        let kind = ByteKind::of(message);
        self.meter.count(process.node, kind, wire_bytes);
        // The connection is opened first.
        self.deliver(process, to, line, wire_bytes, 3);
    }

    pub(super) fn deliver(
        &mut self,
        process: Process,
        to: SocketAddr,
        line: Vec<u8>,
        wire_bytes: u64,
        ways: u32,
    ) {
        let Some(target) = layout::node_at(to).filter(|node| *node < self.nodes.len()) else {
            return;
        };
        let delay = layout::delay(process.node, target, &mut self.random) * ways;
        let event = ScaleEvent::Message {
            to: target,
            from: layout::address_of(process.node),
            line,
            wire_bytes,
        };
        self.schedule(delay, event);
    }

    pub(super) fn store_called(&mut self, process: Process, id: StoreRequestId, call: StoreCall) {
        let (answer, seen) = self.store.call(call);
        self.meter
            .count(process.node, ByteKind::ObjectApi, answer_bytes(&answer));
        let answered = ScaleEvent::StoreAnswered {
            process,
            id,
            answer,
        };
        self.schedule(STORE_DELAY, answered);
        for (watcher, event) in seen {
            let watched = ScaleEvent::Watched {
                process: watcher,
                event,
            };
            self.schedule(STORE_DELAY, watched);
        }
    }
}

fn answer_bytes(answer: &StoreAnswer) -> u64 {
    let length = |value: &ryerouter_core::control::StoreValue| {
        serde_json::to_vec(value).map_or(0, |text| text.len()) as u64
    };
    match answer {
        StoreAnswer::Found(object) => length(&object.value),
        StoreAnswer::Listed { objects, .. } => {
            objects.iter().map(|object| length(&object.value)).sum()
        }
        _ => 0,
    }
}
