//! What each command does.

mod apply;
mod completions;
mod context;
mod delete;
mod diff;
mod drain;
mod explain;
mod get;
mod key;
mod list;
mod progress;
mod reload;
mod resource_view;
mod stage;
mod status;
mod top;
mod watch;

pub use apply::apply;
pub use completions::completions;
pub use context::Context;
pub use delete::delete;
pub use diff::diff;
pub use drain::drain;
pub use explain::explain;
pub use get::get;
pub use key::key;
pub use list::list;
pub use progress::progress;
pub use reload::reload;
pub use stage::stage;
pub use status::status;
pub use top::top;
pub use watch::watch;
