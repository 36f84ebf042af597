//! Accepts a request: reads its body, finds its route and checks the caller's key. The body of a request without a route
//! or a known key is not kept.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use ryerouter_core::Timestamp;
use slog::warn;
use tokio::task::spawn_local;

use super::accepted_request::AcceptedRequest;
use super::body_error::BodyError;
use super::body_reader::BodyReader;
use super::hop_by_hop_headers::remove_hop_by_hop;
use crate::catalogue::{Route, RoutingTable, Tenant};
use crate::gateway::Gateway;
use crate::memory::{BodyShortage, Purpose};
use crate::request::{CallerRequest, Refusal, RefusalReason};

/// Retry-after time while this node has no configuration, an unconfirmed one, or one whose route has no pool: the next
/// configuration takes about this long to arrive.
const CONFIGURATION_RETRY: Duration = Duration::from_millis(300);
/// Retry-after time when the configuration is unconfirmed because this node is isolated: callers find other nodes,
/// which can serve at once.
const OTHER_NODE_RETRY: Duration = Duration::from_millis(50);
/// Retry-after time when there is no memory for a body; other nodes may have some.
const MEMORY_RETRY: Duration = Duration::from_millis(500);

/// Reads the body of a request whose head has been parsed, and finds its route, tenant and pool.
pub(super) async fn accept(
    gateway: &Rc<Gateway>,
    caller: CallerRequest,
    head: Parts,
    body: Incoming,
    arrived_at: Timestamp,
) -> Result<AcceptedRequest, Refusal> {
    let body = match body.is_end_stream() {
        true => Bytes::new(),
        false => {
            let reader = body_reader(gateway, &caller, &head, arrived_at);
            read_body(gateway, &caller, &head, body, reader).await?
        }
    };
    let table = gateway.state().table.clone().ok_or_else(|| {
        Refusal::new(
            RefusalReason::NoConfiguration,
            "no configuration received yet",
        )
        .with_retry_after(CONFIGURATION_RETRY)
    })?;
    let route = find_route(gateway, &table, &head)?;
    let tenant = find_tenant(gateway, &table, &route, &caller)?;
    // A stream goes on in the pool that began it.
    let drawn_by = match caller.first_request_id() {
        "" => &caller.id,
        first => first,
    };
    let pool = route.pool_of(drawn_by).cloned().ok_or_else(|| {
        Refusal::new(RefusalReason::NoEngine, "route has no pool")
            .with_retry_after(CONFIGURATION_RETRY)
    })?;
    let timeout = request_timeout(&caller, &route);
    let mut headers = head.headers;
    remove_hop_by_hop(&mut headers);
    let uri = head.uri.path_and_query().cloned();
    Ok(AcceptedRequest {
        caller,
        method: head.method,
        uri: uri.map_or(head.uri, Into::into),
        headers,
        body,
        pool,
        tenant,
        route,
        configuration_version: table.version(),
        arrived_at,
        deadline: arrived_at.after(timeout),
        digest: OnceCell::new(),
        part_digests: OnceCell::new(),
    })
}

/// Reads the body of a request that its head does not rule out. A refusal that comes before the end of the body is
/// given at once, and the rest is discarded behind it.
async fn read_body(
    gateway: &Gateway,
    caller: &CallerRequest,
    head: &Parts,
    mut body: Incoming,
    reader: BodyReader,
) -> Result<Bytes, Refusal> {
    if let Some(refusal) = refusal_by_head(gateway, caller, head) {
        reader.discard(&mut body).await?;
        return Err(refusal);
    }
    let announced = body.size_hint().exact();
    let refusal = match reader.read(&mut body, gateway.memory()).await {
        Ok(bytes) => return Ok(bytes),
        Err(BodyError::Refused(refusal)) => return Err(refusal),
        Err(BodyError::Announced(refusal)) => refusal,
        Err(BodyError::Shortage(shortage)) => no_memory(gateway, caller, announced, shortage),
    };
    // The request has been refused, whatever becomes of the rest.
    spawn_local(async move { drop(reader.discard(&mut body).await) });
    Err(refusal)
}

/// The refusal of a request that has no route, or whose caller has no valid key.
fn refusal_by_head(gateway: &Gateway, caller: &CallerRequest, head: &Parts) -> Option<Refusal> {
    let table = gateway.state().table.clone()?;
    let tenant = find_route(gateway, &table, head)
        .and_then(|route| find_tenant(gateway, &table, &route, caller));
    let by_head = [RefusalReason::NoRoute, RefusalReason::UnknownKey];
    // Other reasons may have passed once the body is there.
    tenant
        .err()
        .filter(|refusal| by_head.contains(&refusal.reason))
}

