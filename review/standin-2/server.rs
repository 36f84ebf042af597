//! A server behind the gateways: its listener, its entry in the store and its calls other than requests.

use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head, write_json};
use crate::store::Store;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A request on its way through a server.
pub struct Call<'a> {
    pub head: &'a Head,
    pub stream: &'a mut TcpStream,
    /// Bytes that a faulty server still owes its connection.
    pub surplus: &'a mut Vec<u8>,
}

/// What a server does with requests.
pub trait Work: Send + Sync + 'static {
    fn run(&self, server: &Server, call: Call<'_>) -> io::Result<()>;

    /// The parts that the server has come to keep, in order, each as the fields of an event after its sign.
    fn kept(&self, _server: &Server) -> Vec<String> {
        Vec::new()
    }
}

/// One incarnation of a server.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub version: String,
    is_down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Starts a server of a service, with this version of its software, and enters it in the store. `models` is a JSON list.
    pub fn start(
        store: &Store,
        service: &str,
        version: &str,
        slots: u32,
        models: &str,
        work: Arc<dyn Work>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let server = Arc::new(Self {
            id: format!("i-{number:08x}"),
            address: listener.local_addr()?,
            version: version.to_owned(),
            is_down: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let accepting = Arc::clone(&server);
        let models_told = models.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_down() {
                    return;
                }
                let (server, work) = (Arc::clone(&accepting), Arc::clone(&work));
                let models = models_told.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream, work.as_ref(), &models);
                });
            }
        });
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"eagle-farm\",\"version\":\"{version}\",\
             \"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":{models},\
             \"callSeq\":0}}",
            server.address
        );
        store.put("servers", &server.id, &entry);
        Ok(server)
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Ends the server as a crash does: the system closes its connections and its listener.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which closes.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut stream: TcpStream, work: &dyn Work, models: &str) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.streams.lock().unwrap().push(stream.try_clone()?);
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut surplus = Vec::new();
        while let Some(head) = read_head(&mut reader)? {
            read_body(&mut reader, &head)?;
            let path = head
                .word(1)
                .split('?')
                .next()
                .unwrap_or_default()
                .to_owned();
            match path.as_str() {
                "/health" => {
                    let id = &self.id;
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nRyerouter-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                    );
                    io::Write::write_all(&mut stream, answer.as_bytes())?;
                }
                "/api/report" => {
                    let report = format!(
                        "{{\"stage\":\"both\",\"models\":{models},\"busy\":false,\"callSeq\":0,\"queued\":0,\
                         \"active\":0,\"kvUsed\":0,\"kvTotal\":160000,\"handles\":0}}"
                    );
                    write_json(&mut stream, 200, &report)?;
                }
                "/api/kv-events" => {
                    let since = head.word(1).split_once("since=");
                    let since = since.and_then(|(_, since)| since.parse().ok());
                    let since: usize = since.unwrap_or_default();
                    let wait = head.get("wait-ms").and_then(|wait| wait.parse().ok());
                    let end = Instant::now() + Duration::from_millis(wait.unwrap_or_default());
                    while work.kept(self).len() <= since && Instant::now() < end {
                        thread::sleep(Duration::from_millis(10));
                    }
                    let kept = work.kept(self);
                    let events = kept.iter().enumerate().skip(since);
                    let events =
                        events.map(|(index, part)| format!("[{},\"+\",{part}]", index + 1));
                    let answer = format!(
                        "{{\"bootEpoch\":1,\"nextToken\":{},\"lost\":false,\"events\":[{}]}}",
                        kept.len(),
                        events.collect::<Vec<_>>().join(",")
                    );
                    write_json(&mut stream, 200, &answer)?;
                }
                "/api/kv-list" => {
                    let kept = work.kept(self);
                    let held: Vec<_> = kept.iter().map(|part| format!("[{part}]")).collect();
                    let answer = format!(
                        "{{\"bootEpoch\":1,\"nextToken\":{},\"held\":[{}]}}",
                        kept.len(),
                        held.join(",")
                    );
                    write_json(&mut stream, 200, &answer)?;
                }
                _ if self.is_other(&head) => {
                    let id = &self.id;
                    let asked = head.get("ryerouter-request-id").unwrap_or_default();
                    let answer = format!(
                        "HTTP/1.1 421 Misdirected Request\r\nRyerouter-Request-Id: {asked}\r\n\
                         Ryerouter-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                    );
                    io::Write::write_all(&mut stream, answer.as_bytes())?;
                }
                _ => work.run(
                    self,
                    Call {
                        head: &head,
                        stream: &mut stream,
                        surplus: &mut surplus,
                    },
                )?,
            }
        }
        Ok(())
    }

    fn is_other(&self, head: &Head) -> bool {
        let expected = head.get("ryerouter-expect-instance");
        expected.is_some_and(|expected| expected != self.id)
    }
}
