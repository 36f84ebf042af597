//! `ryectl completions`.

use gumdrop::Options;

use crate::ExitStatus;
use crate::arguments::{
    Command, CompletionsArguments, GlobalArguments, StageCommand, command_help, option_names,
};
use crate::ctl_error::CtlError;

use super::Context;

/// The command that has commands of its own.
const STAGE: &str = "stage";

/// A word to complete and what it means.
struct Word {
    name: String,
    meaning: String,
}

/// Prints completions for a shell.
pub fn completions(
    arguments: &CompletionsArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let script = match arguments.shell.as_str() {
        "bash" => bash(),
        "zsh" => zsh(),
        "fish" => fish(),
        other => {
            let message = format!("unknown shell {other:?}; expected bash, zsh or fish");
            return Err(CtlError::usage(message));
        }
    };
    context.printer.line(script.trim_end())?;
    Ok(ExitStatus::Success)
}

fn commands() -> Vec<Word> {
    words(Command::usage())
}

fn stage_commands() -> Vec<Word> {
    words(StageCommand::usage())
}

/// Reads a list of commands, one a line: name, space, meaning.
fn words(usage: &str) -> Vec<Word> {
    let lines = usage.lines().filter_map(|line| {
        let (name, meaning) = line.trim().split_once(' ')?;
        Some(Word {
            name: name.to_owned(),
            meaning: meaning.trim().to_owned(),
        })
    });
    lines.collect()
}

fn options_of(command: &str) -> Vec<String> {
    let mut names = option_names(&command_help(command).unwrap_or_default());
    if command == STAGE {
        for inner in stage_commands() {
            let help = command_help(&format!("{STAGE} {}", inner.name));
            names.extend(option_names(&help.unwrap_or_default()));
        }
    }
    names.extend(option_names(GlobalArguments::usage()));
    names.sort();
    names.dedup();
    names
}

fn names(words: &[Word]) -> String {
    let names: Vec<&str> = words.iter().map(|word| word.name.as_str()).collect();
    names.join(" ")
}

fn bash() -> String {
    let mut cases = String::new();
    for command in commands() {
        let options = options_of(&command.name).join(" ");
        cases.push_str(&format!(
            "        {}) words=\"{options}\" ;;\n",
            command.name
        ));
    }
    format!(
        "_ryectl() {{\n    local words command=\"\" word\n    for word in \"${{COMP_WORDS[@]:1:COMP_CWORD-1}}\"; do\n        \
         case \"$word\" in -*) ;; *) command=\"$word\"; break ;; esac\n    done\n    case \"$command\" in\n{cases}        \
         *) words=\"{} {}\" ;;\n    esac\n    if [[ \"$command\" == stage ]]; then words=\"$words {}\"; fi\n    \
         COMPREPLY=($(compgen -W \"$words\" -f -- \"${{COMP_WORDS[COMP_CWORD]}}\"))\n}}\ncomplete -F _ryectl ryectl\n",
        names(&commands()),
        option_names(GlobalArguments::usage()).join(" "),
        names(&stage_commands()),
    )
}

fn zsh() -> String {
    let mut lines = String::new();
    for command in commands() {
        lines.push_str(&format!(
            "    '{}:{}'\n",
            command.name,
            quote(&command.meaning)
        ));
    }
    let mut cases = String::new();
    for command in commands() {
        let options = options_of(&command.name).join(" ");
        cases.push_str(&format!("    {}) compadd -- {options} ;;\n", command.name));
    }
    format!(
        "#compdef ryectl\n_ryectl() {{\n  local -a commands\n  commands=(\n{lines}  )\n  \
         if (( CURRENT == 2 )); then _describe command commands; return; fi\n  \
         if [[ $words[2] == stage ]] && (( CURRENT == 3 )); then compadd {}; return; fi\n  \
         case $words[2] in\n{cases}  esac\n  _files\n}}\ncompdef _ryectl ryectl\n",
        names(&stage_commands()),
    )
}

fn fish() -> String {
    let mut script = String::new();
    for command in commands() {
        script.push_str(&format!(
            "complete -c ryectl -n __fish_use_subcommand -a {} -d '{}'\n",
            command.name,
            quote(&command.meaning)
        ));
        for option in options_of(&command.name) {
            script.push_str(&format!(
                "complete -c ryectl -n '__fish_seen_subcommand_from {}' -l {}\n",
                command.name,
                option.trim_start_matches("--")
            ));
        }
    }
    for command in stage_commands() {
        script.push_str(&format!(
            "complete -c ryectl -n '__fish_seen_subcommand_from stage' -a {} -d '{}'\n",
            command.name,
            quote(&command.meaning)
        ));
    }
    script
}

fn quote(text: &str) -> String {
    text.replace('\'', "")
}
