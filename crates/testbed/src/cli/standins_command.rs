//! `ryebench standins`.

use std::time::Duration;

use gumdrop::Options;

use super::CommandError;
use super::stop_signal::StopSignal;
use crate::standins::kept_cache::KvStore;
use crate::standins::machines::MachineList;
use crate::standins::model_engine::{Engine, EngineSettings};
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
    /// Engines.
    #[options(
        help = "engines of the model named model, weights version 1 (default 2)",
        default = "2"
    )]
    pub engines: usize,
}

impl StandinsCommand {
    /// Runs until SIGINT or SIGTERM.
    ///
    /// # Errors
    ///
    /// A port cannot be bound.
    pub fn run(self) -> Result<(), CommandError> {
        let runtime = tokio::runtime::Runtime::new()?;
        runtime.block_on(self.serve())
    }

    async fn serve(self) -> Result<(), CommandError> {
        let mut stop_signal = StopSignal::new()?;
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
        let mut engines = Vec::new();
        for _ in 0..self.engines {
            let engine = Engine::start(EngineSettings {
                weight_store: Some(weights.address()),
                ..EngineSettings::default()
            });
            let engine = engine.await?;
            println!("model engine  {}", engine.address());
            engines.push(engine);
        }
        stop_signal.wait().await;
        Ok(())
    }
}
