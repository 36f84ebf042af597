//! Checks that pages say what the sources say.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use ryerouter_ctl::ExitStatus;

const LOG_MACROS: [(&str, &str); 6] = [
    ("crit!(", "critical"),
    ("error!(", "error"),
    ("warn!(", "warning"),
    ("info!(", "info"),
    ("debug!(", "debug"),
    ("trace!(", "trace"),
];

fn repository() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Files below `directory` with this extension, without build output.
fn files(directory: &Path, extension: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let entries = fs::read_dir(directory).expect("a directory");
    for entry in entries {
        let path = entry.expect("an entry").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if name == "target" || name.starts_with('.') {
            continue;
        }
        if path.is_dir() {
            found.extend(files(&path, extension));
        } else if path.extension().is_some_and(|found| found == extension) {
            found.push(path);
        }
    }
    found.sort();
    found
}

#[test]
fn relative_links_between_pages_lead_somewhere() {
    for page in files(&repository(), "md") {
        let text = read(&page);
        for link in text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next())
        {
            let target = link.split('#').next().unwrap_or_default();
            if target.is_empty() || target.contains("://") {
                continue;
            }
            let directory = page.parent().expect("a directory");
            assert!(
                directory.join(target).exists(),
                "{}: {link}",
                page.display()
            );
        }
    }
}

/// Events in the sources of the node, with their levels.
fn logged_events() -> BTreeMap<String, String> {
    let mut events = BTreeMap::new();
    for source in files(&repository().join("crates/node/src"), "rs") {
        let text = read(&source);
        for (opening, level) in LOG_MACROS {
            for rest in text.split(opening).skip(1) {
                let call = rest.split(';').next().unwrap_or_default();
                let event = call.split('"').nth(1).unwrap_or_default();
                let is_event = |letter: char| letter.is_ascii_lowercase() || letter == '_';
                if !event.is_empty() && event.chars().all(is_event) {
                    events.insert(event.to_owned(), level.to_owned());
                }
            }
        }
    }
    events
}

#[test]
fn the_page_on_logs_lists_every_event_with_its_level() {
    let page = read(&repository().join("docs/operators/logs.md"));
    let events = logged_events();
    assert!(events.len() > 20, "the sources are read: {events:?}");
    for (event, level) in &events {
        let row = format!("| `{event}` | {level} |");
        assert!(page.contains(&row), "docs/operators/logs.md lacks {row}");
    }
    for row in page.lines().filter(|line| line.starts_with("| `")) {
        let event = row.split('`').nth(1).unwrap_or_default();
        assert!(events.contains_key(event), "no source logs {event}");
    }
}

#[test]
fn the_page_on_resources_lists_every_exit_code() {
    let page = read(&repository().join("docs/operators/tenants-pools-back-ends.md"));
    for (status, meaning) in ExitStatus::MEANINGS {
        let code = *status as u8;
        assert!(page.contains(&format!("| {code} | ")), "{code}: {meaning}");
    }
}
