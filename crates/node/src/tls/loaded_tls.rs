//! Certificates and keys that are read but not yet in force.

use std::sync::Arc;

use arc_swap::ArcSwap;

/// Certificates and keys that are read and checked but not yet in force, so that several listeners
/// change together or not at all.
pub struct LoadedTls {
    put_in_force: Box<dyn FnOnce() + Send>,
}

impl LoadedTls {
    pub(super) fn new<T: Send + Sync + 'static>(place: &Arc<ArcSwap<T>>, config: T) -> Self {
        let place = Arc::clone(place);
        let config = Arc::new(config);
        Self {
            put_in_force: Box::new(move || place.store(config)),
        }
    }

    /// Puts them in force for connections opened from now on.
    pub fn put_in_force(self) {
        (self.put_in_force)();
    }
}
