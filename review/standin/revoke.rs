//! CONFIG: a key that was taken away while open connections to the store are silent.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::process::{Deployment, Node, until_ready};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::{Verdict, free_port, http, own_ip};

/// Bounds of the site.
const REVOKE: Duration = Duration::from_secs(5);
/// Routes of a configuration: some 0.6 MB, where `value_bytes` allows 1 MiB.
const ROUTES: usize = 3_000;
const ZONES: [&str; 3] = ["half-way-tree", "new-kingston", "port-royal"];
/// Of three nodes: a share of 0.67.
const SILENCED_NODES: usize = 2;
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Requests go on for so long after the key was taken away.
const AFTER_REVOKE: Duration = Duration::from_secs(20);
const BOUNDS: &str = "seedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\n\
    drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\ndowngradeSlackMs = 250\n\
    outerMs = 5000\nrevokeFailClosed = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\n\
    budgetWindowS = 10\nretryFloor = 54\nrecoverS = 12\ntransitMs = 120\nagainS = 10\n\
    requireFencing = true\nleaseMs = 3000\nthawMs = 300\nversionMs = 8000\nversionAllMs = 11000\n\
    ttl_max_s = 5\n";

pub fn play(root: &Path, folder: &Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Arc::new(Record::new(folder)?);
    let store = Store::start(&format!("{}:0", own_ip(9)))?;
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let runner = start_runner(&record, &runs)?;
    store.put("config", "main", &configuration(2, &["key-1", "key-2"]));
    store.put("servers", "i-1", &format!(
        r#"{{"service":"storefront","address":"{runner}","zone":"half-way-tree","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"callSeq":0}}"#
    ));
    let ips: Vec<_> = (1..=3).map(own_ip).collect();
    let ports = [(); 4].map(|()| free_port(&ips));
    let mut proxies = Vec::new();
    let mut nodes = Vec::new();
    for index in 0..ips.len() {
        let proxy = Proxy::start(&format!("{}:0", own_ip(20 + index as u8)), store.address)?;
        let deployment = Deployment {
            root,
            folder,
            store: proxy.address,
            zones: &ZONES,
            ports,
            contracts: r#"contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]"#,
            limits: "cpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n",
            bounds: BOUNDS,
        };
        nodes.push(deployment.start_one(index, &ips[index], &ips)?);
        proxies.push(proxy);
    }
    record.line(format!("nodes at {ips:?}, ports {ports:?}"));
    if !until_ready(&nodes, Duration::from_secs(20)) {
        record.line("the nodes did not become ready");
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(4));
    put(&store, &record, 5, &["key-1", "key-2"]);
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        for (index, proxy) in proxies.iter().take(SILENCED_NODES).enumerate() {
            let (count, open) = proxy.silence(&["/api/objects/config?watch=", "waitMs=15000"]);
            record.line(format!(
                "{count} of {open} open connections of front-{} to the store fall silent",
                index + 1
            ));
        }
    }
    thread::sleep(Duration::from_millis(500));
    put(&store, &record, 7, &["key-1", "key-2"]);
    thread::sleep(Duration::from_secs(1));
    put(&store, &record, 8, &["key-2"]);
    record.line("key-1 is taken away, as the store has acknowledged");
    let revoked_at = record.now();
    let mut late = Vec::new();
    let mut refused = 0;
    let mut number = 0;
    while record.now() < revoked_at + AFTER_REVOKE {
        for (index, node) in nodes.iter().enumerate() {
            number += 1;
            let id = format!("q{number:05}");
            let sent_at = record.now();
            let status = call(node.front(), &id).unwrap_or_else(|error| format!("none: {error}"));
            record.line(format!("{id} with key-1 to front-{}: {status}", index + 1));
            refused += usize::from(status == "401");
            if sent_at > revoked_at + REVOKE {
                late.push((id, index, sent_at - revoked_at));
            }
        }
        thread::sleep(CALL_INTERVAL);
    }
    drop::<Vec<Node>>(nodes);
    let runs = runs.lock().unwrap();
    let broken: Vec<_> = late.iter().filter(|(id, _, _)| runs.contains(id)).collect();
    for (id, index, after) in &broken {
        record.line(format!(
            "CONFIG {id}: front-{} had it run with key-1, sent {:.3} s after that key was taken away",
            index + 1,
            after.as_secs_f64()
        ));
    }
    let summary = format!(
        "{} requests with key-1 more than 5 s after it was taken away, {} of them run; {refused} of {number} in all refused with 401",
        late.len(),
        broken.len()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(match (broken.is_empty(), refused) {
        (false, _) => Verdict::Broken,
        (true, 0) => Verdict::NotRun,
        (true, _) => Verdict::Held,
    })
}

fn put(store: &Store, record: &Record, version: u64, keys: &[&str]) {
    let text = configuration(version, keys);
    store.put("config", "main", &text);
    record.line(format!(
        "configuration {version} of {} bytes, keys {keys:?}, acknowledged",
        text.len()
    ));
}

fn configuration(version: u64, keys: &[&str]) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            r#"{{"name":"{name}","host":"shop.example","pathPrefix":"{prefix}","kind":"unsafe","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"storefront","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}"#
        )
    };
    let routes: Vec<_> = (0..ROUTES)
        .map(|number| route(&format!("r-{number}"), &format!("/shelf-{number}/")))
        .collect();
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"storefront","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"tenant-1","apiKeys":[{}],"priority":1,"isolated":false}}]}}"#,
        routes.join(","),
        keys.join(",")
    )
}

fn call(front: SocketAddr, id: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let head = format!(
        "POST /shelf-7/page HTTP/1.1\r\nHost: shop.example\r\nRyerouter-Request-Id: {id}\r\n\
         Ryerouter-Deadline-Ms: 4000\r\nAuthorization: Token key-1\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let answer = http::read_message(&mut BufReader::new(stream))?;
    let answer = answer.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    Ok(answer.second().to_owned())
}

fn start_runner(
    record: &Arc<Record>,
    runs: &Arc<Mutex<Vec<String>>>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(format!("{}:0", own_ip(11)))?;
    let address = listener.local_addr()?;
    let (record, runs) = (Arc::clone(record), Arc::clone(runs));
    http::serve(listener, move |message| {
        let name = ("Ryerouter-Instance-Id", "i-1");
        if message
            .field("ryerouter-expect-instance")
            .is_some_and(|expected| expected != "i-1")
        {
            return http::answer("421 Misdirected Request", &[name], b"");
        }
        let Some(id) = message.field("ryerouter-request-id") else {
            return http::answer("200 OK", &[name], b"{}");
        };
        record.line(format!("i-1 runs {id}"));
        runs.lock().unwrap().push(id.to_owned());
        let stamp = format!("i-1.{id}");
        let fields = [
            ("Ryerouter-Request-Id", id),
            ("Ryerouter-Server-Stamp", stamp.as_str()),
        ];
        http::answer("200 OK", &fields, b"page")
    });
    Ok(address)
}
