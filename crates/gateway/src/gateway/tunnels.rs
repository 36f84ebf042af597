//! Tunnels through other nodes, and for them; see docs/design/tunnels.md.

use std::rc::Rc;

use ryerouter_core::identity::BackEndName;
use ryerouter_core::path::{PathChange, PeerDistance, TunnelPeer};
use slog::{info, warn};

use super::Gateway;
use crate::peers::Peer;
use crate::topology::Distance;
use crate::tunnel::TunnelService;

/// A tunnel that this node passes on, counted until dropped.
pub(crate) struct OpenTunnel(Rc<Gateway>);

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.0.state_mut().open_tunnels -= 1;
    }
}

impl Gateway {
    /// Counts a tunnel that this node passes on.
    pub(crate) fn count_tunnel(self: &Rc<Self>) -> OpenTunnel {
        self.state_mut().open_tunnels += 1;
        OpenTunnel(Rc::clone(self))
    }

    /// Whether requests are in progress, answers are not written entirely, or tunnels of other nodes are open.
    pub(crate) fn has_active_work(&self) -> bool {
        let state = self.state();
        state.active_requests > 0 || state.unwritten_answers > 0 || state.open_tunnels > 0
    }

    /// What this node tells others about tunnels.
    pub(super) fn tunnel_service(&self) -> TunnelService {
        match self.upstream().dialer().is_cut_off() {
            true => TunnelService::CutOff,
            false => TunnelService::Open,
        }
    }

    /// Whether there are so many nodes that it costs something to go through all of them.
    pub(crate) fn has_many_peers(&self) -> bool {
        self.state().peers.is_large()
    }

    /// Brings up to date which nodes may be asked for tunnels.
    pub(crate) fn refresh_tunnel_peers(&self) {
        let state = self.state();
        let ready = state.peers.ready(self.clock().now());
        let peers = ready.filter_map(|peer| self.tunnel_peer(peer));
        self.upstream().set_tunnel_peers(peers.collect());
    }

    /// Forgets paths to engines that are gone, and logs changes of paths.
    pub(crate) fn refresh_paths(&self) {
        let state = self.state();
        let dialer = self.upstream().dialer();
        dialer.retain_engines(|engine| state.engines.get(engine).is_some());
        let blocked = &self.metrics().blocked_paths;
        blocked.set(dialer.blocked_count() as i64);
        drop(state);
        for change in dialer.take_changes() {
            self.log_path_change(&change);
        }
        self.note_cut_off();
    }

    /// Probes an engine that this node does not reach directly. One that was out of reach of all may be sent a request at
    /// once if it is reached.
    pub(crate) async fn probe_path(&self, engine: &BackEndName) {
        let address = {
            let state = self.state();
            state.engines.get(engine).map(|known| known.entry.address)
        };
        let Some(address) = address else {
            return;
        };
        if self.upstream().probe(engine, address).await
            && let Some(known) = self.state_mut().engines.get_mut(engine)
        {
            known.health.trusted(self.clock().now());
        }
    }

    fn tunnel_peer(&self, peer: &Peer) -> Option<TunnelPeer> {
        let service = peer.tunnels?;
        let identity = &peer.identity;
        let topology = &self.settings().topology;
        let distance = topology.distance(&self.settings().identity.zone, &identity.zone);
        Some(TunnelPeer {
            name: identity.name.clone(),
            id: identity.incarnation,
            address: identity.peer_address,
            zone: identity.zone.clone(),
            distance: match distance {
                Distance::Near => PeerDistance::Zone,
                Distance::SameRegion => PeerDistance::Region,
                Distance::Remote => PeerDistance::Remote,
            },
            is_cut_off: service == TunnelService::CutOff,
            weight: identity.capacity.weight(),
        })
    }

    /// Logs when this node loses its links to most engines or has them again, and tells the others at once.
    fn note_cut_off(&self) {
        let is_cut_off = self.upstream().dialer().is_cut_off();
        let was_cut_off = std::mem::replace(&mut self.state_mut().is_cut_off, is_cut_off);
        if is_cut_off != was_cut_off {
            let state = self.state();
            warn!(self.log(), "engine_links"; "are_cut" => is_cut_off,
                "blocked" => self.upstream().dialer().blocked_count(),
                "engines" => state.engines.count(),
                "ready_nodes" => state.peers.ready(self.clock().now()).count());
            self.request_peer_send();
        }
    }

    fn log_path_change(&self, change: &PathChange) {
        let Some(left_out) = self.path_sampler().admit(self.clock().now()) else {
            return;
        };
        match change {
            PathChange::Blocked { engine, blocked } => {
                warn!(self.log(), "path_blocked"; "engine" => %engine, "blocked" => blocked,
                    "left_out" => left_out);
            }
            PathChange::Restored {
                engine,
                after,
                blocked,
            } => {
                info!(self.log(), "path_restored"; "engine" => %engine, "blocked" => blocked,
                    "after_ms" => after.as_millis() as u64, "left_out" => left_out);
            }
        }
    }
}
