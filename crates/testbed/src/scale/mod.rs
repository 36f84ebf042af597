//! The control plane at full size: one real control state for every node, in one process, on a
//! virtual clock, with every message encoded and decoded as on the wire.
//!
//! What it leaves out: system calls of sockets, TLS, and everything that is not control state.

mod byte_kind;
mod byte_meter;
mod counted_bytes;
mod event;
mod hollow_cluster;
mod hollow_node;
mod layout;
mod load;
mod object_store;
mod options;
mod process;
mod report;
mod resource_use;
mod scale_error;
mod spread_watch;
mod traffic;

pub use options::ScaleOptions;
pub use report::ScaleReport;
pub use scale_error::ScaleError;

use desque::serial::Simulation;

use event::ScaleEvent;
use hollow_cluster::HollowCluster;
use resource_use::ResourceUse;

/// Runs the control plane at the size that `options` give.
///
/// # Errors
///
/// An option can't be used, or the operating system does not tell memory or processor time.
pub fn run(options: ScaleOptions) -> Result<ScaleReport, ScaleError> {
    options.check()?;
    let before = ResourceUse::now()?;
    let mut simulation = Simulation::new(HollowCluster::new(&options), 0);
    simulation
        .schedule(ScaleEvent::Begin, 0)
        .map_err(|_| ScaleError::Simulation)?;
    simulation.run().map_err(|_| ScaleError::Simulation)?;
    let cluster = simulation.state();
    let warm = cluster
        .resources_after_warm_up()
        .ok_or(ScaleError::Simulation)?;
    let after = ResourceUse::now()?;
    Ok(cluster.report(before, warm, after))
}
