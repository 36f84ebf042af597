//! Migration stages.

use ryerouter_core::catalog::{MigrationStage, RollbackRule, StageState};
use ryerouter_core::identity::{DataCentreName, PoolName, ResourceVersion, StageName, TenantName};

use crate::generated::v1;

use super::{FaultList, InvalidMessage};

impl From<&MigrationStage> for v1::Stage {
    fn from(stage: &MigrationStage) -> Self {
        let tenant = stage.tenant.as_ref();
        Self {
            name: stage.name.to_string(),
            pool: stage.pool.to_string(),
            tenant: tenant.map(ToString::to_string).unwrap_or_default(),
            source: stage.source.to_string(),
            target: stage.target.to_string(),
            target_share_permille: stage.target_share_permille.into(),
            step_permille: stage.step_permille.into(),
            hold_seconds: stage.hold_seconds,
            rollback_rule: Some(stage.rollback_rule.into()),
            state: v1::StageState::from(stage.state).into(),
            version: stage.version.0,
        }
    }
}

impl From<RollbackRule> for v1::RollbackRule {
    fn from(rule: RollbackRule) -> Self {
        Self {
            max_first_token_p99_ms: rule.max_first_token_p99_ms,
            max_error_permille: rule.max_error_permille.map(u32::from),
            min_hit_rate_permille: rule.min_hit_rate_permille.map(u32::from),
        }
    }
}

impl From<StageState> for v1::StageState {
    fn from(state: StageState) -> Self {
        match state {
            StageState::Running => Self::Running,
            StageState::Paused => Self::Paused,
            StageState::RolledBack => Self::RolledBack,
        }
    }
}

impl TryFrom<v1::Stage> for MigrationStage {
    type Error = InvalidMessage;

    fn try_from(message: v1::Stage) -> Result<Self, InvalidMessage> {
        let mut faults = FaultList::default();
        check_names(&message, &mut faults);
        let share_field = "stage.target_share_permille";
        let target_share_permille =
            faults.parse_permille(share_field, message.target_share_permille);
        let step_permille = faults.parse_permille("stage.step_permille", message.step_permille);
        let rollback_rule = parse_rule(message.rollback_rule.unwrap_or_default(), &mut faults);
        let state = parse_state(message.state, &mut faults);
        faults.finish(Self {
            name: StageName::new(message.name),
            pool: PoolName::new(message.pool),
            tenant: (!message.tenant.is_empty()).then(|| TenantName::new(message.tenant)),
            source: DataCentreName::new(message.source),
            target: DataCentreName::new(message.target),
            target_share_permille,
            step_permille,
            hold_seconds: message.hold_seconds,
            rollback_rule,
            state,
            version: ResourceVersion(message.version),
        })
    }
}

fn check_names(message: &v1::Stage, faults: &mut FaultList) {
    faults.check_name("stage.name", &message.name);
    faults.check_name("stage.pool", &message.pool);
    if !message.tenant.is_empty() {
        faults.check_name("stage.tenant", &message.tenant);
    }
    faults.check_name("stage.source", &message.source);
    faults.check_name("stage.target", &message.target);
    if message.source == message.target {
        let reason = "must differ from stage.source";
        faults.add("stage.target", &message.target, reason);
    }
}

fn parse_rule(message: v1::RollbackRule, faults: &mut FaultList) -> RollbackRule {
    let mut permille = |field: &str, value: Option<u32>| {
        value.map(|value| faults.parse_permille(&format!("stage.rollback_rule.{field}"), value))
    };
    RollbackRule {
        max_first_token_p99_ms: message.max_first_token_p99_ms,
        max_error_permille: permille("max_error_permille", message.max_error_permille),
        min_hit_rate_permille: permille("min_hit_rate_permille", message.min_hit_rate_permille),
    }
}

fn parse_state(number: i32, faults: &mut FaultList) -> StageState {
    match v1::StageState::try_from(number) {
        Ok(v1::StageState::Unspecified | v1::StageState::Running) => StageState::Running,
        Ok(v1::StageState::Paused) => StageState::Paused,
        Ok(v1::StageState::RolledBack) => StageState::RolledBack,
        Err(_) => {
            let reason = "expected running, paused or rolled back";
            faults.add("stage.state", number, reason);
            StageState::Running
        }
    }
}
