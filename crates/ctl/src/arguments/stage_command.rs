//! What to do with a stage.

use gumdrop::Options;

use super::{StageNameArguments, StageSetArguments, StageStartArguments};

/// What to do with a stage.
#[derive(Debug, Clone, Options)]
pub enum StageCommand {
    /// Create it.
    #[options(help = "create a stage and move traffic")]
    Start(StageStartArguments),
    /// Change its share or pace.
    #[options(help = "change the share, pace or bounds of a stage")]
    Set(StageSetArguments),
    /// Hold its share.
    #[options(help = "hold the share where it is")]
    Pause(StageNameArguments),
    /// Go on.
    #[options(help = "go on after a pause or a rollback")]
    Resume(StageNameArguments),
    /// Take it back.
    #[options(help = "send all traffic to the source data centre")]
    Rollback(StageNameArguments),
}
