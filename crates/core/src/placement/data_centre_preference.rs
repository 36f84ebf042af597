//! Preferred data centre of a request.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::{Catalog, StageState};
use crate::identity::{DataCentreName, PoolName, TenantName};
use crate::prompt::PrefixChain;

/// Parts per thousand in a whole.
const PERMILLE: u64 = 1_000;

/// Nesting level that decides the data centre; the outermost is 0. It is fixed, so that
/// requests with the same prefix go to the same data centre however loads change. It lies inside
/// the tenant's own prefixes, so that one large tenant can be migrated in steps.
const SPLIT_LEVEL: usize = 2;

/// Which data centre a migration stage chooses for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DataCentrePreference<'a> {
    /// The data centre to serve the request in.
    pub first: &'a DataCentreName,
    /// The data centre that the request must not overflow to: the target of a stage that was rolled
    /// back.
    pub excluded: Option<&'a DataCentreName>,
}

/// The choice of the pool's migration stage for a request; `None` without a stage.
///
/// The choice compares a hash of tenant and outer prefix with the share of the target. A prefix
/// therefore keeps its data centre, and an increasing share only moves prefixes from the source to
/// the target.
pub fn preferred_data_centre<'a>(
    catalog: &'a Catalog,
    pool: &PoolName,
    tenant: &TenantName,
    prefix: &PrefixChain,
    fallback_key: &str,
) -> Option<DataCentrePreference<'a>> {
    let stage = catalog.stage_of(pool, tenant)?;
    if stage.state == StageState::RolledBack {
        return Some(DataCentrePreference {
            first: &stage.source,
            excluded: Some(&stage.target),
        });
    }
    let key = split_key(prefix).unwrap_or_else(|| xxh3_64_with_seed(fallback_key.as_bytes(), 0));
    let slot = xxh3_64_with_seed(tenant.as_str().as_bytes(), key) % PERMILLE;
    let goes_to_target = slot < u64::from(catalog.stage_share(stage));
    Some(DataCentrePreference {
        first: if goes_to_target {
            &stage.target
        } else {
            &stage.source
        },
        excluded: None,
    })
}

/// Hash of the prefix that ends with level [`SPLIT_LEVEL`], or with the last level but one when the
/// prompt has too few levels; a single level is hashed itself.
fn split_key(prefix: &PrefixChain) -> Option<u64> {
    let levels = prefix.level_ends().count();
    let level = SPLIT_LEVEL.min(levels.saturating_sub(2));
    prefix.level_ends().nth(level).map(|block| block.hash.0)
}
