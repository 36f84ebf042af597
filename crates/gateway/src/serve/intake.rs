//! Taking a request in: its head, its body, its route and its key.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use ryerouter_core::Timestamp;

use super::accepted_request::AcceptedRequest;
use super::body_reader::BodyReader;
use super::forwarded_headers::keep_forwarded;
use crate::catalogue::{Route, RoutingTable, Tenant};
use crate::gateway::Gateway;
use crate::request::{CallerRequest, Refusal, RefusalReason};

/// When to come back to a node that has no configuration yet, an unproven one, or one that leads
/// nowhere: the next one takes about this long to arrive.
const COME_BACK_AFTER: Duration = Duration::from_millis(300);
/// The same when this node is cut off: others serve at once, and callers find them.
const COME_BACK_ELSEWHERE: Duration = Duration::from_millis(50);

/// Checks a request whose head has been read, and reads its body.
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
            reader.read(body).await?
        }
    };
    let table = gateway.state().table.clone().ok_or_else(|| {
        Refusal::new(RefusalReason::NoConfiguration, "no configuration yet")
            .come_back_after(COME_BACK_AFTER)
    })?;
    let route = find_route(&table, &head)?;
    let tenant = find_tenant(gateway, &table, &route, &caller)?;
    let pool = route.pool_of(&caller.id).cloned().ok_or_else(|| {
        Refusal::new(RefusalReason::NoEngine, "route without a pool")
            .come_back_after(COME_BACK_AFTER)
    })?;
    let patience = patience(&caller, &route);
    let mut headers = head.headers;
    keep_forwarded(&mut headers);
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
        deadline: arrived_at.after(patience),
        digest: OnceCell::new(),
    })
}

/// The bounds of a body. It is of no use after the time that its route gives the request, which
/// counts from the head; one that leads nowhere has as long as a caller may be idle.
fn body_reader(
    gateway: &Gateway,
    caller: &CallerRequest,
    head: &Parts,
    arrived_at: Timestamp,
) -> BodyReader {
    let table = gateway.state().table.clone();
    let limits = table.as_ref().map(|table| table.limits().clone());
    let limits = limits.unwrap_or_default();
    let route = table.and_then(|table| find_route(&table, head).ok());
    let (time, late) = match route {
        Some(route) => (patience(caller, &route), RefusalReason::DeadlineNotRun),
        None => (limits.idle_timeout, RefusalReason::BodyTooSlow),
    };
    BodyReader {
        most_bytes: limits.body_bytes,
        longest_pause: limits.idle_timeout,
        deadline: gateway.clock().instant(arrived_at.after(time)),
        late,
    }
}

fn patience(caller: &CallerRequest, route: &Route) -> Duration {
    caller.patience.unwrap_or(route.timeout).min(route.timeout)
}

fn find_route(table: &RoutingTable, head: &Parts) -> Result<Rc<Route>, Refusal> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let path = head.uri.path();
    table.route(host, path).cloned().ok_or_else(|| {
        let detail = format!("host '{host}', path '{path}': no such route");
        Refusal::new(RefusalReason::NoRoute, detail)
    })
}

fn find_tenant(
    gateway: &Gateway,
    table: &RoutingTable,
    route: &Route,
    caller: &CallerRequest,
) -> Result<Option<Rc<Tenant>>, Refusal> {
    if route.is_public || !table.has_tenants() {
        return Ok(None);
    }
    let now = gateway.clock().now();
    if let Some(limit) = gateway.settings().max_unconfirmed_age {
        let freshness = gateway.state().freshness();
        if !freshness.is_within(limit, now) {
            let age = freshness.age(now).map_or(0, |age| age.as_millis());
            let detail = format!("configuration not proven current for {age} ms");
            let refusal = Refusal::new(RefusalReason::ConfigurationUnproven, detail);
            let wait = match gateway.is_cut_off() {
                true => COME_BACK_ELSEWHERE,
                false => COME_BACK_AFTER,
            };
            return Err(refusal.come_back_after(wait));
        }
    }
    let tenant = caller.key.as_ref().and_then(|key| table.tenant_of(key));
    tenant.cloned().map(Some).ok_or_else(|| {
        let detail = match caller.key {
            Some(_) => "key: unknown",
            None => "key: missing",
        };
        Refusal::new(RefusalReason::UnknownKey, detail)
    })
}
