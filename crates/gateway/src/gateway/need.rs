//! What a node lacks before it serves.

use derive_more::Display;
use ryerouter_core::identity::PoolName;

/// What a node lacks before it serves.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Need {
    /// A configuration that is proved current.
    #[display("configuration")]
    Configuration,
    /// The first entries of the list of engines.
    #[display("first_engines")]
    FirstEngines,
    /// An engine of this pool, which a route names.
    #[display("engine_of_pool")]
    Pool(PoolName),
    /// News of another node, which may know what a copy of the source lacks.
    #[display("peers")]
    Peers,
    /// A configuration as new as another node's.
    #[display("newer_configuration")]
    NewerConfiguration,
    /// The changes that another node's list of engines has.
    #[display("newer_list")]
    NewerList,
}
