//! A proxy in front of the store whose open connections can fall silent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

#[derive(Default)]
struct Link {
    is_silent: AtomicBool,
    is_over: AtomicBool,
    /// What the node asked last on it.
    last_question: Mutex<String>,
}

/// Passes connections on; those that are silent stay open, and nothing passes any more.
pub struct Proxy {
    pub address: SocketAddr,
    links: Arc<Mutex<Vec<Arc<Link>>>>,
}

impl Proxy {
    pub fn start(address: &str, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let proxy = Self {
            address: listener.local_addr()?,
            links: Arc::default(),
        };
        let links = Arc::clone(&proxy.links);
        thread::spawn(move || {
            for node in listener.incoming().flatten() {
                let Ok(store) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (node.set_nodelay(true), store.set_nodelay(true));
                let link = Arc::new(Link::default());
                links.lock().unwrap().push(Arc::clone(&link));
                let (Ok(from_node), Ok(to_store)) = (node.try_clone(), store.try_clone()) else {
                    continue;
                };
                let asking = Arc::clone(&link);
                thread::spawn(move || pass(from_node, to_store, &asking, true));
                thread::spawn(move || pass(store, node, &link, false));
            }
        });
        Ok(proxy)
    }

    /// Silences the open connections whose last question contains all of `texts`; tells how many, and of how many.
    pub fn silence(&self, texts: &[&str]) -> (usize, usize) {
        let links = self.links.lock().unwrap();
        let open = links
            .iter()
            .filter(|link| !link.is_over.load(Ordering::Relaxed));
        let open: Vec<_> = open.collect();
        let asked = open.iter().filter(|link| {
            let question = link.last_question.lock().unwrap();
            texts.iter().all(|text| question.contains(text))
        });
        let silenced = asked.filter(|link| !link.is_silent.swap(true, Ordering::Relaxed));
        (silenced.count(), open.len())
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, link: &Link, is_asking: bool) {
    let mut bytes = vec![0; 65_536];
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        if link.is_silent.load(Ordering::Relaxed) {
            continue;
        }
        if is_asking {
            *link.last_question.lock().unwrap() = String::from_utf8_lossy(&bytes[..count]).into();
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    link.is_over.store(true, Ordering::Relaxed);
    if !link.is_silent.load(Ordering::Relaxed) {
        let _ = to.shutdown(Shutdown::Both);
    }
}
