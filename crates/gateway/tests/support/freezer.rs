//! Tasks that stand still for a while, as those of a process that gets no processor.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::interval;

/// Time between looks whether the tasks may go on.
const LOOK: Duration = Duration::from_millis(10);

/// Tasks that stand still for a while.
#[derive(Default)]
pub struct Freezer {
    tasks: LocalSet,
    is_frozen: Rc<Cell<bool>>,
}

impl Freezer {
    /// Adds a task.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn_local(task);
    }

    /// Stands still while this is set.
    pub fn switch(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.is_frozen)
    }

    /// Runs the tasks.
    pub async fn run(mut self) {
        let mut looks = interval(LOOK);
        poll_fn(move |context| {
            while looks.poll_tick(context).is_ready() {}
            match self.is_frozen.get() {
                true => Poll::Pending,
                false => Pin::new(&mut self.tasks).poll(context),
            }
        })
        .await;
    }
}
