//! Machines that call the object API.

/// Machines inside a control state that call the object API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreOwner {
    /// Operators' changes.
    Proposals,
    /// The reader of the change log.
    LogReader,
    /// The writer of snapshots.
    Compactor,
    /// The holder of the director lease.
    Lease,
}
