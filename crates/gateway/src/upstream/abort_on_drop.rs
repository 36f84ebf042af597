//! A task that ends with its owner.

use tokio::task::JoinHandle;

/// Ends a task when dropped; a connection's task takes its socket along.
#[derive(Debug)]
pub struct AbortOnDrop(JoinHandle<()>);

impl AbortOnDrop {
    /// Binds a task to the value returned.
    pub fn new(task: JoinHandle<()>) -> Self {
        Self(task)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
