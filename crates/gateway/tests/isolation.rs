//! Cached prefixes of tenants that are isolated while others use what they have cached.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hyper::header::HeaderValue;
use ryerouter_core::identity::TenantName;
use ryerouter_gateway::catalogue::{
    CacheScope, CallerLimits, PoolProfile, RequestKind, Route, RoutingTable, Tenant,
};
use support::gateway_bench::{GatewayBench, configure, run};
use support::records::{engine, model_table, route, tenant};
use support::scripted_engine::{ScriptedEngine, Step};
use support::test_dialect::{ID, KEY, PARTS, SALT};
use yare::parameterized;

const OTHER: &str = "tenant-2";
const OTHER_KEY: &str = "key-2";
const WEIGHTS: u64 = 1;

/// A configuration with these tenants; the names of isolated ones end with `!`.
fn configuration(version: u64, names: &[&str]) -> RoutingTable {
    let tenants = names.iter().enumerate().map(|(index, name)| Tenant {
        name: TenantName::new(name.trim_end_matches('!')),
        keys: vec![format!("key-{}", index + 1)],
        is_isolated: name.ends_with('!'),
        ..tenant()
    });
    let tenants = Some(tenants.collect());
    let limits = CallerLimits::default();
    RoutingTable::new(
        version,
        vec![private()],
        pools(),
        Vec::new(),
        tenants,
        limits,
    )
}

fn private() -> Route {
    Route {
        is_public: false,
        ..route(RequestKind::Safe)
    }
}

fn pools() -> Vec<PoolProfile> {
    model_table(Vec::new()).pools().cloned().collect()
}

fn salt(table: &RoutingTable, tenant: &str) -> String {
    let scope = table.cache_scope(Some(&TenantName::new(tenant)));
    scope.salt(WEIGHTS)
}

/// Tenants whose requests have cached a prefix, by salt.
type Cached = BTreeMap<String, BTreeSet<&'static str>>;

fn send(cached: &mut Cached, names: &[&'static str], version: u64) {
    let table = configuration(version, names);
    for name in names {
        let name = name.trim_end_matches('!');
        let makers = cached.entry(salt(&table, name)).or_default();
        makers.insert(name);
    }
}

/// A prefix that was cached while a tenant shared with others outlived the configuration that isolated it. After each
/// of these configurations, of which nodes may also still have the one before.
#[parameterized(
    isolated = { &[&["a", "b"], &["a!", "b"]] },
    back_and_forth = { &[&["a!", "b"], &["a", "b"], &["a!", "b"], &["a", "b"], &["a!", "b"]] },
    one_after_the_other = { &[&["a", "b", "c"], &["a!", "b", "c"], &["a!", "b!", "c"], &["a", "b!", "c"]] },
    exchanged = { &[&["a!", "b", "c"], &["a", "b!", "c"], &["a!", "b", "c"]] },
    all = { &[&["a", "b"], &["a!", "b!"], &["a", "b"], &["a!", "b!"]] },
    removed_and_back = { &[&["a", "b"], &["b"], &["a!", "b"], &["b"], &["a!", "b"]] },
    name_like_another_salt = { &[&["a", "~none", "w1"], &["a!", "~none!", "w1"]] },
)]
fn cached_prefix_is_not_shared_with_an_isolated_tenant(configurations: &[&[&'static str]]) {
    let mut cached = Cached::new();
    for (index, names) in configurations.iter().enumerate() {
        let version = index as u64 + 1;
        if index > 0 {
            send(&mut cached, configurations[index - 1], version - 1);
        }
        let table = configuration(version, names);
        let isolated: Vec<_> = names
            .iter()
            .filter_map(|name| name.strip_suffix('!'))
            .collect();
        for user in names.iter().map(|name| name.trim_end_matches('!')) {
            let makers = cached.get(&salt(&table, user)).into_iter().flatten();
            for maker in makers.filter(|maker| **maker != user) {
                let is_walled = isolated.contains(maker) || isolated.contains(&user);
                assert!(!is_walled, "{user} uses what {maker} cached in {version}");
            }
        }
        send(&mut cached, names, version);
    }
}

/// Prefixes would be computed again without need.
#[parameterized(
    key_added = { &["a!", "b", "c"], &["a!", "b", "c"] },
    tenant_added = { &["a!", "b", "c"], &["a!", "b", "c", "d"] },
    sharing_tenant_removed = { &["a!", "b", "c"], &["a!", "b"] },
    listed_in_another_order = { &["a!", "d!", "b"], &["d!", "b", "a!"] },
    nobody_is_isolated = { &["a", "b"], &["b", "c"] },
)]
fn cached_prefix_is_kept_when_nobody_is_isolated_or_released(before: &[&str], after: &[&str]) {
    let before = salt(&configuration(1, before), "b");
    assert_eq!(salt(&configuration(2, after), "b"), before);
}

