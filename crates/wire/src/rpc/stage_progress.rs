//! How far migration stages have come.

use ryerouter_core::catalog::StageProgress;
use ryerouter_core::identity::{ResourceVersion, StageName};

use crate::generated::v1;

use super::{FaultList, InvalidMessage};

impl From<&StageProgress> for v1::StageProgress {
    fn from(progress: &StageProgress) -> Self {
        Self {
            stage: progress.stage.to_string(),
            share_permille: progress.share_permille.into(),
            finished: progress.finished,
            note: progress.note.clone(),
            version: progress.version.0,
        }
    }
}

impl TryFrom<v1::StageProgress> for StageProgress {
    type Error = InvalidMessage;

    fn try_from(message: v1::StageProgress) -> Result<Self, InvalidMessage> {
        let mut faults = FaultList::default();
        let field = "stage_progress.share_permille";
        let share_permille = faults.parse_permille(field, message.share_permille);
        faults.finish(Self {
            stage: StageName::new(message.stage),
            share_permille,
            finished: message.finished,
            note: message.note,
            version: ResourceVersion(message.version),
        })
    }
}
