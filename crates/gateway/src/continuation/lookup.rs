//! A question about a stream that waits for answers.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use ryerouter_core::continuation::{Answers, Knowledge};
use tokio::sync::Notify;

use super::Answer;

/// A question about a stream that waits for answers.
#[derive(Debug)]
pub struct Lookup {
    /// The nodes that were asked.
    asked: BTreeSet<SocketAddr>,
    progress: RefCell<Progress>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Progress {
    answers: Answers,
    answered: BTreeSet<SocketAddr>,
    /// Whether a node passed the question on to others, whose answers may follow.
    is_passed_on: bool,
}

impl Lookup {
    /// A question to these nodes.
    pub fn new(asked: impl IntoIterator<Item = SocketAddr>) -> Self {
        let asked: BTreeSet<_> = asked.into_iter().collect();
        let answers = Answers {
            has_peers: !asked.is_empty(),
            ..Answers::default()
        };
        Self {
            asked,
            progress: RefCell::new(Progress {
                answers,
                ..Progress::default()
            }),
            changed: Notify::new(),
        }
    }

    /// Takes an answer.
    pub fn receive(&self, from: SocketAddr, answer: &Answer) {
        let mut progress = self.progress.borrow_mut();
        let is_first = progress.answered.insert(from);
        progress.is_passed_on |= !answer.is_holder;
        let answers = &mut progress.answers;
        answers.count += usize::from(is_first);
        answers.know_past |= answer.knows_past;
        answers.are_whole |= answer.is_whole;
        answers.versions.extend(answer.versions.iter().cloned());
        answers.knowledge = merge(std::mem::take(&mut answers.knowledge), answer.knowledge());
        drop(progress);
        self.changed.notify_waiters();
    }

    /// The nodes that have not answered yet.
    pub fn unanswered(&self) -> Vec<SocketAddr> {
        let progress = self.progress.borrow();
        self.asked.difference(&progress.answered).copied().collect()
    }

    /// What has been answered so far.
    pub fn answers(&self) -> Answers {
        self.progress.borrow().answers.clone()
    }

    /// Resolves once no further answer would change the outcome.
    pub async fn until_settled(&self) {
        self.until(|progress| progress.is_known() || progress.is_complete(&self.asked))
            .await;
    }

    /// Resolves once a node has answered what began the stream.
    pub async fn until_known(&self) {
        self.until(Progress::is_known).await;
    }

    async fn until(&self, is_reached: impl Fn(&Progress) -> bool) {
        loop {
            let changed = self.changed.notified();
            if is_reached(&self.progress.borrow()) {
                return;
            }
            changed.await;
        }
    }
}

impl Progress {
    fn is_known(&self) -> bool {
        self.answers.knowledge != Knowledge::Unknown
    }

    fn is_complete(&self, asked: &BTreeSet<SocketAddr>) -> bool {
        asked.is_subset(&self.answered) && !self.is_passed_on
    }
}

fn merge(known: Knowledge, told: Knowledge) -> Knowledge {
    match (known, told) {
        (known, Knowledge::Unknown) => known,
        (Knowledge::Unknown, told) => told,
        (known, told) if known == told => known,
        _ => Knowledge::Ambiguous,
    }
}
