//! Connections to the source that fall silent for good while new ones work, on a virtual clock; see
//! docs/incidents/2026-12-02-silent-connections.md.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::ItemKind;
use support::followers::{Followers, knows_leaving, newest_weights, three_engines};
use support::gateway_bench::run_paused;
use support::test_dialect::MODEL;
use support::virtual_source::VirtualSource;
use tokio::time::sleep;
use yare::parameterized;

/// How long a watch lasts in a small deployment.
const LONG_WATCH: Duration = Duration::from_secs(15);
/// A deployment has settled after this time: all nodes know each other and wait for changes.
const SETTLED: Duration = Duration::from_secs(8);
/// What has been undisturbed for this long keeps its promises again.
const CONTACT: Duration = Duration::from_secs(3);
/// An engine that leaves gets nothing new after this time.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Requests begin on replaced weights no longer than this after newer ones were named.
const VERSION_BOUND: Duration = Duration::from_secs(8);
/// A wait that is longer than any bound.
const LONG_ENOUGH: Duration = Duration::from_secs(20);

async fn settled(count: usize) -> Rc<Followers> {
    let source = VirtualSource::new(three_engines());
    let followers = Followers::start(count, source, LONG_WATCH);
    sleep(SETTLED).await;
    assert!(
        followers
            .nodes
            .iter()
            .all(|node| newest_weights(node) == Some(1))
    );
    followers
}

fn drain_first_engine(followers: &Followers) {
    let first = three_engines().swap_remove(0);
    followers.source.drain(first);
}

/// Whether requests may still begin on the first weights.
fn allows_first_weights(gateway: &Gateway) -> bool {
    let now = gateway.clock().now();
    gateway.state().deadlines.allows(MODEL, 1, now)
}

#[parameterized(
    one_node = { 1 },
    three = { 3 },
    seven = { 7 },
    ten = { 10 },
    twelve = { 12 },
)]
fn leaving_engine_is_known_in_time_after_all_connections_fell_silent(count: usize) {
    run_paused(async move {
        let followers = settled(count).await;
        followers.source.silence(0..count);
        sleep(CONTACT).await;
        drain_first_engine(&followers);
        let is_known = |node: &Gateway| knows_leaving(node, "e1");
        let delay = followers.until_known(LONG_ENOUGH, is_known).await;
        assert!(delay.is_some_and(|delay| delay < DRAIN_BOUND), "{delay:?}");
    });
}

#[parameterized(
    one_node = { 1 },
    three = { 3 },
    seven = { 7 },
    ten = { 10 },
    twelve = { 12 },
)]
fn replaced_weights_are_left_in_time_after_all_connections_fell_silent(count: usize) {
    run_paused(async move {
        let followers = settled(count).await;
        followers.source.silence(0..count);
        sleep(CONTACT).await;
        followers.source.name_weights(2);
        let are_left = |node: &Gateway| !allows_first_weights(node);
        let delay = followers.until_known(LONG_ENOUGH, are_left).await;
        assert!(
            delay.is_some_and(|delay| delay < VERSION_BOUND),
            "{delay:?}"
        );
    });
}

/// The change comes at the moment at which the connections fall silent: it must be known once they
/// count as undisturbed again.
#[parameterized(
    one_node = { 1 },
    three = { 3 },
    seven = { 7 },
    twelve = { 12 },
)]
fn change_at_the_moment_of_the_silence_is_known_in_time(count: usize) {
    run_paused(async move {
        let followers = settled(count).await;
        followers.source.silence(0..count);
        drain_first_engine(&followers);
        followers.source.name_weights(2);
        let is_known =
            |node: &Gateway| knows_leaving(node, "e1") && newest_weights(node) == Some(2);
        let delay = followers.until_known(LONG_ENOUGH, is_known).await;
        assert!(delay.is_some_and(|delay| delay < CONTACT), "{delay:?}");
    });
}

/// Nothing else is wrong for so long that a node asks by chance: each size is tried several times.
#[parameterized(
    one_node = { 1 },
    three = { 3 },
    seven = { 7 },
    ten = { 10 },
    twelve = { 12 },
)]
fn configuration_is_known_in_time_after_all_connections_fell_silent(count: usize) {
    for _ in 0..6 {
        run_paused(async move {
            let followers = settled(count).await;
            followers.source.silence(0..count);
            sleep(CONTACT).await;
            followers.source.configure(2);
            let is_known = |node: &Gateway| node.configuration_version() == Some(2);
            let delay = followers.until_known(LONG_ENOUGH, is_known).await;
            assert!(delay.is_some_and(|delay| delay < DRAIN_BOUND), "{delay:?}");
        });
    }
}

/// The time for a watch that a node leaves when another question has overtaken it, and for the next one.
const REPLACEMENT: Duration = Duration::from_millis(500);

/// Each answer holds one configuration, as where they are long: the first one shows nothing of the others, and must
/// neither prove that a node is current nor keep it from asking on.
#[parameterized(
    one_node = { 1 },
    three = { 3 },
    seven = { 7 },
    twelve = { 12 },
)]
fn configuration_that_an_answer_lacks_is_known_in_time_after_all_connections_fell_silent(
    count: usize,
) {
    for _ in 0..6 {
        run_paused(async move {
            let followers = settled(count).await;
            followers.source.limit_answers(1);
            followers.source.silence(0..count);
            sleep(CONTACT).await;
            (2..=4).for_each(|version| followers.source.configure(version));
            let is_known = |node: &Gateway| node.configuration_version() == Some(4);
            let delay = followers.until_known(LONG_ENOUGH, is_known).await;
            assert!(delay.is_some_and(|delay| delay < DRAIN_BOUND), "{delay:?}");
        });
    }
}

