//! Kinds of resources as operators write them.

use derive_more::Display;

use super::ctl_error::CtlError;

/// Kind of a resource, ordered so that resources come after those they refer to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum ResourceKind {
    /// Tenants.
    #[display("tenant")]
    Tenant,
    /// Pools.
    #[display("pool")]
    Pool,
    /// Back ends.
    #[display("back-end")]
    BackEnd,
    /// Migration stages.
    #[display("stage")]
    Stage,
}

impl ResourceKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Tenant, Self::Pool, Self::BackEnd, Self::Stage];

    /// Reads a word, singular or plural.
    pub fn parse(word: &str) -> Result<Self, CtlError> {
        let singular = word.strip_suffix('s').unwrap_or(word).replace('_', "-");
        let singular = singular.replace("backend", "back-end");
        let mut kinds = Self::ALL.into_iter();
        kinds
            .find(|kind| kind.to_string() == singular)
            .ok_or_else(|| {
                let message =
                    format!("unknown kind {word:?}; expected tenant, pool, back-end or stage");
                CtlError::usage(message)
            })
    }
}
