//! Processes of the project, started with the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Client;

const DEPLOY_FILE: &str = "deploy/system.toml";
const START_LIMIT: Duration = Duration::from_secs(15);

/// All processes that were started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// The gateways of a small deployment, and the folder of their settings; all end with this value.
pub struct Gateways {
    pub fronts: Vec<SocketAddr>,
    folder: PathBuf,
    count: u8,
    ports: Vec<u16>,
    store: SocketAddr,
}

/// Ends all processes that were started.
pub fn end_all() {
    for mut child in CHILDREN.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Gateways {
    /// Starts so many gateways, each at a loopback address of its own, and waits until they are ready.
    pub fn start(count: u8, store: SocketAddr) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("ryerouter-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let ports: Vec<u16> = (0..4)
            .map(|_| free_port(&ip(0)))
            .collect::<io::Result<_>>()?;
        let started = Self {
            fronts: (0..count)
                .map(|number| address(&ip(number), ports[0]))
                .collect(),
            folder,
            count,
            ports,
            store,
        };
        started.start_processes(true)?;
        started.wait_until_ready()?;
        Ok(started)
    }

    /// Kills all processes at once.
    pub fn kill(&self) {
        end_all();
    }

    /// Starts the processes, at the first start of the system or a later one.
    pub fn start_processes(&self, is_first: bool) -> io::Result<()> {
        let command = command()?;
        let seeds =
            (0..self.count.min(3)).map(|number| format!("\"{}:{}\"", ip(number), self.ports[2]));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        for number in 0..self.count {
            let file = self.folder.join(format!("front-{number}.toml"));
            let settings = settings(
                &ip(number),
                number,
                &self.ports,
                &seeds,
                self.store,
                is_first,
            );
            fs::write(&file, settings)?;
            let log = self.folder.join(format!("front-{number}.log"));
            let log = File::options().create(true).append(true).open(log)?;
            let child = Command::new(&command[0])
                .args(&command[1..])
                .env_clear()
                .env("PATH", std::env::var_os("PATH").unwrap_or_default())
                .env("RYEROUTER_NODE_FILE", &file)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            CHILDREN.lock().unwrap().push(child);
        }
        Ok(())
    }

    pub fn wait_until_ready(&self) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        for number in 0..self.count {
            while !is_ready(address(&ip(number), self.ports[1])) {
                if Instant::now() > end {
                    return Err(io::Error::other("a gateway is not ready"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

/// A loopback address for each gateway of this run.
fn ip(number: u8) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{}", 1 + pid % 250, pid / 250 % 250, number + 1)
}

impl Drop for Gateways {
    fn drop(&mut self) {
        end_all();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The words of the command that runs the role.
fn command() -> io::Result<Vec<String>> {
    let text = fs::read_to_string(Path::new(DEPLOY_FILE))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let words = line.unwrap_or_default().trim_matches('"').split(' ');
    let words: Vec<_> = words.map(str::to_owned).collect();
    match Path::new(&words[0]).exists() {
        true => Ok(words),
        false => Err(io::Error::other(format!("{} is not built", words[0]))),
    }
}

fn free_port(ip: &str) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

fn address(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}")
        .parse()
        .expect("an address of numbers")
}

fn is_ready(address: SocketAddr) -> bool {
    let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let client = Client::connect(address, Duration::from_secs(1));
    let answer = client.and_then(|mut client| client.call(request));
    answer.is_ok_and(|answer| answer.head.status() == 200)
}

/// Settings as in the deploy page, with the bounds of the site.
fn settings(
    ip: &str,
    number: u8,
    ports: &[u16],
    seeds: &str,
    store: SocketAddr,
    is_first: bool,
) -> String {
    let [front, ready, control, directory] = [ports[0], ports[1], ports[2], ports[3]];
    format!(
        r#"nodeName = "front-eagle-farm-{number}"
role = "gateway"
machineClass = "front"
serves = ["front","directory","control"]
ip = "{ip}"
zone = "eagle-farm"
region = "seq"
portRange = [7340,7355]
seeds = [{seeds}]
bootstrap = {is_first}
faultCounted = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
eagle-farm = "seq"
yatala = "seq"
wacol = "seq"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
outerMs = 5000
revokeFailClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryFloor = 54
recoverS = 12
transitMs = 120
againS = 10
requireFencing = true
leaseMs = 3000
thawMs = 300
versionMs = 8000
versionAllMs = 11000
ttl_max_s = 5
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
historyS = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
    )
}
