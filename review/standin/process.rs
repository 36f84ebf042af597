//! The project's own program as processes, started as the deploy file says.

use std::fs::{self, File};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{io, thread};

use crate::http;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const TERM: i32 = 15;

/// A node with its settings; the process ends with this value.
pub struct Node {
    pub ip: String,
    /// Port of callers, readiness, other nodes and the directory, alike on all nodes.
    pub ports: [u16; 4],
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// What the settings of all nodes share.
pub struct Deployment<'a> {
    pub root: &'a Path,
    pub folder: &'a Path,
    pub store: SocketAddr,
    pub zones: &'a [&'a str],
    pub ports: [u16; 4],
    /// Tables `limits` and `bounds`, and the line `contracts`.
    pub contracts: &'a str,
    pub limits: &'a str,
    pub bounds: &'a str,
}

impl Deployment<'_> {
    /// Starts a node at each address, in the zones in turn.
    pub fn start(&self, ips: &[String]) -> io::Result<Vec<Node>> {
        let nodes = ips.iter().enumerate();
        nodes
            .map(|(index, ip)| self.start_one(index, ip, ips))
            .collect()
    }

    /// The node at the address with this index.
    pub fn start_one(&self, index: usize, ip: &str, ips: &[String]) -> io::Result<Node> {
        let [front, ready, control, directory] = self.ports;
        let name = format!("front-{}", index + 1);
        let zone = self.zones[index % self.zones.len()];
        let zones = self
            .zones
            .iter()
            .map(|zone| format!("{zone} = \"region-1\"\n"));
        let seeds = ips.iter().take(3).map(|ip| format!("\"{ip}:{control}\""));
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"gateway\"\nmachineClass = \"front\"\n\
             serves = [\"front\",\"control\",\"directory\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"region-1\"\nseeds = [{}]\nbootstrap = true\nfaultCounted = false\n\
             discovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = 1200\n{}\n\
             [zones]\n{}\n[listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             control = \"{ip}:{control}\"\ndirectory = \"{ip}:{directory}\"\n\
             [limits]\n{}\n[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\n{}\n[platform]\naddress = \"{}\"\nform = \"objects\"\n\
             writes_per_s = 400\nreads_per_s = 2000\nhistoryS = 20\nvalue_bytes = 1048576\n\
             ttl_min_ms = 1000\n",
            seeds.collect::<Vec<_>>().join(","),
            self.contracts,
            zones.collect::<String>(),
            self.limits,
            self.bounds,
            self.store,
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("{name}.log"));
        Ok(Node {
            child: begin(self.root, &settings, &log)?,
            ip: ip.to_owned(),
            ports: self.ports,
            root: self.root.to_owned(),
            settings,
            log,
        })
    }
}

/// Starts the command of the deploy file's only role.
fn begin(root: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let deploy = fs::read_to_string(root.join("deploy/system.toml"))?;
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    let run = run.ok_or_else(|| io::Error::other("deploy file without a command"))?;
    let mut words = run.trim().trim_matches('"').split(' ');
    let program = root.join(words.next().unwrap_or_default());
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .args(words)
        .current_dir(root)
        .env("RYEROUTER_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
        .inspect(|child| note_process(settings, child))
}

/// Names the process beside its settings, so that the script ends it should this program be ended itself.
fn note_process(settings: &Path, child: &Child) {
    let Some(folder) = settings.parent() else {
        return;
    };
    let list = File::options()
        .create(true)
        .append(true)
        .open(folder.join("processes"));
    if let Ok(mut list) = list {
        let _ = writeln!(list, "{}", child.id());
    }
}

impl Node {
    pub fn front(&self) -> SocketAddr {
        self.address(self.ports[0])
    }

    pub fn directory(&self) -> SocketAddr {
        self.address(self.ports[3])
    }

    fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    pub fn is_ready(&self) -> bool {
        let asked = http::ask(self.address(self.ports[1]), "/api/ready");
        asked.is_ok_and(|answer| answer.second() == "200")
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and has not been waited for, so the id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// As the platform does when a process exceeds its memory or its grace.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts it anew, as the platform does shortly after it has ended.
    pub fn begin_again(&mut self) -> io::Result<()> {
        self.child = begin(&self.root, &self.settings, &self.log)?;
        Ok(())
    }

    /// Resident memory in kB.
    pub fn memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all nodes say that they are ready.
pub fn until_ready(nodes: &[Node], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(100));
    }
    true
}
