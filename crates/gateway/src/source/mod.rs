//! Where the configuration, the list of engines and the named weights come from.

mod backoff;
mod catalogue_source;
mod change_log;
mod consistency;
mod continuation_store;
mod copy_prober;
mod follower;
mod freshness_prober;
mod item;
mod item_kind;
mod item_page;
mod lease_store;
mod list;
mod lists;
mod poison_store;
mod progress;
mod questions;
mod release_store;
mod replica;
mod revision;
mod source_error;
mod steadiness;

pub use backoff::Backoff;
pub use catalogue_source::CatalogueSource;
pub use change_log::{CatchUp, ChangeLog};
pub use consistency::Consistency;
pub use continuation_store::{ContinuationStore, StoreWrite, StoredVersions, VersionList};
pub use follower::{FollowSettings, follow};
pub use freshness_prober::keep_fresh;
pub use item::{Item, ItemChange, NamedWeights};
pub use item_kind::ItemKind;
pub use item_page::{ItemBatch, ItemPage};
pub use lease_store::LeaseStore;
pub use list::List;
pub use poison_store::{PoisonStore, RecordWrite, StoredRecord};
pub use release_store::{
    OrderedRelease, Recorded, ReleaseBatch, ReleaseChange, ReleaseList, ReleaseStore,
};
pub use replica::{Replica, Replicas};
pub use revision::Revision;
pub use source_error::SourceError;
pub use steadiness::Steadiness;
