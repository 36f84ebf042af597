//! The file that `apply` and `diff` take.

mod back_end_entry;
mod pool_entry;
mod resource_entry;
mod resource_file_reader;
mod stage_entry;
mod tenant_entry;

pub use resource_entry::ResourceEntry;
pub use resource_file_reader::ResourceFile;
