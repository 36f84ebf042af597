//! Settings of a router process: a TOML file with overrides from flags, checked as a whole.
//!
//! [`FIELDS`] describes every field; reading, checking, overriding, the reference page and the
//! list of what a reload may change all follow that one table.

mod checked_values;
mod document;
mod field;
mod field_default;
mod field_kind;
mod fields;
mod limit_settings;
mod listen_settings;
mod load;
mod log_level;
mod node_settings;
mod operator_settings;
mod peer_settings;
mod platform_settings;
mod setting_override;
mod setting_value;
mod settings_error;
mod settings_fault;
mod suggestion;
mod tls_files;
mod tls_settings;

pub use field::Field;
pub use field_default::FieldDefault;
pub use field_kind::FieldKind;
pub use fields::FIELDS;
pub use limit_settings::LimitSettings;
pub use listen_settings::ListenSettings;
pub use load::{load, parse};
pub use log_level::LogLevel;
pub use node_settings::NodeSettings;
pub use operator_settings::OperatorSettings;
pub use peer_settings::PeerSettings;
pub use platform_settings::PlatformSettings;
pub use setting_override::SettingOverride;
pub use setting_value::SettingValue;
pub use settings_error::SettingsError;
pub use settings_fault::SettingsFault;
pub use tls_files::TlsFiles;
pub use tls_settings::TlsSettings;