#[test]
fn tenants_that_are_not_isolated_share_with_each_other_and_with_public_routes() {
    let table = configuration(1, &["a!", "b", "c"]);
    assert_eq!(salt(&table, "b"), salt(&table, "c"));
    let public = table.cache_scope(None).salt(WEIGHTS);
    assert_eq!(salt(&table, "b"), public);
    assert_ne!(salt(&table, "b"), table.cache_scope(None).salt(WEIGHTS + 1));
}

/// Nodes of a former build use the same salt while nobody is isolated.
#[test]
fn salt_is_that_of_former_builds_while_nobody_is_isolated() {
    assert_eq!(CacheScope::default().salt(3), "w3");
    assert_eq!(salt(&configuration(1, &["a!", "b"]), "a"), "w1.a");
}

/// A header field can't hold such a salt, and engines share what they cache without one.
#[parameterized(
    line_break = { "a\nb" },
    blank_at_the_end = { "a " },
    ascii = { "a" },
    no_ascii = { "名" },
)]
fn salt_of_any_name_is_a_header_value_of_its_own(name: &str) {
    let salt = salt(&configuration(1, &[&format!("{name}!"), "b"]), name);
    let value = HeaderValue::from_str(&salt).expect("header value");
    assert_eq!(value.as_bytes().trim_ascii(), salt.as_bytes());
    let others = ["a", "a b", "b", "名"]
        .iter()
        .filter(|other| **other != name);
    for other in others {
        let scope = CacheScope::Tenant(TenantName::new(*other));
        assert_ne!(scope.salt(WEIGHTS), salt);
    }
}

/// One tenant listed twice shares nothing if either entry isolates it.
#[parameterized(isolated_first = { &["a!", "a", "b"] }, isolated_last = { &["a", "a!", "b"] })]
fn tenant_listed_twice_is_isolated_if_either_entry_says_so(names: &[&str]) {
    let table = configuration(1, names);
    assert_ne!(salt(&table, "a"), salt(&table, "b"));
}

async fn ask(bench: &GatewayBench, id: &str) -> u16 {
    let headers = [(ID, id), (KEY, OTHER_KEY), (PARTS, "shared,own")];
    let answer = bench.call("POST", &headers, "").await;
    answer.status.as_u16()
}

fn salts(engines: &[&ScriptedEngine]) -> Vec<String> {
    let arrivals = engines
        .iter()
        .flat_map(|engine| engine.arrivals.borrow().clone());
    let mut arrivals: Vec<_> = arrivals.collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let salts = arrivals.iter().filter_map(|arrival| arrival.header(SALT));
    salts.collect()
}

/// Requests of another tenant ran on prefixes of a tenant that had been isolated.
#[test]
fn engine_is_sent_another_salt_once_a_tenant_is_isolated() {
    run(async {
        let (first, address) = ScriptedEngine::start([]).await;
        let engines = vec![engine("e1", address, WEIGHTS)];
        let shared = configuration(1, &["tenant-1", OTHER]);
        let bench = GatewayBench::start(Some(shared), engines).await;
        assert_eq!(ask(&bench, "r1").await, 200);
        configure(&bench.gateway, configuration(2, &["tenant-1!", OTHER]));
        assert_eq!(ask(&bench, "r2").await, 200);
        let salts = salts(&[&first]);
        assert_eq!(salts.len(), 2);
        assert_ne!(salts[0], salts[1]);
    });
}

/// A request that was admitted before a tenant was isolated was sent again under the salt of before.
#[parameterized(other_is_isolated = { &["tenant-1!", "tenant-2"] }, own_is_isolated = { &["tenant-1", "tenant-2!"] })]
fn retry_after_a_tenant_was_isolated_has_another_salt(after: &'static [&'static str]) {
    run(async move {
        let breaks = || [Step::CloseAfter(Duration::from_millis(300))];
        let (first, one) = ScriptedEngine::start(breaks()).await;
        let (second, two) = ScriptedEngine::start(breaks()).await;
        let engines = vec![engine("e1", one, WEIGHTS), engine("e2", two, WEIGHTS)];
        let shared = configuration(1, &["tenant-1", OTHER]);
        let bench = GatewayBench::start(Some(shared), engines).await;
        let isolating = async {
            tokio::select! {
                () = first.until_arrived(1) => second.clear_steps(),
                () = second.until_arrived(1) => first.clear_steps(),
            }
            configure(&bench.gateway, configuration(2, after));
        };
        let (status, ()) = tokio::join!(ask(&bench, "r1"), isolating);
        assert_eq!(status, 200);
        let salts = salts(&[&first, &second]);
        assert_eq!(salts.len(), 2);
        assert_ne!(salts[0], salts[1]);
    });
}
