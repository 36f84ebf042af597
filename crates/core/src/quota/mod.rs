//! Tenant limits, enforced over all nodes by exchanging their traffic rates.
//!
//! Every node keeps an [`Account`] of each tenant that has a limit. The account measures what callers
//! ask for and what this node admits, and receives the same rates from the other nodes some hundred
//! milliseconds later; running totals beside the rates settle what the rates misstate
//! ([`Settlement`]), and an increase of a node's own traffic stands for that of the others until they
//! report it ([`Surge`]). It admits the share of the requests with which all nodes together admit what
//! the limit allows. It admits a share of the requests rather than a part of the limit, because a
//! node's part may be smaller than one request. The design follows the global random drop of
//! Raghavan et al., "Cloud control with distributed rate limiting"; `docs/design/tenant-limits.md`
//! compares it with a static split, a central count and the permits of [`crate::limit`].

mod account;
mod limit;
mod meter;
mod peer_usage;
mod peers;
mod request;
mod settlement;
mod surge;
mod surge_detector;
mod tolerance;
mod usage;
mod verdict;

pub use account::Account;
pub use limit::Limit;
pub use meter::Meter;
pub use peer_usage::PeerUsage;
pub use peers::Peers;
pub use request::Request;
pub use settlement::Settlement;
pub use surge::Surge;
pub use tolerance::Tolerance;
pub use usage::Usage;
pub use verdict::Verdict;
