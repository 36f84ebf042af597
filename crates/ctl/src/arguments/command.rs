//! Commands and their options.

use gumdrop::Options;

use super::{StageArguments, WriteArguments};

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

/// Makes tenants, pools, back ends and stages match FILE. All writes take effect at one version of the
/// configuration, or none does. A state that the file leaves out stays as it is.
#[derive(Debug, Clone, Options)]
pub struct ApplyArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// The file.
    #[options(
        free,
        required,
        help = "TOML file of tenants, pools, back_ends and stages"
    )]
    pub file: String,
    /// Delete what the file lacks.
    #[options(no_short, help = "also delete what the file lacks")]
    pub prune: bool,
    /// Identifies the change.
    #[options(
        no_short,
        meta = "ID",
        help = "change id, to settle a lost answer (a fresh one)"
    )]
    pub change_id: Option<String>,
    /// Only check.
    #[options(no_short, help = "check the change without making it")]
    pub dry_run: bool,
    /// Wait.
    #[options(no_short, help = "wait until the change is in force on every node")]
    pub wait: bool,
}

impl ApplyArguments {
    /// How to write.
    pub fn write(&self) -> WriteArguments {
        WriteArguments {
            change_id: self.change_id.clone(),
            dry_run: self.dry_run,
            wait: self.wait,
        }
    }
}

/// Shows what `apply` would change; exit code 1 when there is something.
#[derive(Debug, Clone, Options)]
pub struct DiffArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// The file.
    #[options(
        free,
        required,
        help = "TOML file of tenants, pools, back_ends and stages"
    )]
    pub file: String,
    /// Delete what the file lacks.
    #[options(no_short, help = "also delete what the file lacks")]
    pub prune: bool,
}

/// Shows one resource.
#[derive(Debug, Clone, Options)]
pub struct GetArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Kind of the resource.
    #[options(free, required, help = "tenant, pool, back-end or stage")]
    pub kind: String,
    /// Name of the resource.
    #[options(free, required, help = "name of the resource")]
    pub name: String,
}

/// Lists the resources of a kind.
#[derive(Debug, Clone, Options)]
pub struct ListArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Kind of the resources.
    #[options(free, required, help = "tenants, pools, back-ends or stages")]
    pub kind: String,
}

/// Deletes a resource that nothing refers to.
#[derive(Debug, Clone, Options)]
pub struct DeleteArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Kind of the resource.
    #[options(free, required, help = "tenant, pool, back-end or stage")]
    pub kind: String,
    /// Name of the resource.
    #[options(free, required, help = "name of the resource")]
    pub name: String,
    /// Version that must be in force.
    #[options(
        no_short,
        meta = "N",
        help = "version that must be in force (the newest)"
    )]
    pub expected_version: Option<u64>,
    /// Identifies the change.
    #[options(
        no_short,
        meta = "ID",
        help = "change id, to settle a lost answer (a fresh one)"
    )]
    pub change_id: Option<String>,
    /// Only check.
    #[options(no_short, help = "check the change without making it")]
    pub dry_run: bool,
    /// Wait.
    #[options(no_short, help = "wait until the change is in force on every node")]
    pub wait: bool,
}

impl DeleteArguments {
    /// How to write.
    pub fn write(&self) -> WriteArguments {
        WriteArguments {
            change_id: self.change_id.clone(),
            dry_run: self.dry_run,
            wait: self.wait,
        }
    }
}

/// Stops new work to a back end; work under way goes on.
#[derive(Debug, Clone, Options)]
pub struct DrainArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// The back end.
    #[options(free, required, help = "name of the back end")]
    pub back_end: String,
    /// Take new work again.
    #[options(no_short, help = "let the back end take new work again")]
    pub undo: bool,
    /// Identifies the change.
    #[options(
        no_short,
        meta = "ID",
        help = "change id, to settle a lost answer (a fresh one)"
    )]
    pub change_id: Option<String>,
    /// Only check.
    #[options(no_short, help = "check the change without making it")]
    pub dry_run: bool,
    /// Wait.
    #[options(no_short, help = "wait until the change is in force on every node")]
    pub wait: bool,
}

impl DrainArguments {
    /// How to write.
    pub fn write(&self) -> WriteArguments {
        WriteArguments {
            change_id: self.change_id.clone(),
            dry_run: self.dry_run,
            wait: self.wait,
        }
    }
}

/// Shows the nodes and the configuration in force on each.
#[derive(Debug, Clone, Options)]
pub struct StatusArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Wait.
    #[options(
        no_short,
        help = "wait until the version is in force on every live node"
    )]
    pub wait: bool,
    /// Version to wait for.
    #[options(no_short, meta = "N", help = "version to wait for (the newest)")]
    pub config_version: Option<u64>,
}

/// Shows why a request went where it went, as long as the node that served it remembers it.
#[derive(Debug, Clone, Options)]
pub struct ExplainArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// The request.
    #[options(
        free,
        required,
        help = "request id, as in x-request-id and in the logs"
    )]
    pub request_id: String,
}

/// Shows live traffic of the node that answers: redrawn on a terminal, plain lines elsewhere.
#[derive(Debug, Clone, Options)]
pub struct TopArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Time between two pictures.
    #[options(
        meta = "N",
        default = "1000",
        help = "milliseconds between two pictures"
    )]
    pub interval_ms: u64,
    /// Number of pictures.
    #[options(meta = "N", default = "0", help = "stop after N pictures (0: never)")]
    pub count: u64,
}

/// Prints accepted changes as they come.
#[derive(Debug, Clone, Options)]
pub struct WatchArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// First version of interest.
    #[options(meta = "N", help = "print changes after version N (from now on)")]
    pub after: Option<u64>,
    /// Number of changes.
    #[options(meta = "N", default = "0", help = "stop after N changes (0: never)")]
    pub count: u64,
}

/// Has the node read its settings file and TLS files again; tells what is in force and what waits for a
/// restart.
#[derive(Debug, Clone, Options)]
pub struct ReloadArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
}

/// Makes a key and its SHA-256, or hashes a key read from standard input. The hash goes into
/// `api_key_hashes` of a tenant or `key_sha256` of an operator; the key itself is stored nowhere.
#[derive(Debug, Clone, Options)]
pub struct KeyArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// Hash a key.
    #[options(
        no_short,
        help = "hash the key on standard input instead of making one"
    )]
    pub hash: bool,
}

/// Prints completions for a shell.
#[derive(Debug, Clone, Options)]
pub struct CompletionsArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
    /// The shell.
    #[options(free, required, help = "bash, zsh or fish")]
    pub shell: String,
}

/// Shows how far migration stages and changes of weights have come.
#[derive(Debug, Clone, Options)]
pub struct ProgressArguments {
    /// Print help.
    #[options(help = "print help")]
    pub help: bool,
}
