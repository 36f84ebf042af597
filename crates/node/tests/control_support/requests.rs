//! Requests that tests send.

use ryerouter_wire::generated::v1;

pub fn create_tenant(name: &str, change_id: &str) -> v1::CreateTenantRequest {
    v1::CreateTenantRequest {
        tenant: Some(v1::Tenant {
            name: name.to_owned(),
            weight: 1,
            ..v1::Tenant::default()
        }),
        options: Some(write_options(0, change_id)),
    }
}

pub fn write_options(expected_version: u64, change_id: &str) -> v1::WriteOptions {
    v1::WriteOptions {
        expected_version,
        change_id: change_id.to_owned(),
        dry_run: false,
        author: "test".to_owned(),
    }
}
