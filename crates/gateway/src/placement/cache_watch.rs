//! Following what engines tell of their caches.

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

/// Time between questions to one engine: each costs it some work, and events are late anyway.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Time until a node looks again whether engines fall to it.
const ASSIGNMENT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How far the caches of the engines that fall to this node have been followed.
#[derive(Debug, Default)]
struct Polls {
    /// Each counts in one life of its engine.
    cursors: BTreeMap<BackEndName, (Cursor, Option<Incarnation>)>,
    in_flight: BTreeSet<BackEndName>,
}

impl Polls {
    /// Forgets the engines that fall to this node no longer; gives those that are to be asked now.
    fn start_polls(
        &mut self,
        engines: Vec<(BackEndName, SocketAddr)>,
    ) -> Vec<(BackEndName, SocketAddr)> {
        let is_followed = |name: &BackEndName| engines.iter().any(|(known, _)| known == name);
        self.cursors.retain(|name, _| is_followed(name));
        let due = engines.into_iter();
        due.filter(|(name, _)| self.in_flight.insert(name.clone()))
            .collect()
    }
}

/// Follows the caches of the engines that fall to this node, one question at a time to each, and
/// tells the other nodes what was dropped; see docs/design/decisions.md.
pub async fn watch_caches(gateway: Rc<Gateway>, feed: Rc<dyn CacheFeed>) {
    let polls = Rc::new(RefCell::new(Polls::default()));
    loop {
        let engines = gateway.caches_to_follow();
        // A node that was just started knows nothing, so it asks as soon as it can.
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
    let incarnation = gateway.life_of(&engine);
    let known = polls.borrow().cursors.get(&engine).copied();
    let known = known.filter(|(_, counted_in)| *counted_in == incarnation);
    let since = known.map(|(cursor, _)| cursor);
    let response = feed.changes(engine.clone(), address, since).await;
    let mut polls = polls.borrow_mut();
    polls.in_flight.remove(&engine);
    let Some(response) = response else {
        return;
    };
    if gateway.life_of(&engine) != incarnation {
        // It has begun again meanwhile: this may be about either life.
        polls.cursors.remove(&engine);
        return;
    }
    polls
        .cursors
        .insert(engine.clone(), (response.next, incarnation));
    gateway.take_cache_changes(&engine, &response.changes, since.is_none());
}
