//! Keys and certificates that are read but not yet in force.

use std::sync::Arc;

use arc_swap::ArcSwap;

/// Keys or certificates that are read and checked but not yet in force, so that all that a reload
/// reads changes together or not at all.
pub struct Loaded {
    put_in_force: Box<dyn FnOnce() + Send>,
}

impl Loaded {
    pub(crate) fn new<T: Send + Sync + 'static>(place: &Arc<ArcSwap<T>>, config: T) -> Self {
        let place = Arc::clone(place);
        let config = Arc::new(config);
        Self {
            put_in_force: Box::new(move || place.store(config)),
        }
    }

    /// Puts them in force from now on.
    pub fn put_in_force(self) {
        (self.put_in_force)();
    }
}
