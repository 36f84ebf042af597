//! Changes of weights on their way.

use ryerouter_core::catalog::WeightsRollout;
use ryerouter_core::identity::{PoolName, ResourceVersion, WeightsVersion};

use crate::generated::v1;

use super::{FaultList, InvalidMessage};

impl From<&WeightsRollout> for v1::WeightsRollout {
    fn from(rollout: &WeightsRollout) -> Self {
        Self {
            pool: rollout.pool.to_string(),
            from_weights_version: rollout.from.0,
            share_permille: rollout.share_permille.into(),
            version: rollout.version.0,
        }
    }
}

impl TryFrom<v1::WeightsRollout> for WeightsRollout {
    type Error = InvalidMessage;

    fn try_from(message: v1::WeightsRollout) -> Result<Self, InvalidMessage> {
        let mut faults = FaultList::default();
        let field = "rollout.share_permille";
        let share_permille = faults.parse_permille(field, message.share_permille);
        faults.finish(Self {
            pool: PoolName::new(message.pool),
            from: WeightsVersion(message.from_weights_version),
            share_permille,
            version: ResourceVersion(message.version),
        })
    }
}
