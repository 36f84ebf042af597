//! Which rejected versions of a pool are kept.

use ryerouter_core::release::RejectedVersions;

const KEPT: usize = 16;

fn versions(numbers: impl IntoIterator<Item = usize>) -> RejectedVersions {
    let names: Vec<_> = numbers.into_iter().map(|n| format!("v{n}")).collect();
    RejectedVersions::from(names)
}

#[test]
fn oldest_versions_are_forgotten_beyond_the_maximum() {
    let rejected = versions(0..KEPT + 3);
    assert_eq!(rejected, versions(3..KEPT + 3));
    assert_eq!(rejected.iter().count(), KEPT);
}

#[test]
fn version_that_is_rejected_again_is_the_latest() {
    let mut rejected = versions(0..KEPT);
    rejected.insert("v0".to_owned());
    rejected.insert("new".to_owned());
    assert!(rejected.contains("v0"));
    assert!(!rejected.contains("v1"));
}

#[test]
fn merging_keeps_what_is_known_and_its_order() {
    let mut rejected = versions([1, 2]);
    rejected.merge(&versions([2, 3]));
    assert_eq!(rejected, versions([1, 2, 3]));
    rejected.remove("v2");
    assert_eq!(rejected, versions([1, 3]));
}

#[test]
fn longer_list_of_another_build_is_bounded() {
    let names: Vec<_> = (0..1_000).map(|number| format!("v{number}")).collect();
    let text = serde_json::to_string(&names).unwrap();
    let rejected: RejectedVersions = serde_json::from_str(&text).unwrap();
    assert_eq!(rejected, versions(1_000 - KEPT..1_000));
    assert_eq!(
        serde_json::to_string(&versions([1, 2])).unwrap(),
        r#"["v1","v2"]"#
    );
}