fn no_memory(
    gateway: &Gateway,
    caller: &CallerRequest,
    announced: Option<u64>,
    shortage: BodyShortage,
) -> Refusal {
    let is_short = announced.is_some_and(|bytes| {
        usize::try_from(bytes).is_ok_and(|bytes| Purpose::body(bytes) == Purpose::ShortBody)
    });
    let length = if is_short { "short" } else { "long" };
    let refused = &gateway.metrics().bodies_refused;
    refused.with_label_values(&[length]).inc();
    if let Some(left_out) = gateway.memory_sampler().admit(gateway.clock().now()) {
        let memory = gateway.memory();
        warn!(gateway.log(), "body_not_admitted"; "request" => &caller.id, "why" => %shortage,
            "bytes" => announced, "held" => memory.held(), "waiting" => memory.waiting(),
            "left_out" => left_out);
    }
    let refusal = Refusal::new(
        RefusalReason::NoMemory,
        format!("body not read: {shortage}"),
    );
    refusal.with_retry_after(MEMORY_RETRY)
}

/// Returns a reader with the limits for this body. The body must be complete before the request times out, since it is
/// of no use later. Without a route the limit is the time for which a caller may be idle. Both times count from the
/// head.
fn body_reader(
    gateway: &Gateway,
    caller: &CallerRequest,
    head: &Parts,
    arrived_at: Timestamp,
) -> BodyReader {
    let table = gateway.state().table.clone();
    let limits = table.as_ref().map(|table| table.limits().clone());
    let limits = limits.unwrap_or_default();
    let route = table.and_then(|table| find_route(gateway, &table, head).ok());
    let (time, late_reason) = match route {
        Some(route) => (
            request_timeout(caller, &route),
            RefusalReason::DeadlineNotRun,
        ),
        None => (limits.idle_timeout, RefusalReason::BodyTooSlow),
    };
    BodyReader {
        max_bytes: limits.body_bytes,
        idle_timeout: limits.idle_timeout,
        deadline: gateway.clock().instant(arrived_at.after(time)),
        late_reason,
    }
}

/// The caller's timeout, limited by that of the route.
fn request_timeout(caller: &CallerRequest, route: &Route) -> Duration {
    caller.timeout.unwrap_or(route.timeout).min(route.timeout)
}

fn find_route(gateway: &Gateway, table: &RoutingTable, head: &Parts) -> Result<Rc<Route>, Refusal> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let path = head.uri.path();
    table.route(host, path).cloned().ok_or_else(|| {
        let detail = format!("no route for host '{host}' and path '{path}'");
        confirmed(gateway, Refusal::new(RefusalReason::NoRoute, detail))
    })
}

fn find_tenant(
    gateway: &Gateway,
    table: &RoutingTable,
    route: &Route,
    caller: &CallerRequest,
) -> Result<Option<Rc<Tenant>>, Refusal> {
    if route.is_public || !gateway.requires_keys(table) {
        return Ok(None);
    }
    if let Some(limit) = gateway.settings().max_unconfirmed_age {
        check_proof(gateway, limit)?;
    }
    if gateway.starts_with_old_configuration() {
        let detail = "another node has a newer configuration";
        let refusal = Refusal::new(RefusalReason::ConfigurationUnproven, detail);
        return Err(refusal.with_retry_after(OTHER_NODE_RETRY));
    }
    let tenant = caller.key.as_ref().and_then(|key| table.tenant_of(key));
    tenant.cloned().map(Some).ok_or_else(|| {
        let detail = match caller.key {
            Some(_) => "API key is unknown",
            None => "API key is missing",
        };
        confirmed(gateway, Refusal::new(RefusalReason::UnknownKey, detail))
    })
}

/// A refusal for good, after which callers don't come back, unless the configuration that it rests on may have been
/// replaced for longer than a new one takes to be in force: then they are told to come back.
fn confirmed(gateway: &Gateway, refusal: Refusal) -> Refusal {
    let limit = gateway.settings().propagation_limit;
    match check_proof(gateway, limit) {
        Ok(()) => refusal,
        Err(unproven) => Refusal {
            detail: format!("{refusal}; {}", unproven.detail),
            ..unproven
        },
    }
}

/// Checks that the configuration was confirmed to be current within `limit`.
fn check_proof(gateway: &Gateway, limit: Duration) -> Result<(), Refusal> {
    let now = gateway.clock().now();
    let freshness = gateway.state().freshness();
    if freshness.is_within(limit, now) {
        return Ok(());
    }
    let age = freshness.age(now).map_or(0, |age| age.as_millis());
    let detail = format!("configuration not confirmed current for {age} ms");
    let wait = match gateway.is_isolated() {
        true => OTHER_NODE_RETRY,
        false => CONFIGURATION_RETRY,
    };
    Err(Refusal::new(RefusalReason::ConfigurationUnproven, detail).with_retry_after(wait))
}
