//! Load shedding for a pool that many nodes share.
//!
//! Every node measures, by urgency, what its callers ask of a pool, what engines begin and what waits in them, and the
//! nodes exchange these figures some times a second. From the sums a node computes the share of the work asked for
//! that engines can begin in time, and refuses the rest before it is sent anywhere. It controls a share rather than a
//! number of requests, so that nodes that know the same decide alike without any of them counting for all; see
//! `docs/design/admission.md`.

mod backlog;
mod capacity;
mod class;
mod load;
mod outlook;
mod peers;
mod pool;
mod request;
mod shedder;
mod tenant_mix;
mod urgency;
mod usage;
mod verdict;

pub use backlog::{Backlog, Ticket};
pub use capacity::Capacity;
pub use load::Load;
pub use outlook::Outlook;
pub use peers::Peers;
pub use pool::Pool;
pub use request::Request;
pub use shedder::Shedder;
pub use tenant_mix::TenantMix;
pub use urgency::Urgency;
pub use usage::Usage;
pub use verdict::Verdict;
