//! What stands for a request and its repeats.

use bytes::Bytes;
use ryerouter_core::identity::TenantName;
use ryerouter_core::poison::Digest;
use ryerouter_gateway::poison::digest;
use yare::parameterized;

const HOST: &str = "shop.example";

fn of(caller: &str, host: &str, uri: &str, body: &str) -> Digest {
    let caller = (!caller.is_empty()).then(|| TenantName::new(caller));
    let body = Bytes::copy_from_slice(body.as_bytes());
    let uri = uri.parse().expect("path");
    digest(caller.as_ref(), host.as_bytes(), &uri, &body)
}

#[test]
fn repeat_has_the_same_digest() {
    assert_eq!(of("a", HOST, "/x", "body"), of("a", HOST, "/x", "body"));
}

#[parameterized(
    caller = { "b", HOST, "/x", "body" },
    no_caller = { "", HOST, "/x", "body" },
    host = { "a", "other.example", "/x", "body" },
    path = { "a", HOST, "/y", "body" },
    query = { "a", HOST, "/x?n=1", "body" },
    body = { "a", HOST, "/x", "body " },
    body_that_runs_into_the_path = { "a", HOST, "/xb", "ody" },
)]
fn another_request_has_another(caller: &str, host: &str, uri: &str, body: &str) {
    assert_ne!(of("a", HOST, "/x", "body"), of(caller, host, uri, body));
}

#[parameterized(
    short = { "\"12\"" },
    not_hexadecimal = { "\"zz000000000000000000000000000000\"" },
    number = { "12" },
)]
fn what_is_no_digest_is_not_read(text: &str) {
    assert!(serde_json::from_str::<Digest>(text).is_err());
}

#[test]
fn digest_is_read_as_it_was_told() {
    let told = of("a", HOST, "/x", "body");
    let text = serde_json::to_string(&told).expect("text");
    assert_eq!(text.len(), 34);
    assert_eq!(serde_json::from_str::<Digest>(&text).expect("digest"), told);
}
