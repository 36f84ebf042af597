//! Answers the calls of the machine list.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use serde_json::json;
use tokio::time::Instant;

use super::Machine;
use crate::standins::http::{Handler, Reply, empty, json as json_reply};

type Machines = BTreeMap<SocketAddr, Machine>;

/// Answers the calls of the machine list.
#[derive(Debug)]
pub struct MachineListHandler {
    lag: Duration,
    down: AtomicBool,
    /// States of the list with the time of each, oldest first; never empty.
    history: Mutex<VecDeque<(Instant, Machines)>>,
}

impl MachineListHandler {
    /// An empty list.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            down: AtomicBool::new(false),
            history: Mutex::new(VecDeque::from([(Instant::now(), Machines::new())])),
        }
    }

    /// Changes the list.
    pub fn change(&self, change: impl FnOnce(&mut Machines)) {
        let mut history = self.history.lock();
        let mut machines = history.back().expect("never empty").1.clone();
        change(&mut machines);
        history.push_back((Instant::now(), machines));
        self.forget(&mut history);
    }

    /// Whether the list answers at all.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Drops states that nobody can be told any more.
    fn forget(&self, history: &mut VecDeque<(Instant, Machines)>) {
        let now = Instant::now();
        while history
            .get(1)
            .is_some_and(|(since, _)| now.duration_since(*since) >= self.lag)
        {
            history.pop_front();
        }
    }

    fn told(&self) -> Vec<Machine> {
        let mut history = self.history.lock();
        self.forget(&mut history);
        let machines = &history.front().expect("never empty").1;
        machines.values().cloned().collect()
    }
}

impl Handler for MachineListHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<Reply> {
        if self.down.load(Ordering::Relaxed) {
            return None;
        }
        let known = request.method() == Method::GET && request.uri().path() == "/machines";
        if !known {
            return Some(empty(StatusCode::NOT_FOUND));
        }
        let body = json!({"machines": self.told()});
        Some(json_reply(StatusCode::OK, &body))
    }
}
