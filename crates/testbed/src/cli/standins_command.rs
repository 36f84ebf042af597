//! `ryebench standins`.

use std::time::Duration;

use gumdrop::Options;

use super::CommandError;
use crate::standins::kept_cache::KvStore;
use crate::standins::machines::MachineList;
use crate::standins::objects::ObjectApi;
use crate::standins::service::PlainService;
use crate::standins::weights::{WeightLoadProfile, WeightStore};

/// Lag of the machine list.
const MACHINE_LIST_LAG: Duration = Duration::from_secs(2);
/// Speed of the weight store.
const WEIGHT_LOADS: WeightLoadProfile = WeightLoadProfile {
    duration: Duration::from_millis(600),
    at_once: 3,
};

/// Starts every stand-in and prints its address.
#[derive(Debug, Options)]
pub struct StandinsCommand {
    /// Whether help was asked for.
    #[options(help = "print this help")]
    pub help: bool,
    /// Seed of the faults.
    #[options(help = "seed of everything random (default 1)", default = "1")]
    pub seed: u64,
}

impl StandinsCommand {
    /// Runs until interrupted.
    ///
    /// # Errors
    ///
    /// A port cannot be bound.
    pub fn run(self) -> Result<(), CommandError> {
        let runtime = tokio::runtime::Runtime::new()?;
        runtime.block_on(self.serve())
    }

    async fn serve(self) -> Result<(), CommandError> {
        let objects = ObjectApi::start(self.seed).await?;
        let machines = MachineList::start(MACHINE_LIST_LAG).await?;
        let kept = KvStore::start().await?;
        let weights = WeightStore::start(WEIGHT_LOADS).await?;
        let service = PlainService::start(self.seed).await?;
        println!("object API    {}", objects.address());
        println!("machine list  {}", machines.address());
        println!("KV store      {}", kept.address());
        println!("weight store  {}", weights.address());
        println!("plain service {}", service.address());
        tokio::signal::ctrl_c().await?;
        Ok(())
    }
}
