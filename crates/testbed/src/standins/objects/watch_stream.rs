//! The body of a watch.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::{Stream, stream};

use super::Change;
use super::handler::{ObjectApiHandler, WatchPermit};

/// A watch under way.
struct WatchCursor {
    handler: Arc<ObjectApiHandler>,
    prefix: String,
    next_revision: u64,
    pending: VecDeque<Change>,
    // Held so that the watch counts against the limit until its body is dropped.
    _permit: WatchPermit,
}

/// Changes at revision `from` or later as JSON lines. It ends when the API goes down or the changes are
/// compacted, and the watcher must list again.
pub fn watch_stream(
    handler: Arc<ObjectApiHandler>,
    permit: WatchPermit,
    prefix: String,
    from: u64,
) -> impl Stream<Item = Bytes> + Send {
    let cursor = WatchCursor {
        handler,
        prefix,
        next_revision: from,
        pending: VecDeque::new(),
        _permit: permit,
    };
    stream::unfold(cursor, next_line)
}

async fn next_line(mut cursor: WatchCursor) -> Option<(Bytes, WatchCursor)> {
    let mut signal = cursor.handler.subscribe();
    loop {
        signal.borrow_and_update();
        if cursor.handler.faults().down {
            return None;
        }
        if !cursor.handler.faults().frozen {
            fill(&mut cursor)?;
        }
        if let Some(change) = cursor.pending.pop_front() {
            let mut line = serde_json::to_vec(&change).expect("a change is plain data");
            line.push(b'\n');
            return Some((Bytes::from(line), cursor));
        }
        signal.changed().await.ok()?;
    }
}

fn fill(cursor: &mut WatchCursor) -> Option<()> {
    if !cursor.pending.is_empty() {
        return Some(());
    }
    let store = cursor.handler.store();
    let changes = store.changes_from(cursor.next_revision, &cursor.prefix)?;
    let revision = store.revision();
    drop(store);
    cursor.next_revision = revision + 1;
    cursor.pending = changes.into();
    Some(())
}
