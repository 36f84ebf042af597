//! Limits of tenants, held over all nodes by what each tells of its traffic.
//!
//! Every node keeps an [`Account`] of each tenant that has a limit. It knows what it was asked for
//! and what it admitted itself, hears the same of the others some hundred milliseconds later, and
//! admits a share of the requests such that all nodes together admit what the limit allows. A share
//! of requests, and not a part of the limit, because a node's part may be smaller than one request.
//! After the global random drop of Raghavan et al., "Cloud control with distributed rate limiting";
//! `docs/design/tenant-limits.md` compares it with a static split, a central count and the tickets
//! of [`crate::limit`].

mod account;
mod limit;
mod meter;
mod peer_usage;
mod peers;
mod request;
mod tolerance;
mod usage;
mod verdict;

pub use account::Account;
pub use limit::Limit;
pub use meter::Meter;
pub use peer_usage::PeerUsage;
pub use peers::Peers;
pub use request::Request;
pub use tolerance::Tolerance;
pub use usage::Usage;
pub use verdict::Verdict;
