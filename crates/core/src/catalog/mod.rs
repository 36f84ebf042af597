//! The configuration that operators create: tenants, pools, back ends and migration stages.

mod api_key_hash;
mod back_end;
mod back_end_state;
mod catalog_document;
mod migration_stage;
mod pool;
mod pool_kind;
mod rollback_rule;
mod stage_progress;
mod stage_state;
mod tenant;
mod tenant_limits;
mod weights_rollout;

pub use api_key_hash::ApiKeyHash;
pub use back_end::BackEnd;
pub use back_end_state::BackEndState;
pub use catalog_document::Catalog;
pub use migration_stage::MigrationStage;
pub use pool::Pool;
pub use pool_kind::{DEFAULT_WEIGHT_LOADS_AT_ONCE, PoolKind};
pub use rollback_rule::RollbackRule;
pub use stage_progress::StageProgress;
pub use stage_state::StageState;
pub use tenant::Tenant;
pub use tenant_limits::TenantLimits;
pub use weights_rollout::WeightsRollout;
