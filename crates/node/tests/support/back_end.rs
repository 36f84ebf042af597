//! A back end that does what a test says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

use super::Script;
use super::script::{chunk_event, http_chunk, stream_bytes};

type ScriptFunction = dyn Fn(&SeenRequest) -> Script + Send + Sync;

/// A request as a back end saw it.
#[derive(Debug, Clone, Default)]
pub struct SeenRequest {
    /// Which request of this back end it is, from 0.
    pub number: usize,
    /// Which connection it came on, from 0.
    pub connection: usize,
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// Incarnation of the back end.
    pub incarnation: u64,
}

impl SeenRequest {
    pub fn attempt(&self) -> &str {
        self.header("x-attempt-id")
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A back end that answers each request with what a function of the test says.
pub struct ScriptedBackEnd {
    pub address: SocketAddr,
    seen: mpsc::UnboundedReceiver<SeenRequest>,
    permits: Arc<Semaphore>,
    closed: mpsc::UnboundedReceiver<usize>,
}

impl ScriptedBackEnd {
    pub async fn start(
        incarnation: u64,
        script: impl Fn(&SeenRequest) -> Script + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (seen_sender, seen) = mpsc::unbounded_channel();
        let (closed_sender, closed) = mpsc::unbounded_channel();
        let permits = Arc::new(Semaphore::new(0));
        let server = Server {
            incarnation,
            script: Arc::new(script),
            seen: seen_sender,
            closed: closed_sender,
            permits: permits.clone(),
        };
        tokio::spawn(server.run(listener));
        Self {
            address,
            seen,
            permits,
            closed,
        }
    }

    /// An address where nothing listens.
    pub async fn dead() -> Self {
        let mut server = Self::start(0, |_| Script::Hang).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        server.address = listener.local_addr().unwrap();
        server
    }

    /// The next request it sees.
    pub async fn next_request(&mut self) -> SeenRequest {
        self.seen.recv().await.unwrap()
    }

    /// A request it has seen and the test has not taken yet.
    pub fn seen_request(&mut self) -> Option<SeenRequest> {
        self.seen.try_recv().ok()
    }

    /// The next connection that its peer closes.
    pub async fn next_closed_connection(&mut self) -> usize {
        self.closed.recv().await.unwrap()
    }

    /// Lets one waiting script go on.
    pub fn release(&self) {
        self.permits.add_permits(1);
    }
}

#[derive(Clone)]
struct Server {
    incarnation: u64,
    script: Arc<ScriptFunction>,
    seen: mpsc::UnboundedSender<SeenRequest>,
    closed: mpsc::UnboundedSender<usize>,
    permits: Arc<Semaphore>,
}

impl Server {
    async fn run(self, listener: TcpListener) {
        let numbers = Arc::new(std::sync::atomic::AtomicUsize::new(0));
        for connection in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            let server = self.clone();
            let numbers = numbers.clone();
            tokio::spawn(async move {
                server.serve(stream, connection, &numbers).await;
                let _ = server.closed.send(connection);
            });
        }
    }

    async fn serve(
        &self,
        mut stream: TcpStream,
        connection: usize,
        numbers: &std::sync::atomic::AtomicUsize,
    ) {
        let mut buffer = Vec::new();
        while let Some(mut request) = read_request(&mut stream, &mut buffer).await {
            request.number = numbers.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            request.connection = connection;
            request.incarnation = self.incarnation;
            let script = (self.script)(&request);
            let request_copy = request.clone();
            let _ = self.seen.send(request);
            if !self.play(script, &request_copy, &mut stream).await {
                return;
            }
        }
    }

    /// Whether the connection goes on.
    async fn play(&self, script: Script, request: &SeenRequest, stream: &mut TcpStream) -> bool {
        match script {
            Script::Write(bytes) => stream.write_all(&bytes).await.is_ok(),
            Script::WriteAndClose(bytes) => {
                let _ = stream.write_all(&bytes).await;
                false
            }
            Script::WriteWaitWrite(first, then) => {
                if stream.write_all(&first).await.is_err() {
                    return false;
                }
                tokio::select! {
                    permit = self.permits.acquire() => permit.unwrap().forget(),
                    () = wait_for_close(stream) => return false,
                }
                stream.write_all(&then).await.is_ok()
            }
            Script::Trickle(bytes) => {
                stream.set_nodelay(true).unwrap();
                for byte in bytes {
                    if stream.write_all(&[byte]).await.is_err() {
                        return false;
                    }
                    tokio::task::yield_now().await;
                }
                true
            }
            Script::Endless => {
                let mut bytes = stream_bytes(request, &[], false);
                for index in 0.. {
                    if stream.write_all(&bytes).await.is_err() {
                        break;
                    }
                    bytes = http_chunk(&chunk_event(index, &"x".repeat(1_000)));
                }
                false
            }
            Script::Hang => {
                wait_for_close(stream).await;
                false
            }
        }
    }
}

async fn wait_for_close(stream: &mut TcpStream) {
    let mut byte = [0];
    while matches!(stream.read(&mut byte).await, Ok(length) if length > 0) {}
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<SeenRequest> {
    let head_end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end + 4;
        }
        read_more(stream, buffer).await?;
    };
    let head = String::from_utf8(buffer.drain(..head_end).collect()).unwrap();
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let mut request = SeenRequest {
        method: first.next()?.to_owned(),
        path: first.next()?.to_owned(),
        ..SeenRequest::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            request.headers.insert(name, value.trim().to_owned());
        }
    }
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        read_more(stream, buffer).await?;
    }
    request.body = String::from_utf8(buffer.drain(..length).collect()).unwrap();
    Some(request)
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0; 4096];
    let length = stream.read(&mut bytes).await.ok()?;
    buffer.extend_from_slice(&bytes[..length]);
    (length > 0).then_some(())
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
