//! Stand-in for the rate-limited weight store.

mod handler;
mod weight_load_profile;
mod weight_store;

pub use weight_load_profile::WeightLoadProfile;
pub use weight_store::WeightStore;
