//! A virtual clock for tests with sockets on loopback.

use std::future::Future;
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::advance;

/// By how much the clock is set forward at a time.
const STEP: Duration = Duration::from_millis(1);
/// Turns of the runtime before each step, in which what was sent is received.
const TURNS: usize = 16;

/// Runs a test on one thread, on a clock that stands still while the thread works. How long the machine takes, for
/// instance beside other programs, does not count.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, async {
        let pacer = spawn_local(pass_time());
        let result = test.await;
        pacer.abort();
        result
    })
}

/// Sets the clock forward for ever. As this is always ready, the runtime never does so by itself, which it would while
/// bytes are on their way.
async fn pass_time() {
    loop {
        for _ in 0..TURNS {
            yield_now().await;
        }
        advance(STEP).await;
    }
}
