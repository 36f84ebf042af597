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
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Time until a node looks again whether engines fall to it.
const START_INTERVAL: Duration = Duration::from_millis(50);

/// How far the caches of the engines that fall to this node have been followed.
#[derive(Debug, Default)]
struct Progress {
    /// Each counts in one life of its engine.
    cursors: BTreeMap<BackEndName, (Cursor, Option<Incarnation>)>,
    asked: BTreeSet<BackEndName>,
}

impl Progress {
    /// Forgets the engines that fall to this node no longer; gives those that are to be asked now.
    fn begin(&mut self, engines: Vec<(BackEndName, SocketAddr)>) -> Vec<(BackEndName, SocketAddr)> {
        let is_followed = |name: &BackEndName| engines.iter().any(|(known, _)| known == name);
        self.cursors.retain(|name, _| is_followed(name));
        let due = engines.into_iter();
        due.filter(|(name, _)| self.asked.insert(name.clone()))
            .collect()
    }
}

/// Follows the caches of the engines that fall to this node, one question at a time to each, and
/// tells the other nodes what was dropped; see docs/design/decisions.md.
pub async fn watch_caches(gateway: Rc<Gateway>, feed: Rc<dyn CacheFeed>) {
    let progress = Rc::new(RefCell::new(Progress::default()));
    loop {
        let engines = gateway.caches_to_follow();
        // A node that was just started knows nothing, so it asks as soon as it can.
        let pause = match engines.is_empty() {
            true => START_INTERVAL,
            false => ASK_INTERVAL,
        };
        for (name, address) in progress.borrow_mut().begin(engines) {
            let (gateway, feed) = (Rc::clone(&gateway), Rc::clone(&feed));
            spawn_local(ask(gateway, feed, Rc::clone(&progress), name, address));
        }
        sleep(pause).await;
    }
}

async fn ask(
    gateway: Rc<Gateway>,
    feed: Rc<dyn CacheFeed>,
    progress: Rc<RefCell<Progress>>,
    engine: BackEndName,
    address: SocketAddr,
) {
    let life = gateway.incarnation_of(&engine);
    let known = progress.borrow().cursors.get(&engine).copied();
    let known = known.filter(|(_, counted_in)| *counted_in == life);
    let since = known.map(|(cursor, _)| cursor);
    let told = feed.changes(engine.clone(), address, since).await;
    let mut progress = progress.borrow_mut();
    progress.asked.remove(&engine);
    let Some(told) = told else {
        return;
    };
    if gateway.incarnation_of(&engine) != life {
        // It has begun again meanwhile: this may be about either life.
        progress.cursors.remove(&engine);
        return;
    }
    progress.cursors.insert(engine.clone(), (told.next, life));
    gateway.apply_cache_changes(&engine, &told.changes, since.is_none());
}
