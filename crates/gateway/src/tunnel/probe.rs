//! Probes blocked paths to engines.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::Gateway;

/// Interval between checks whether a probe is due. Each check starts one probe at most.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// In a large deployment, the nodes that may be asked for tunnels are brought up to date only at each of so many checks.
const CHECKS_PER_REFRESH_OF_MANY: u64 = 10;

/// Probes the direct paths to engines that are reached only through other nodes, until dropped.
pub async fn probe_paths(gateway: Rc<Gateway>) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    for check in 0_u64.. {
        ticks.tick().await;
        if !gateway.has_many_peers() || check.is_multiple_of(CHECKS_PER_REFRESH_OF_MANY) {
            gateway.refresh_tunnel_peers();
        }
        gateway.refresh_paths();
        let Some(engine) = gateway.upstream().dialer().take_probe() else {
            continue;
        };
        let gateway = Rc::clone(&gateway);
        spawn_local(async move {
            gateway.probe_path(&engine).await;
        });
    }
}
