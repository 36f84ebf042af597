//! The link between one node and one engine, which can be cut.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 16_384;
/// Age at which a connection is reset late.
const LATE_RESET: Duration = Duration::from_millis(300);

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    Open,
    /// Nothing passes, and connections never come up.
    Silent,
    /// Connections are reset.
    Reset,
    /// Connections come up, pass nothing on, and are reset after [`LATE_RESET`].
    LateReset,
    /// Open connections live on, and new ones never come up.
    Lingering,
}

/// A proxy on loopback that stands for the link between one node and one engine.
pub struct EngineProxy {
    pub address: SocketAddr,
    engine: Cell<SocketAddr>,
    link: Cell<Link>,
    changed: Notify,
    /// Fills the backlog while the link is silent.
    filler: RefCell<Option<std::net::TcpStream>>,
    /// Connections that came up.
    pub accepted: Cell<u32>,
}

impl EngineProxy {
    pub fn start(engine: SocketAddr) -> Rc<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("address");
        socket.bind(&any.into()).expect("bind");
        socket.listen(0).expect("listen");
        socket.set_nonblocking(true).expect("non-blocking");
        let listener = TcpListener::from_std(socket.into()).expect("listener");
        let proxy = Rc::new(Self {
            address: listener.local_addr().expect("address"),
            engine: Cell::new(engine),
            link: Cell::new(Link::Open),
            changed: Notify::new(),
            filler: RefCell::default(),
            accepted: Cell::new(0),
        });
        spawn_local(Rc::clone(&proxy).accept(listener));
        proxy
    }

    /// Changes the state of the link.
    pub fn set(&self, link: Link) {
        self.link.set(link);
        self.changed.notify_waiters();
        let is_silent = matches!(link, Link::Silent | Link::Lingering);
        *self.filler.borrow_mut() = is_silent
            .then(|| std::net::TcpStream::connect(self.address).expect("room for the filler"));
    }

    /// Connections that are accepted from now on go to another address.
    pub fn redirect(&self, engine: SocketAddr) {
        self.engine.set(engine);
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let changed = self.changed.notified();
            if matches!(self.link.get(), Link::Silent | Link::Lingering) {
                changed.await;
                continue;
            }
            tokio::select! {
                biased;
                () = changed => {}
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("connection");
                    spawn_local(Rc::clone(&self).serve(stream));
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, node: TcpStream) {
        if self.link.get() == Link::Reset {
            reset(&node);
            return;
        }
        if self.link.get() == Link::LateReset {
            sleep(LATE_RESET).await;
            reset(&node);
            return;
        }
        self.accepted.set(self.accepted.get() + 1);
        let Ok(engine) = TcpStream::connect(self.engine.get()).await else {
            reset(&node);
            return;
        };
        for stream in [&node, &engine] {
            stream.set_nodelay(true).expect("no delay");
        }
        let (node_read, node_write) = node.into_split();
        let (engine_read, engine_write) = engine.into_split();
        tokio::select! {
            () = self.copy(node_read, engine_write) => {}
            () = self.copy(engine_read, node_write) => {}
        }
    }

    /// Passes bytes on until the end of the stream, or until the link is reset.
    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let changed = self.changed.notified();
            match self.link.get() {
                Link::Reset | Link::LateReset => {
                    reset(to.as_ref());
                    reset(from.as_ref());
                    return;
                }
                Link::Silent => {
                    changed.await;
                    continue;
                }
                Link::Open | Link::Lingering => {}
            }
            tokio::select! {
                biased;
                () = changed => {}
                read = from.read(&mut buffer) => match read {
                    Ok(length @ 1..) => if to.write_all(&buffer[..length]).await.is_err() {
                        return;
                    },
                    Ok(0) => return,
                    Err(_) => {
                        reset(to.as_ref());
                        return;
                    }
                },
            }
        }
    }
}

/// Makes the end of the connection a reset.
fn reset(stream: &TcpStream) {
    let linger = Some(Duration::ZERO);
    // A connection that has ended needs no reset.
    let _ = SockRef::from(stream).set_linger(linger);
}
