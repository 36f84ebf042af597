//! Carries out faults.

use std::collections::BTreeMap;
use std::time::Duration;

use ryerouter_core::identity::ConfigVersion;
use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::mutation::Change;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

use super::{ChaosLog, ChaosStep, Outage, OutageKind, TimedStep};
use crate::cluster::{Cluster, ClusterError, Router};
use crate::standins::service::PlainServiceFaults;

/// How long after an accepted drain an engine may still get new work.
const DRAIN_GRACE: Duration = Duration::from_secs(3);
/// Longest time a node may take from its start to when it serves.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Pause between two looks at whether a node serves.
const READY_POLL: Duration = Duration::from_millis(5);

/// A node on its way back.
type Return = JoinHandle<Result<(Router, Outage), ClusterError>>;

/// Carries out faults.
pub struct ChaosRun<'a> {
    cluster: &'a mut Cluster,
    log: ChaosLog,
    returns: BTreeMap<usize, Return>,
    /// Attempts each drained engine had taken when no more were allowed.
    drained: BTreeMap<usize, JoinHandle<u64>>,
    last_change: Option<ConfigVersion>,
}

impl<'a> ChaosRun<'a> {
    /// Faults of a deployment.
    pub fn new(cluster: &'a mut Cluster) -> Self {
        Self {
            cluster,
            log: ChaosLog::default(),
            returns: BTreeMap::new(),
            drained: BTreeMap::new(),
            last_change: None,
        }
    }

    /// Carries out a script whose times count from `started`, and gives the nodes back.
    ///
    /// # Errors
    ///
    /// A stand-in or node could not come back.
    pub async fn run(
        mut self,
        script: Vec<TimedStep>,
        started: Instant,
    ) -> Result<ChaosLog, ClusterError> {
        for TimedStep { at, step } in script {
            sleep_until(started + at).await;
            self.perform(step).await?;
        }
        for router in self.returns.keys().copied().collect::<Vec<_>>() {
            self.take_back(router).await?;
        }
        self.check_drained().await;
        self.check_versions().await;
        Ok(self.log)
    }

    async fn perform(&mut self, step: ChaosStep) -> Result<(), ClusterError> {
        let stand_ins = &mut self.cluster.stand_ins;
        match step {
            ChaosStep::Router { router, kind, down } => self.replace(router, kind, down).await?,
            ChaosStep::CrashEngine(engine) => {
                stand_ins.engines[engine].back_end.crash().await;
                self.log.engine_crashes += 1;
            }
            ChaosStep::RestartEngine(engine) => {
                stand_ins.engines[engine].back_end.restart().await?;
            }
            ChaosStep::Engines(faults) => {
                for engine in &stand_ins.engines {
                    engine.back_end.set_faults(faults.clone());
                }
            }
            ChaosStep::LostServiceAnswers(permille) => {
                for service in &stand_ins.services {
                    service.back_end.set_faults(PlainServiceFaults {
                        lost_answers_permille: permille,
                        ..service.back_end.faults()
                    });
                }
            }
            ChaosStep::Objects(faults) => stand_ins.objects.set_faults(faults),
            ChaosStep::HintsDown(down) => {
                stand_ins.kept.set_down(down);
                stand_ins.machines.set_down(down);
            }
            ChaosStep::Drain(engine) => self.drain(engine).await?,
        }
        Ok(())
    }

    async fn replace(
        &mut self,
        number: usize,
        kind: OutageKind,
        down: Duration,
    ) -> Result<(), ClusterError> {
        self.take_back(number).await?;
        let Some(router) = self.cluster.routers[number].take() else {
            return Ok(());
        };
        let task = tokio::spawn(go_and_return(number, router, kind, down));
        self.returns.insert(number, task);
        Ok(())
    }

    async fn take_back(&mut self, number: usize) -> Result<(), ClusterError> {
        let Some(task) = self.returns.remove(&number) else {
            return Ok(());
        };
        let (router, outage) = task.await.expect("an outage does not panic")?;
        self.cluster.routers[number] = Some(router);
        if outage.start_time >= START_LIMIT {
            let time = outage.start_time;
            let broken = format!("node {number} did not serve {time:?} after its start");
            self.log.broken.push(broken);
        }
        self.log.outages.push(outage);
        Ok(())
    }

    async fn drain(&mut self, engine: usize) -> Result<(), ClusterError> {
        let placed = &self.cluster.stand_ins.engines[engine];
        let mut back_end = self.cluster.back_end_resource(placed);
        back_end.state = v1::BackEndState::Draining.into();
        let mutation = v1::Mutation {
            expected_version: None,
            change: Some(Change::BackEnd(back_end)),
        };
        let request = v1::ApplyRequest {
            mutations: vec![mutation],
            change_id: format!("drain-{}", placed.name),
            dry_run: false,
            author: "ryebench".to_owned(),
        };
        let version = self.cluster.apply(request).await?;
        self.last_change = Some(version);
        let taken = placed.back_end.taken_counter();
        let count_after_grace = tokio::spawn(async move {
            sleep(DRAIN_GRACE).await;
            taken.get()
        });
        self.drained.insert(engine, count_after_grace);
        Ok(())
    }

    /// A drained engine must have taken nothing between the end of its grace and now.
    async fn check_drained(&mut self) {
        for (engine, count_after_grace) in std::mem::take(&mut self.drained) {
            let allowed = count_after_grace.await.expect("counting does not panic");
            let engine = &self.cluster.stand_ins.engines[engine];
            let extra = engine.back_end.taken_counter().get() - allowed;
            if extra > 0 {
                let name = &engine.name;
                let broken = format!("drained {name} took {extra} attempts after {DRAIN_GRACE:?}");
                self.log.broken.push(broken);
            }
        }
    }

    /// The last accepted change must be in force on every node in the end, on those too that
    /// started again.
    async fn check_versions(&mut self) {
        let Some(version) = self.last_change else {
            return;
        };
        if let Err(error) = self.cluster.wait_in_force(version).await {
            let broken = format!("accepted change {version}: {error}");
            self.log.broken.push(broken);
        }
    }
}

async fn go_and_return(
    number: usize,
    router: Router,
    kind: OutageKind,
    down: Duration,
) -> Result<(Router, Outage), ClusterError> {
    let from = Instant::now();
    let options = match kind {
        OutageKind::Kill => router.kill().await,
        OutageKind::Stop => router.stop().await,
    };
    sleep(down).await;
    let start = Instant::now();
    let router = Router::restart(options).await?;
    while !router.node().traffic().is_ready() && start.elapsed() < START_LIMIT {
        sleep(READY_POLL).await;
    }
    let outage = Outage {
        router: number,
        kind,
        from,
        until: Instant::now(),
        start_time: start.elapsed(),
    };
    Ok((router, outage))
}
