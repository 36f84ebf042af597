//! API keys of a test deployment.

/// The API key of a tenant; a test deployment has no secrets.
pub fn tenant_key(tenant: &str) -> String {
    format!("key-{tenant}")
}
