//! Scenario files: a deployment, its load and what fails in it.
//!
//! The format is TOML; `blue_mahoe.toml` beside this file is the documented example. All sizes are
//! in the unit that the field's name ends with.

mod built_in;
mod data_centre_spec;
mod fault_spec;
mod item_spec;
mod load_report_spec;
mod model_pool_spec;
mod network_spec;
mod range_spec;
mod request_class_spec;
mod scenario_document;
mod scenario_error;
mod service_pool_spec;
mod tenant_spec;

#[cfg(test)]
mod scenario_tests;

pub use built_in::BuiltIn;
pub use data_centre_spec::DataCentreSpec;
pub use fault_spec::FaultSpec;
pub use item_spec::ItemSpec;
pub use load_report_spec::LoadReportSpec;
pub use model_pool_spec::ModelPoolSpec;
pub use network_spec::NetworkSpec;
pub use range_spec::RangeSpec;
pub use request_class_spec::{ModelWork, RequestClassSpec, RequestWork};
pub use scenario_document::Scenario;
pub use scenario_error::{FieldError, ScenarioError};
pub use service_pool_spec::ServicePoolSpec;
pub use tenant_spec::TenantSpec;
