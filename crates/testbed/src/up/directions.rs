//! How to use a running deployment.

use crate::cluster::{Cluster, tenant_key};
use crate::scenario::Scenario;

/// Addresses, keys and first commands of a running deployment.
pub fn directions(scenario: &Scenario, cluster: &Cluster) -> String {
    let mut lines = vec![format!("{} is up.", scenario.name), String::new()];
    lines
        .push("router nodes          callers               operators             peers".to_owned());
    for router in cluster.routers.iter().flatten() {
        let addresses = router.addresses();
        lines.push(format!(
            "  {:<20}{:<22}{:<22}{}",
            router.place().name.to_string(),
            addresses.callers.to_string(),
            addresses.operators.to_string(),
            addresses.peers
        ));
    }
    lines.push(String::new());
    lines.push("tenants and API keys".to_owned());
    for tenant in &scenario.tenants {
        lines.push(format!("  {:<20}{}", tenant.name, tenant_key(&tenant.name)));
    }
    lines.push(String::new());
    lines.extend(platform(cluster));
    lines.push(String::new());
    lines.extend(first_commands(scenario, cluster));
    lines.push(String::new());
    lines.push("Ctrl-C or SIGTERM stops everything as planned.".to_owned());
    lines.join("\n")
}

fn platform(cluster: &Cluster) -> [String; 4] {
    let stand_ins = &cluster.stand_ins;
    [
        format!("object API            {}", stand_ins.objects.address()),
        format!("machine list          {}", stand_ins.machines.address()),
        format!("KV store              {}", stand_ins.kept.address()),
        format!("weight store          {}", stand_ins.weights.address()),
    ]
}

fn first_commands(scenario: &Scenario, cluster: &Cluster) -> Vec<String> {
    let Some(router) = cluster.routers.iter().flatten().next() else {
        return Vec::new();
    };
    let addresses = router.addresses();
    let callers = addresses.callers;
    let operators = addresses.operators;
    let key = scenario
        .tenants
        .first()
        .map(|tenant| tenant_key(&tenant.name));
    let key = key.unwrap_or_default();
    let model = &scenario.model_pool.model;
    let service = &scenario.service_pool.name;
    vec![
        format!(
            "curl -N http://{callers}/v1/chat/completions -H 'authorization: Bearer {key}' -H 'content-type: application/json' -d '{{\"model\":\"{model}\",\"stream\":true,\"max_tokens\":20,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
        ),
        format!(
            "curl http://{callers}/services/{service}/orders/1 -H 'authorization: Bearer {key}'"
        ),
        format!("ryectl --server {operators} status"),
    ]
}
