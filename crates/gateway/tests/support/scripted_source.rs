//! A source that answers as it is told.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::source::{
    CatalogueSource, Consistency, Item, ItemBatch, ItemChange, ItemKind, ItemPage, Revision,
    SourceError,
};

use super::records::{route, table};

/// What the source answers next.
pub enum Answer {
    Page { versions: Vec<u64>, revision: u64 },
    Batch { versions: Vec<u64>, revision: u64 },
    Fails(SourceError),
}

/// A question as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Question {
    List { consistency: Consistency },
    Watch { revision: u64, wait: Duration },
}

/// Gives the scripted answers, then is silent.
#[derive(Default)]
pub struct ScriptedSource {
    answers: RefCell<VecDeque<Answer>>,
    pub questions: RefCell<Vec<Question>>,
}

impl ScriptedSource {
    pub fn new(answers: impl IntoIterator<Item = Answer>) -> Rc<Self> {
        Rc::new(Self {
            answers: RefCell::new(answers.into_iter().collect()),
            ..Self::default()
        })
    }

    fn next(&self, question: Question) -> Option<Answer> {
        self.questions.borrow_mut().push(question);
        self.answers.borrow_mut().pop_front()
    }
}

pub fn configuration(version: u64) -> Item {
    let routes = vec![route(RequestKind::Safe)];
    Item::Configuration(Rc::new(table(version, routes)))
}

impl CatalogueSource for ScriptedSource {
    fn list<'a>(
        &'a self,
        _kind: ItemKind,
        consistency: Consistency,
        _after: Option<&'a str>,
    ) -> LocalBoxFuture<'a, Result<ItemPage, SourceError>> {
        let answer = self.next(Question::List { consistency });
        async move {
            match answer {
                Some(Answer::Page { versions, revision }) => Ok(ItemPage {
                    items: versions.into_iter().map(configuration).collect(),
                    next_after: None,
                    revision: revision.into(),
                }),
                Some(Answer::Fails(error)) => Err(error),
                Some(Answer::Batch { .. }) => panic!("a list was asked"),
                None => pending().await,
            }
        }
        .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        _kind: ItemKind,
        revision: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<ItemBatch, SourceError>> {
        let revision = revision.number;
        let answer = self.next(Question::Watch { revision, wait });
        async move {
            match answer {
                Some(Answer::Batch { versions, revision }) => Ok(ItemBatch {
                    is_whole: versions.is_empty(),
                    changes: versions
                        .into_iter()
                        .map(|version| ItemChange::Present(configuration(version)))
                        .collect(),
                    revision: revision.into(),
                }),
                Some(Answer::Fails(error)) => Err(error),
                Some(Answer::Page { .. }) => panic!("a watch was asked"),
                None => pending().await,
            }
        }
        .boxed_local()
    }
}

/// Version of the configuration that a node has.
pub fn version(gateway: &Gateway) -> Option<u64> {
    let state = gateway.state();
    state.table.as_ref().map(|table| table.version())
}

/// The source does not answer.
pub fn unavailable() -> Answer {
    Answer::Fails(SourceError::Unavailable {
        detail: "scripted".to_owned(),
    })
}
