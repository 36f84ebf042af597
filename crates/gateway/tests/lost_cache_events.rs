//! Caches that are read anew since events of theirs were lost, on a virtual clock.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::placement::{
    CacheChange, CacheChanges, CacheFeed, Cursor, PartKey, watch_caches,
};
use support::gateway_bench::{configure, gateway, list_engines, run_paused};
use support::records::{engine, table};
use tokio::task::spawn_local;
use tokio::time::sleep;

const DROPPED: PartKey = PartKey(1);
const KEPT: PartKey = PartKey(2);
const UNKNOWN: PartKey = PartKey(3);
const USED_SINCE: PartKey = PartKey(4);

/// Tells of two parts first; then events were lost, and the content holds one of them and another one.
struct GapFeed;

fn held(key: PartKey) -> CacheChange {
    CacheChange {
        key,
        tokens: 800,
        is_held: true,
    }
}

impl CacheFeed for GapFeed {
    fn changes(
        &self,
        _engine: BackEndName,
        _address: SocketAddr,
        since: Option<Cursor>,
    ) -> LocalBoxFuture<'_, Option<CacheChanges>> {
        async move {
            // Later than anything that the first answer told may still be under way.
            let is_first = since.is_none();
            sleep(Duration::from_secs(if is_first { 0 } else { 8 })).await;
            Some(match is_first {
                true => CacheChanges {
                    next: 10,
                    changes: vec![held(DROPPED), held(KEPT)],
                    ..CacheChanges::default()
                },
                false => CacheChanges {
                    next: 900,
                    changes: vec![held(KEPT), held(UNKNOWN)],
                    is_content: true,
                },
            })
        }
        .boxed_local()
    }
}

fn is_holder(node: &Gateway, key: PartKey) -> bool {
    node.state().holders.of(key).next().is_some()
}

#[test]
fn part_that_was_dropped_among_lost_events_is_not_believed_to_be_held() {
    run_paused(async {
        let node = gateway("node-1");
        configure(&node, table(1, Vec::new()));
        let address = SocketAddr::from(([127, 0, 0, 1], 1_000));
        list_engines(&node, vec![engine("e0", address, 1)]);
        let following = spawn_local(watch_caches(Rc::clone(&node), Rc::new(GapFeed)));
        sleep(Duration::from_secs(2)).await;
        assert!(is_holder(&node, DROPPED) && is_holder(&node, KEPT));
        sleep(Duration::from_secs(7)).await;
        let now = node.clock().now();
        let e0 = BackEndName::new("e0");
        node.state_mut().holders.note(USED_SINCE, &e0, now);
        sleep(Duration::from_secs(9)).await;
        let known = [DROPPED, KEPT, UNKNOWN, USED_SINCE].map(|key| is_holder(&node, key));
        assert_eq!(known, [false, true, true, true]);
        following.abort();
    });
}
