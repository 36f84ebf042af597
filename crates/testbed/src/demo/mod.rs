//! The demonstration: a whole deployment over real sockets serves a scenario's requests, and every
//! answer is checked against what the back ends must have said.

mod call;
mod call_end;
mod call_plan;
mod call_sequence;
mod caller;
pub mod chaos;
mod demo_error;
mod demo_options;
mod demo_report;
mod demo_run;
mod promise_check;
mod stream_text;
mod whole_text;

pub use call::{Call, CallWork};
pub use call_end::{CallEnd, CallRecord};
pub use call_plan::plan_calls;
pub use caller::Caller;
pub use demo_error::DemoError;
pub use demo_options::DemoOptions;
pub use demo_report::DemoReport;
pub use demo_run::run_demo;
pub use promise_check::check_promises;
