//! Polls engines for changes of their caches.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ryerouter_core::identity::{BackEndName, Incarnation};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::CacheFeed;
use super::cache_feed::Cursor;
use crate::gateway::Gateway;

/// Interval between polls of one engine. A shorter interval would cost the engines work without
/// much gain, because cache events arrive late anyway.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which a node without assigned engines checks whether it has been assigned any.
const ASSIGNMENT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// State of the polls of the engines that are assigned to this node.
#[derive(Debug, Default)]
struct Polls {
    /// Position of the next poll, and the incarnation of the engine in which that position is
    /// valid.
    cursors: BTreeMap<BackEndName, (Cursor, Option<Incarnation>)>,
    in_flight: BTreeSet<BackEndName>,
}

impl Polls {
    /// Drops the cursors of engines that are no longer assigned to this node; returns the engines
    /// to poll now, which are those without a poll in flight.
    fn start_polls(
        &mut self,
        engines: Vec<(BackEndName, SocketAddr)>,
    ) -> Vec<(BackEndName, SocketAddr)> {
        let is_assigned = |name: &BackEndName| engines.iter().any(|(known, _)| known == name);
        self.cursors.retain(|name, _| is_assigned(name));
        let due = engines.into_iter();
        due.filter(|(name, _)| self.in_flight.insert(name.clone()))
            .collect()
    }
}

/// Polls the caches of the engines that are assigned to this node, with one poll at a time for each
/// engine, and announces evicted parts to the other nodes; see docs/design/decisions.md.
pub async fn watch_caches(gateway: Rc<Gateway>, feed: Rc<dyn CacheFeed>) {
    let polls = Rc::new(RefCell::new(Polls::default()));
    loop {
        let engines = gateway.caches_to_follow();
        // A node that has just started knows of no cached prefixes, so it polls as soon as engines
        // are assigned to it.
        let pause = match engines.is_empty() {
            true => ASSIGNMENT_CHECK_INTERVAL,
            false => POLL_INTERVAL,
        };
        for (name, address) in polls.borrow_mut().start_polls(engines) {
            let (gateway, feed) = (Rc::clone(&gateway), Rc::clone(&feed));
            spawn_local(poll_engine(gateway, feed, Rc::clone(&polls), name, address));
        }
        sleep(pause).await;
    }
}

async fn poll_engine(
    gateway: Rc<Gateway>,
    feed: Rc<dyn CacheFeed>,
    polls: Rc<RefCell<Polls>>,
    engine: BackEndName,
    address: SocketAddr,
) {
    let incarnation = gateway.incarnation_of(&engine);
    let known = polls.borrow().cursors.get(&engine).copied();
    let known = known.filter(|(_, valid_in)| *valid_in == incarnation);
    let since = known.map(|(cursor, _)| cursor);
    let asked_at = gateway.clock().now();
    let response = feed.changes(engine.clone(), address, since).await;
    let mut polls = polls.borrow_mut();
    polls.in_flight.remove(&engine);
    let Some(response) = response else {
        return;
    };
    if gateway.incarnation_of(&engine) != incarnation {
        // The engine has restarted during the poll, so the response may describe either
        // incarnation.
        polls.cursors.remove(&engine);
        return;
    }
    polls
        .cursors
        .insert(engine.clone(), (response.next, incarnation));
    if response.is_content {
        gateway.forget_uncached_parts(&engine, &response.changes, asked_at);
    }
    let is_first = since.is_none() || response.is_content;
    gateway.apply_cache_changes(&engine, &response.changes, is_first);
}