#[parameterized(
    one_node = { 1 },
    three = { 3 },
    seven = { 7 },
)]
fn old_configuration_is_not_believed_to_be_current_by_an_answer_that_lacks_the_newest(
    count: usize,
) {
    run_paused(async move {
        let followers = settled(count).await;
        followers.source.limit_answers(1);
        followers.source.silence(0..count);
        sleep(CONTACT).await;
        (2..=4).for_each(|version| followers.source.configure(version));
        let configured_at: Vec<_> = followers
            .nodes
            .iter()
            .map(|node| node.clock().now())
            .collect();
        let is_misled = |node: &Gateway, at| {
            let proven_at = node.state().freshness().confirmed_at();
            node.configuration_version() != Some(4) && proven_at > Some(at)
        };
        for _ in 0..300 {
            sleep(Duration::from_millis(10)).await;
            for (node, at) in followers.nodes.iter().zip(&configured_at) {
                let version = node.configuration_version();
                assert!(!is_misled(node, *at), "believes {version:?} to be current");
            }
        }
    });
}

/// The first answer holds one engine that leaves of three.
#[parameterized(
    one_node = { 1 },
    three = { 3 },
    seven = { 7 },
)]
fn old_list_of_engines_is_not_believed_to_be_current_by_an_answer_that_lacks_changes(count: usize) {
    run_paused(async move {
        let followers = settled(count).await;
        followers.source.limit_answers(1);
        followers.source.silence(0..count);
        sleep(CONTACT).await;
        for entry in three_engines() {
            followers.source.drain(entry);
        }
        let drained_at: Vec<_> = followers
            .nodes
            .iter()
            .map(|node| node.clock().now())
            .collect();
        let is_misled = |node: &Gateway, at| {
            let state = node.state();
            let proven_at = state
                .replicas
                .of(ItemKind::Engines)
                .freshness
                .confirmed_at();
            proven_at > Some(at) && !knows_leaving(node, "e3")
        };
        for _ in 0..3_000 {
            sleep(Duration::from_millis(1)).await;
            for (node, at) in followers.nodes.iter().zip(&drained_at) {
                assert!(!is_misled(node, *at), "believes an old list to be current");
            }
        }
    });
}

/// A watch that is known to be silent is asked again, so that the next change is there at once.
#[test]
fn watch_that_a_probe_of_the_configuration_has_overtaken_is_replaced() {
    run_paused(async {
        let followers = settled(1).await;
        followers.source.silence([0]);
        sleep(CONTACT).await;
        followers.source.configure(2);
        let has = |version| move |node: &Gateway| node.configuration_version() == Some(version);
        let delay = followers.until_known(LONG_ENOUGH, has(2)).await;
        assert!(delay.is_some_and(|delay| delay < DRAIN_BOUND), "{delay:?}");
        sleep(REPLACEMENT).await;
        followers.source.configure(3);
        let delay = followers.until_known(LONG_ENOUGH, has(3)).await;
        assert!(
            delay.is_some_and(|delay| delay < Duration::from_millis(50)),
            "{delay:?}"
        );
    });
}

/// The others have heard of the change; the silent node learns from them that it has missed one.
#[parameterized(
    drained = { false },
    gone = { true },
)]
fn node_whose_connections_alone_fell_silent_learns_it_from_others(is_gone: bool) {
    run_paused(async move {
        let followers = settled(7).await;
        followers.source.silence([3]);
        sleep(CONTACT).await;
        match is_gone {
            true => followers.source.remove("e1"),
            false => drain_first_engine(&followers),
        }
        let is_known = |node: &Gateway| knows_leaving(node, "e1");
        let delay = followers.until_known(LONG_ENOUGH, is_known).await;
        assert!(delay.is_some_and(|delay| delay < DRAIN_BOUND), "{delay:?}");
    });
}

#[test]
fn silent_node_that_hears_no_other_finds_out_by_itself() {
    run_paused(async {
        let followers = settled(7).await;
        followers.cut_off(0);
        followers.source.silence([0]);
        sleep(CONTACT).await;
        drain_first_engine(&followers);
        let is_known = |node: &Gateway| knows_leaving(node, "e1");
        let delay = followers.until_known(LONG_ENOUGH, is_known).await;
        assert!(delay.is_some_and(|delay| delay < DRAIN_BOUND), "{delay:?}");
    });
}

/// An entry that goes in calm times is no entry that lapsed with the source: watches that were cut say
/// nothing of the source.
#[test]
fn engine_that_goes_after_watches_were_cut_is_not_waited_for() {
    run_paused(async {
        let followers = settled(3).await;
        followers.source.cut_watches();
        sleep(Duration::from_millis(200)).await;
        followers.source.remove("e1");
        let name = BackEndName::new("e1");
        let is_gone = |node: &Gateway| node.state().engines.get(&name).is_none();
        let delay = followers.until_known(LONG_ENOUGH, is_gone).await;
        assert!(delay.is_some_and(|delay| delay < DRAIN_BOUND), "{delay:?}");
    });
}
