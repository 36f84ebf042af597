//! Help texts.

use gumdrop::Options;

use crate::ExitStatus;

use super::{
    ApplyArguments, CompletionsArguments, DeleteArguments, DiffArguments, DrainArguments,
    ExplainArguments, GetArguments, KeyArguments, ListArguments, ProgressArguments,
    ReloadArguments, StageNameArguments, StageSetArguments, StageStartArguments, StatusArguments,
    TopArguments, WatchArguments,
};
use super::{Command, GlobalArguments, StageArguments, StageCommand};

const EXAMPLES: &[(&str, &str)] = &[
    (
        "apply",
        "ryectl diff shop.toml; ryectl apply shop.toml --wait",
    ),
    ("diff", "ryectl diff shop.toml --prune"),
    ("get", "ryectl get pool appraiser-llm --json"),
    ("list", "ryectl list back-ends"),
    ("delete", "ryectl delete tenant closed-shop"),
    (
        "drain",
        "ryectl drain appraiser-3 --wait; ryectl drain appraiser-3 --undo",
    ),
    (
        "stage start",
        "ryectl stage start shelf-east --pool shelf --from old --to new --share 1000 --step 100 --hold-seconds 600",
    ),
    ("stage set", "ryectl stage set shelf-east --share 500"),
    ("stage pause", "ryectl stage pause shelf-east"),
    ("stage resume", "ryectl stage resume shelf-east"),
    ("stage rollback", "ryectl stage rollback shelf-east --wait"),
    ("progress", "ryectl progress --json"),
    ("status", "ryectl status --wait --config-version 12"),
    ("explain", "ryectl explain 0191c2f0"),
    ("top", "ryectl top --interval-ms 500"),
    ("watch", "ryectl watch --after 11"),
    ("reload", "ryectl --server 10.0.0.7:8081 reload"),
    ("key", "ryectl key; ryectl key --hash < key.txt"),
    (
        "completions",
        "ryectl completions bash > /etc/bash_completion.d/ryectl",
    ),
];

/// Help of `ryectl`.
pub fn global_help() -> String {
    let commands = Command::usage();
    let options = GlobalArguments::usage();
    let mut text = format!(
        "ryectl: operate ryerouter\n\nUsage: ryectl [OPTIONS] COMMAND [ARGUMENTS]\n\n\
         Commands:\n{commands}\n\n{options}\n\nExit codes:\n"
    );
    for (status, meaning) in ExitStatus::MEANINGS {
        text.push_str(&format!("  {:>2}  {meaning}\n", *status as u8));
    }
    text
}

/// Help of a command, such as `apply` or `stage start`.
pub fn command_help(command: &str) -> Option<String> {
    let usage = command_usage(command)?;
    let mut text = format!("Usage: ryectl {command} [OPTIONS]\n\n{usage}\n");
    let example = EXAMPLES.iter().find(|(name, _)| *name == command);
    if let Some((_, example)) = example {
        text.push_str(&format!("\nExample:\n  {example}\n"));
    }
    text.push_str("\nOptions of every command and exit codes: ryectl --help\n");
    Some(text)
}

/// Long options in a usage text.
pub fn option_names(usage: &str) -> Vec<String> {
    let words = usage.split_whitespace();
    let options = words.filter(|word| word.starts_with("--") && word.len() > 2);
    let mut names: Vec<String> = options.map(str::to_owned).collect();
    names.dedup();
    names
}

fn command_usage(command: &str) -> Option<String> {
    let usage = match command {
        "apply" => ApplyArguments::usage(),
        "diff" => DiffArguments::usage(),
        "get" => GetArguments::usage(),
        "list" => ListArguments::usage(),
        "delete" => DeleteArguments::usage(),
        "drain" => DrainArguments::usage(),
        "stage" => {
            let commands = StageCommand::usage();
            return Some(format!(
                "Commands:\n{commands}\n\n{}",
                StageArguments::usage()
            ));
        }
        "stage start" => StageStartArguments::usage(),
        "stage set" => StageSetArguments::usage(),
        "stage pause" | "stage resume" | "stage rollback" => StageNameArguments::usage(),
        "progress" => ProgressArguments::usage(),
        "status" => StatusArguments::usage(),
        "explain" => ExplainArguments::usage(),
        "top" => TopArguments::usage(),
        "watch" => WatchArguments::usage(),
        "reload" => ReloadArguments::usage(),
        "key" => KeyArguments::usage(),
        "completions" => CompletionsArguments::usage(),
        _ => return None,
    };
    Some(usage.to_owned())
}
