//! Items of the source.

use std::rc::Rc;

use ryerouter_core::identity::BackEndName;

use crate::catalogue::RoutingTable;
use crate::engines::EngineEntry;

/// The version of the weights of a model that engines should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedWeights {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}

/// An item of the source, translated.
#[derive(Debug, Clone)]
pub enum Item {
    /// The whole configuration.
    Configuration(Rc<RoutingTable>),
    /// The newest configuration, which can't be read: what is known is an older one.
    UnreadableConfiguration,
    /// One engine.
    Engine(EngineEntry),
    /// An entry of this name that can't be read: it names no engine, so one that it named before must
    /// get no more requests.
    Unusable(BackEndName),
    /// Weights that were named.
    Weights(NamedWeights),
}

/// A change of an item.
#[derive(Debug, Clone)]
pub enum ItemChange {
    /// It is there, or has changed.
    Present(Item),
    /// It is gone; its name in the source.
    Gone(String),
}
