//! Servers of a language model, as far as the cases need them: kept parts of prompts, and streams.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::write_chunk;
use crate::server::{Call, Server, Work};
use crate::store::Store;
use crate::world::Record;

pub const MODEL: &str = "daka510000";
const MODELS: &str = "[{\"name\":\"daka510000\",\"version\":1,\"adapters\":[]}]";
const SLOTS: u32 = 32;

/// A part that a server keeps: under which text, and which part.
type Part = (String, String);

/// A request that used kept parts.
#[derive(Debug, Clone)]
pub struct Use {
    pub request: String,
    pub tenant: String,
    /// The tenant whose request made the part.
    pub maker: String,
    pub part: String,
    pub at: Duration,
}

/// All servers of the model.
pub struct Model {
    record: Arc<Record>,
    pieces: Vec<Vec<u8>>,
    pause: Duration,
    /// Kept parts of each server, and whose request made them.
    kept: Mutex<HashMap<SocketAddr, HashMap<Part, String>>>,
    /// What each server tells of the parts that it keeps.
    told: Mutex<HashMap<SocketAddr, Vec<String>>>,
    pub uses: Mutex<Vec<Use>>,
}

impl Model {
    /// A model that answers every prompt with these pieces, with a pause between them.
    pub fn new(record: &Arc<Record>, pieces: Vec<Vec<u8>>, pause: Duration) -> Arc<Self> {
        Arc::new(Self {
            record: Arc::clone(record),
            pieces,
            pause,
            kept: Mutex::default(),
            told: Mutex::default(),
            uses: Mutex::default(),
        })
    }

    pub fn start(self: &Arc<Self>, store: &Store, version: &str) -> io::Result<Arc<Server>> {
        let work: Arc<dyn Work> = Arc::clone(self) as _;
        Server::start(store, "verdict-models", version, SLOTS, MODELS, work)
    }

    /// Reads a prompt: parts are used from the first one on as long as they are kept, here or where the request says that
    /// they may be fetched from; the others are made.
    fn read_prompt(&self, server: &Server, call: &Call<'_>) {
        let field = |name: &str| call.head.get(name).unwrap_or_default().to_owned();
        let (request, tenant) = (field("ryerouter-request-id"), field("ryerouter-tenant"));
        let salt = field("ryerouter-cache-salt");
        let source = field("ryerouter-kv-fetch").parse::<SocketAddr>().ok();
        let prefix = field("ryerouter-prompt-prefix");
        let mut kept = self.kept.lock().unwrap();
        let mut is_kept_so_far = true;
        for part in prefix.split(',') {
            let (part, tokens) = part.split_once(':').unwrap_or((part, "0"));
            let part = part.to_owned();
            let key = (salt.clone(), part.clone());
            let of =
                |address: &SocketAddr| kept.get(address).and_then(|parts| parts.get(&key)).cloned();
            let maker = of(&server.address).or_else(|| of(&source?));
            is_kept_so_far &= maker.is_some();
            let maker = maker.filter(|_| is_kept_so_far);
            if let Some(maker) = &maker {
                self.record.note(&format!(
                    "{} runs {request} of {tenant} on part {part} under '{salt}', made by a request of {maker}",
                    server.id
                ));
                self.uses.lock().unwrap().push(Use {
                    request: request.clone(),
                    tenant: tenant.clone(),
                    maker: maker.clone(),
                    part: part.clone(),
                    at: self.record.elapsed(),
                });
            }
            let maker = maker.unwrap_or_else(|| tenant.clone());
            let parts = kept.entry(server.address).or_default();
            if parts.insert(key, maker).is_none() {
                let event = format!("\"{salt}\",\"{part}\",{tokens},\"{MODEL}\"");
                let mut told = self.told.lock().unwrap();
                told.entry(server.address).or_default().push(event);
            }
        }
    }
}

impl Work for Model {
    fn kept(&self, server: &Server) -> Vec<String> {
        let told = self.told.lock().unwrap();
        told.get(&server.address).cloned().unwrap_or_default()
    }

    fn run(&self, server: &Server, call: Call<'_>) -> io::Result<()> {
        self.read_prompt(server, &call);
        let id = call.head.get("ryerouter-request-id").unwrap_or_default();
        let last: usize = call
            .head
            .get("last-event-id")
            .and_then(|last| last.parse().ok())
            .unwrap_or_default();
        self.record
            .note(&format!("{} runs {id} from piece {}", server.id, last + 1));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRyerouter-Request-Id: {id}\r\n\
             Ryerouter-Server-Stamp: st.{}\r\nRyerouter-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            server.id
        );
        call.stream.write_all(head.as_bytes())?;
        for (index, piece) in self.pieces.iter().enumerate().skip(last) {
            thread::sleep(self.pause);
            if server.is_down() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let mut event = format!("id: {}\ndata: ", index + 1).into_bytes();
            event.extend(piece);
            event.extend(format!("\nevent: {}", server.version).as_bytes());
            event.extend(b"\n\n");
            write_chunk(call.stream, &event)?;
        }
        call.stream.write_all(b"0\r\n\r\n")
    }
}

/// A configuration with one service of the model and one route to it; `tenants` is a JSON list.
pub fn configuration(version: u32, timeout_ms: u32, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-verdict\",\"host\":\"jepu9.example\",\
         \"pathPrefix\":\"/verdict/\",\"kind\":\"streaming\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":800,\
         \"priority\":1,\"service\":\"verdict-models\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":true,\"gapAimMs\":200}}],\"services\":[{{\"name\":\"verdict-models\",\"healthPath\":\"/health\",\
         \"maxConns\":230,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kvCapacity\":162776,\
         \"kvTokenBytes\":327680,\"linkMbps\":550000.0,\"backups\":true,\"stride\":4,\"maxInflight\":12,\
         \"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":{tenants}}}"
    )
}
