//! Connections to the source that fall silent for good while new ones work, on a virtual clock; see
//! docs/incidents/2026-12-02-silent-connections.md.

mod support;

use std::rc::Rc;
use std::time::Duration;

use ryerouter_gateway::gateway::Gateway;
use support::gateway_bench::run_paused;
use support::test_dialect::MODEL;
use support::virtual_source::{
    Followers, VirtualSource, knows_leaving, newest_weights, three_engines,
};
use tokio::time::sleep;

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

#[test]
fn leaving_engine_is_known_in_time_after_all_connections_fell_silent() {
    let count = 7;
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

#[test]
fn replaced_weights_are_left_in_time_after_all_connections_fell_silent() {
    let count = 7;
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

/// The others have heard of the change; the silent node learns from them that it has missed one.
#[test]
fn node_whose_connections_alone_fell_silent_learns_it_from_others() {
    run_paused(async move {
        let followers = settled(7).await;
        followers.source.silence([3]);
        sleep(CONTACT).await;
        drain_first_engine(&followers);
        let is_known = |node: &Gateway| knows_leaving(node, "e1");
        let delay = followers.until_known(LONG_ENOUGH, is_known).await;
        assert!(delay.is_some_and(|delay| delay < DRAIN_BOUND), "{delay:?}");
    });
}
