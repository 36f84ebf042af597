//! Migration stages in a resource file.

use ryerouter_core::catalog::{Catalog, StageState};
use ryerouter_core::identity::StageName;
use ryerouter_wire::generated::v1;
use serde::Deserialize;

/// A migration stage in a resource file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StageEntry {
    /// Its name.
    pub name: String,
    pool: String,
    #[serde(default)]
    tenant: String,
    source: String,
    target: String,
    target_share_permille: u32,
    #[serde(default)]
    step_permille: u32,
    #[serde(default)]
    hold_seconds: u32,
    #[serde(default)]
    rollback_rule: RollbackRuleEntry,
    state: Option<StageState>,
}

/// When a stage is taken back by itself.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RollbackRuleEntry {
    max_first_token_p99_ms: Option<u32>,
    max_error_permille: Option<u32>,
    min_hit_rate_permille: Option<u32>,
}

impl StageEntry {
    /// The stage; without a state in the entry it keeps the state it has.
    pub fn message(&self, catalog: &Catalog) -> v1::Stage {
        let current = catalog.stages.get(&StageName::new(&self.name));
        let state = self
            .state
            .or(current.map(|stage| stage.state))
            .unwrap_or_default();
        v1::Stage {
            name: self.name.clone(),
            pool: self.pool.clone(),
            tenant: self.tenant.clone(),
            source: self.source.clone(),
            target: self.target.clone(),
            target_share_permille: self.target_share_permille,
            step_permille: self.step_permille,
            hold_seconds: self.hold_seconds,
            rollback_rule: Some(v1::RollbackRule {
                max_first_token_p99_ms: self.rollback_rule.max_first_token_p99_ms,
                max_error_permille: self.rollback_rule.max_error_permille,
                min_hit_rate_permille: self.rollback_rule.min_hit_rate_permille,
            }),
            state: v1::StageState::from(state).into(),
            version: 0,
        }
    }
}
