//! Puts requests to plain services together.

use hyper::Method;
use hyper::http::request::Parts;
use ryerouter_core::Timestamp;
use ryerouter_core::dispatch::RequestProfile;
use ryerouter_core::identity::{RequestId, TenantName};
use ryerouter_core::prompt::PrefixChain;

use crate::caller::{CallerError, CallerOptions, HeldBody, Intake};
use crate::engine::{PayloadKind, RequestPayload};

use super::{ServiceRoute, request_headers};

/// Puts a checked request to a plain service together.
///
/// A method that HTTP does not call idempotent is taken to run at most once unless the caller
/// allows repeating it.
pub(crate) fn service_intake(
    parts: &Parts,
    body: HeldBody,
    route: ServiceRoute,
    tenant: TenantName,
    request: &RequestId,
    arrived_at: Timestamp,
) -> Result<Intake, CallerError> {
    let repeatable = is_idempotent(&parts.method);
    let options = CallerOptions::parse(&parts.headers, arrived_at, repeatable)?;
    let payload = RequestPayload {
        kind: PayloadKind::Service,
        method: parts.method.clone(),
        path: route.path,
        headers: request_headers(&parts.headers),
        body,
        request: request.clone(),
        tenant: tenant.clone(),
        priority: options.priority,
        prefix_chain: None,
        needs_fresh_connection: options.runs_at_most_once(),
        dispatch_before: None,
    };
    let profile = RequestProfile {
        request: request.clone(),
        tenant,
        pool: route.pool,
        prefix: PrefixChain::default(),
        prompt_tokens: 0,
        expected_output_tokens: 0,
        priority: options.priority,
        deadline: options.deadline,
        repeatability: options.repeatability,
        arrived_at,
    };
    Ok(Intake {
        profile: Box::new(profile),
        payload,
        needs_claim: options.needs_claim,
    })
}

fn is_idempotent(method: &Method) -> bool {
    // As HTTP semantics define it (RFC 9110, section 9.2.2).
    method.is_idempotent()
}
