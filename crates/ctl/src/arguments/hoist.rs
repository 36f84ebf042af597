//! Global options after the command.

const FLAGS: [&str; 2] = ["--json", "-j"];
const WITH_VALUE: [&str; 9] = [
    "--server",
    "-s",
    "--timeout-seconds",
    "--author",
    "--key-file",
    "--authority-file",
    "--certificate-file",
    "--private-key-file",
    "--server-name",
];

/// Moves global options to the front, so that they may stand after the command too.
pub fn hoist_global_options(arguments: &[String]) -> Vec<String> {
    let mut global = Vec::new();
    let mut others = Vec::new();
    let mut rest = arguments.iter();
    while let Some(argument) = rest.next() {
        if argument == "--" {
            others.push(argument.clone());
            others.extend(rest.cloned());
            break;
        }
        let name = argument.split('=').next().unwrap_or_default();
        if FLAGS.contains(&name) {
            global.push(argument.clone());
        } else if WITH_VALUE.contains(&name) {
            global.push(argument.clone());
            if !argument.contains('=') {
                global.extend(rest.next().cloned());
            }
        } else {
            others.push(argument.clone());
        }
    }
    global.extend(others);
    global
}
