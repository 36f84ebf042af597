//! Tells tenants by their API keys.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use ryerouter_core::identity::TenantName;

use crate::traffic::RoutingView;

use super::CallerError;

const SCHEME: &str = "Bearer ";

/// The tenant whose API key the request carries.
pub(crate) fn authenticate(
    headers: &HeaderMap,
    view: &RoutingView,
) -> Result<TenantName, CallerError> {
    // Without configuration no key is known to be wrong.
    if !view.is_configured() {
        return Err(CallerError::NotConfigured);
    }
    let value = headers.get(AUTHORIZATION).ok_or(CallerError::NoApiKey)?;
    let value = value.to_str().map_err(|_| CallerError::WrongApiKey)?;
    let scheme = value.get(..SCHEME.len()).unwrap_or_default();
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return Err(CallerError::NoApiKey);
    }
    let key = value[SCHEME.len()..].trim();
    let tenant = view.tenant_of_key(key);
    tenant.cloned().ok_or(CallerError::WrongApiKey)
}
