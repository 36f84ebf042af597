//! The operators' page of metrics and the program say the same.

use ryerouter_node::metrics::{TRAFFIC_METRICS, TrafficMetrics};

const PAGE: &str = include_str!("../../../docs/operators/metrics.md");

/// The rows of the page's table, as lines of cells.
fn rows() -> Vec<Vec<String>> {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        let cells = row.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().replace('`', "")).collect()
    })
    .collect()
}

#[test]
fn the_page_lists_every_metric_as_it_is() {
    let listed = rows();
    let expected: Vec<Vec<String>> = TRAFFIC_METRICS
        .iter()
        .map(|metric| {
            vec![
                metric.name.to_owned(),
                metric.kind.as_str().to_owned(),
                metric.labels.join(", "),
                metric.help.to_owned(),
            ]
        })
        .collect();
    assert_eq!(listed, expected);
}

#[test]
fn every_listed_metric_is_registered() {
    let metrics = TrafficMetrics::new();
    // Registering a name again fails when, and only when, it is there.
    for metric in TRAFFIC_METRICS {
        let again = prometheus::IntCounter::new(metric.name, "again").unwrap();
        let registered = metrics.registry().register(Box::new(again));
        assert!(registered.is_err(), "{}", metric.name);
    }
}
