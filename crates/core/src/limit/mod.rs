//! Limits of tenants, held over all router processes together.
//!
//! A limit is split over a few banks (the tenant's group of keepers). A [`LimitBank`] hands out
//! tickets from its part, and a [`LimitBorrower`] in each router process spends only tickets it
//! has, so the limit holds however the network is cut. Pairs of process and tenant without traffic
//! exchange nothing. After the idea of moved quota in kuilt BoundedCounter;
//! `docs/design/tenant-limits.md` compares it with a static split and a central count.

mod bank_account;
mod bank_authority;
mod borrower_account;
mod limit_ask;
mod limit_bank;
mod limit_bank_event;
mod limit_borrower;
mod limit_cost;
mod limit_decision;
mod limit_grant;
mod limit_message;
mod limit_send;
mod limit_settings;
mod share;
mod token_bucket;

pub use limit_ask::LimitAsk;
pub use limit_bank::LimitBank;
pub use limit_bank_event::LimitBankEvent;
pub use limit_borrower::LimitBorrower;
pub use limit_cost::LimitCost;
pub use limit_decision::LimitDecision;
pub use limit_grant::LimitGrant;
pub use limit_message::LimitMessage;
pub use limit_send::LimitSend;
pub use limit_settings::LimitSettings;
pub use share::{bank_group, share_of};
pub use token_bucket::TokenBucket;
