//! Answers the calls of the weight store: `GET /weights/{name}/{version}` ends when the load does.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};

use super::WeightLoadProfile;
use crate::standins::http::{Handler, Reply, empty};

/// Answers the calls of the weight store.
#[derive(Debug)]
pub struct WeightStoreHandler {
    profile: WeightLoadProfile,
    running: AtomicU32,
    most_at_once: AtomicU32,
    loads: AtomicU64,
}

/// A load that counts while it lives, also when its reader goes away.
struct RunningLoad<'a>(&'a AtomicU32);

impl WeightStoreHandler {
    /// A store with the given speed.
    pub fn new(profile: WeightLoadProfile) -> Self {
        Self {
            profile,
            running: AtomicU32::new(0),
            most_at_once: AtomicU32::new(0),
            loads: AtomicU64::new(0),
        }
    }

    /// Loads finished so far.
    pub fn loads(&self) -> u64 {
        self.loads.load(Ordering::Relaxed)
    }

    /// Most loads that ever ran at once.
    pub fn most_at_once(&self) -> u32 {
        self.most_at_once.load(Ordering::Relaxed)
    }

    async fn load(&self) -> Reply {
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        let _load = RunningLoad(&self.running);
        self.most_at_once.fetch_max(running, Ordering::Relaxed);
        tokio::time::sleep(self.profile.duration_of(running)).await;
        self.loads.fetch_add(1, Ordering::Relaxed);
        empty(StatusCode::OK)
    }
}

impl Drop for RunningLoad<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Handler for WeightStoreHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<Reply> {
        let known =
            request.method() == Method::GET && request.uri().path().starts_with("/weights/");
        if known {
            Some(self.load().await)
        } else {
            Some(empty(StatusCode::NOT_FOUND))
        }
    }
}
