//! At-most-once execution over all router processes.
//!
//! A request that may run at most once is dispatched only after a majority of a small group of
//! router processes, the keepers, has granted a claim on its idempotency key. [`ClaimClient`]
//! requests the votes, [`ClaimKeeper`] votes and stores granted claims, and [`KeeperPlanner`]
//! selects the keepers. `docs/design/at-most-once.md` describes the design and its availability
//! cost.

mod claim_client;
mod claim_client_action;
mod claim_client_event;
mod claim_envelope;
mod claim_grant;
mod claim_id;
mod claim_keeper;
mod claim_keeper_event;
mod claim_message;
mod claim_outcome;
mod claim_record;
mod claim_release;
mod claim_roster;
mod claim_settings;
mod claim_verdict;
mod claim_vote;
mod epoch_confirmation;
mod expiry_queue;
mod keeper_group;
mod keeper_planner;
mod keeper_planner_action;
mod keeper_planner_event;
mod keeper_planner_settings;
mod keeper_selector;
mod key_digest;
mod key_time;
mod pending_claim;
mod pending_release;
mod record_coverage;
mod records_copy;
mod records_page;
mod records_request;
mod vote_request;

pub use claim_client::ClaimClient;
pub use claim_client_action::ClaimClientAction;
pub use claim_client_event::ClaimClientEvent;
pub use claim_envelope::ClaimEnvelope;
pub use claim_grant::ClaimGrant;
pub use claim_id::ClaimId;
pub use claim_keeper::ClaimKeeper;
pub use claim_keeper_event::ClaimKeeperEvent;
pub use claim_message::ClaimMessage;
pub use claim_outcome::ClaimOutcome;
pub use claim_record::ClaimRecord;
pub use claim_release::ClaimRelease;
pub use claim_roster::ClaimRoster;
pub use claim_settings::ClaimSettings;
pub use claim_verdict::ClaimVerdict;
pub use claim_vote::ClaimVote;
pub use epoch_confirmation::EpochConfirmation;
pub use keeper_group::KeeperGroup;
pub use keeper_planner::KeeperPlanner;
pub use keeper_planner_action::KeeperPlannerAction;
pub use keeper_planner_event::KeeperPlannerEvent;
pub use keeper_planner_settings::KeeperPlannerSettings;
pub use key_digest::KeyDigest;
pub use key_time::{issued_at, time_ordered_key};
pub use records_page::RecordsPage;
pub use records_request::RecordsRequest;
pub use vote_request::VoteRequest;
