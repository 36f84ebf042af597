//! Events of a node's lifecycle.

/// What moves a node's lifecycle on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// A configuration is in force, or there is certainly none yet.
    ConfigurationKnown,
    /// The process was asked to stop.
    StopRequested,
    /// No request is in progress any more.
    TrafficEnded,
}
