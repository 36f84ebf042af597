//! Commands and their options.

use gumdrop::Options;

use super::{
    ApplyArguments, CompletionsArguments, DeleteArguments, DiffArguments, DrainArguments,
    ExplainArguments, GetArguments, KeyArguments, ListArguments, ProgressArguments,
    ReloadArguments, StageArguments, StatusArguments, TopArguments, WatchArguments,
};

/// What to do.
#[derive(Debug, Clone, Options)]
pub enum Command {
    /// Make the configuration match a file.
    #[options(help = "make tenants, pools, back ends and stages match a TOML file")]
    Apply(ApplyArguments),
    /// Compare with a file.
    #[options(help = "show what apply would change")]
    Diff(DiffArguments),
    /// Read one resource.
    #[options(help = "show one resource")]
    Get(GetArguments),
    /// Read all resources.
    #[options(help = "list the resources of a kind")]
    List(ListArguments),
    /// Delete a resource.
    #[options(help = "delete a resource")]
    Delete(DeleteArguments),
    /// Drain a back end.
    #[options(help = "stop new work to a back end; work under way goes on")]
    Drain(DrainArguments),
    /// Move traffic between data centres.
    #[options(help = "start, set, pause, resume or roll back a migration stage")]
    Stage(StageArguments),
    /// Show what is on its way.
    #[options(help = "show how far migration stages and changes of weights have come")]
    Progress(ProgressArguments),
    /// Show nodes.
    #[options(help = "show the nodes and the configuration in force on each")]
    Status(StatusArguments),
    /// Explain a request.
    #[options(help = "show why a recent request went where it went")]
    Explain(ExplainArguments),
    /// Show traffic.
    #[options(help = "show live traffic of pools, back ends, nodes and stages")]
    Top(TopArguments),
    /// Follow changes.
    #[options(help = "print accepted changes as they come")]
    Watch(WatchArguments),
    /// Reload settings.
    #[options(help = "have the node read its settings file and TLS files again")]
    Reload(ReloadArguments),
    /// Make an API key.
    #[options(help = "make a key of a tenant or operator, or hash one read from standard input")]
    Key(KeyArguments),
    /// Print completions.
    #[options(help = "print completions for bash, zsh or fish")]
    Completions(CompletionsArguments),
}
