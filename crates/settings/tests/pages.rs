//! Checks that the reference page and the examples follow the table of fields.
//!
//! With `RYEROUTER_REGENERATE=1` in the environment the table of the page is written anew.

use std::fs;
use std::path::PathBuf;

use ryerouter_settings::{FIELDS, Field, FieldDefault, FieldKind, load};
use yare::parameterized;

const PAGE: &str = "docs/operators/configuration-reference.md";
const TABLE_BEGIN: &str = "<!-- fields: begin -->\n";
const TABLE_END: &str = "<!-- fields: end -->";
const REGENERATE_VARIABLE: &str = "RYEROUTER_REGENERATE";

fn repository() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn table() -> String {
    let mut table = String::from(
        "| field | unit | values | default | new value in force | what it does |\n\
         |---|---|---|---|---|---|\n",
    );
    for field in FIELDS {
        table.push_str(&row(field));
    }
    table
}

fn row(field: &Field) -> String {
    let default = match field.default {
        FieldDefault::Required => "required".to_owned(),
        FieldDefault::Absent => "none".to_owned(),
        FieldDefault::Integer(number) => number.to_string(),
        FieldDefault::Text(text) => format!("`{text}`"),
    };
    let in_force = if field.reloadable {
        "reload"
    } else {
        "restart"
    };
    format!(
        "| `{}` | {} | {} | {default} | {in_force} | {} |\n",
        field.path,
        unit(field),
        field.kind,
        field.purpose
    )
}

fn unit(field: &Field) -> &'static str {
    match field.kind {
        FieldKind::Integer { .. } if field.path.ends_with("_ms") => "milliseconds",
        FieldKind::Integer { .. } if field.path.ends_with("_bytes") => "bytes",
        FieldKind::Integer { .. } => "count",
        _ => "text",
    }
}

#[test]
fn the_reference_page_lists_every_field_as_it_is() {
    let path = repository().join(PAGE);
    let page = fs::read_to_string(&path).expect("the reference page");
    let (before, rest) = page.split_once(TABLE_BEGIN).expect("the table's begin");
    let (written, after) = rest.split_once(TABLE_END).expect("the table's end");
    let table = table();
    if std::env::var_os(REGENERATE_VARIABLE).is_some() {
        let page = format!("{before}{TABLE_BEGIN}{table}{TABLE_END}{after}");
        fs::write(&path, page).expect("a writable page");
        return;
    }
    assert_eq!(
        written, table,
        "run `{REGENERATE_VARIABLE}=1 cargo test -p ryerouter-settings`"
    );
}

#[parameterized(
    blue_mahoe = { "examples/blue-mahoe-node.toml" },
    callaghan = { "examples/callaghan-node.toml" },
)]
fn an_example_is_accepted(path: &str) {
    let settings = load(&repository().join(path), &[]);
    assert!(settings.is_ok(), "{settings:?}");
}
