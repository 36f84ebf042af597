//! TLS between nodes and towards operators, and keys that change while the process runs.

mod control_support;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use control_support::{
    Authority, Fault, ObjectApi, TestDirectory, TestNode, TestNodeOptions, create_tenant,
    until_counted, within_deadline,
};
use ryerouter_node::peer::PeerTls;
use ryerouter_node::tls::{ClientCertificates, ClientTls, ServerTls, TlsPaths};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::rustls::pki_types::ServerName;

const PEER: &str = "ryerouter-peer";

fn server_tls(paths: &TlsPaths) -> Arc<ServerTls> {
    let tls = ServerTls::load(paths.clone(), ClientCertificates::Required, &[]);
    Arc::new(tls.unwrap())
}

fn client_tls(paths: &TlsPaths) -> Arc<ClientTls> {
    let name = ServerName::try_from(PEER).unwrap();
    Arc::new(ClientTls::load(paths.clone(), name).unwrap())
}

fn peer_tls(paths: &TlsPaths) -> PeerTls {
    PeerTls {
        server: server_tls(paths),
        client: client_tls(paths),
    }
}

/// Opens a connection and waits for what the other side says to the certificate shown: with TLS 1.3
/// a refusal comes with the first read.
async fn try_connection(address: SocketAddr, client: &ClientTls) -> io::Result<usize> {
    let stream = TcpStream::connect(address).await?;
    let mut stream = client.connect(stream).await?;
    stream.read(&mut [0; 1]).await
}

/// Accepts one connection after another, closing each that passes the handshake.
async fn close_accepted(tls: Arc<ServerTls>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            if let Ok(mut stream) = tls.accept(stream).await {
                let _ = tokio::io::AsyncWriteExt::shutdown(&mut stream).await;
            }
        }
    });
    address
}

#[tokio::test]
async fn nodes_that_trust_each_other_spread_the_configuration() {
    let directory = TestDirectory::new("tls-trust");
    let authority = Authority::new(directory.path());
    let api = ObjectApi::start().await;
    let dead_api = ObjectApi::start().await;
    dead_api.set_fault(Fault::Down);
    let options = TestNodeOptions::new("a", api.address);
    let first = TestNode::start(options.peer_tls(peer_tls(&authority.issue("a", PEER))));
    first.until_serving().await;
    let request = create_tenant("mahoe", "change-1");
    first.tenants().await.create_tenant(request).await.unwrap();

    let options = TestNodeOptions::new("b", dead_api.address)
        .zone("zone-b")
        .seeds(&[first.control.peer_address()]);
    let second = TestNode::start(options.peer_tls(peer_tls(&authority.issue("b", PEER))));

    second.until_version(1).await;
    assert_eq!(first.metrics.handshakes_failed.get(), 0);
}

#[tokio::test]
async fn a_peer_of_another_authority_is_refused() {
    let directory = TestDirectory::new("tls-stranger");
    let own = Authority::new(&directory.path().join("own"));
    let other = Authority::new(&directory.path().join("other"));
    let api = ObjectApi::start().await;
    let options = TestNodeOptions::new("a", api.address);
    let node = TestNode::start(options.peer_tls(peer_tls(&own.issue("a", PEER))));
    let address = node.control.peer_address();
    let stranger = TlsPaths {
        // It trusts the node, so that the node's refusal is what ends the connection.
        authority: Some(own.certificate_path()),
        ..other.issue("stranger", PEER)
    };

    let refused = within_deadline(try_connection(address, &client_tls(&stranger))).await;

    assert!(refused.is_err(), "{refused:?}");
    within_deadline(until_counted(&node.metrics.handshakes_failed)).await;
}

#[tokio::test]
async fn a_node_refuses_a_server_of_another_authority_or_name() {
    let directory = TestDirectory::new("tls-impostor");
    let own = Authority::new(&directory.path().join("own"));
    let other = Authority::new(&directory.path().join("other"));
    let node = client_tls(&own.issue("node", PEER));
    let impostor = close_accepted(server_tls(&other.issue("impostor", PEER))).await;
    let misnamed = close_accepted(server_tls(&own.issue("misnamed", "elsewhere"))).await;

    let to_impostor = within_deadline(try_connection(impostor, &node)).await;
    let to_misnamed = within_deadline(try_connection(misnamed, &node)).await;

    assert_eq!(to_impostor.unwrap_err().kind(), io::ErrorKind::InvalidData);
    assert_eq!(to_misnamed.unwrap_err().kind(), io::ErrorKind::InvalidData);
}

#[tokio::test]
async fn a_replaced_certificate_is_shown_to_new_connections_only() {
    let directory = TestDirectory::new("tls-replaced");
    let old = Authority::new(&directory.path().join("old"));
    let new = Authority::new(&directory.path().join("new"));
    let tls = server_tls(&old.issue("node", PEER));
    let address = close_accepted(tls.clone()).await;
    let old_peer = client_tls(&old.issue("peer", PEER));
    let new_peer = client_tls(&new.issue("peer", PEER));
    assert!(
        within_deadline(try_connection(address, &old_peer))
            .await
            .is_ok()
    );
    assert!(
        within_deadline(try_connection(address, &new_peer))
            .await
            .is_err()
    );

    let loaded = tls.read_again(new.issue("node", PEER)).unwrap();
    assert!(
        within_deadline(try_connection(address, &old_peer))
            .await
            .is_ok()
    );
    loaded.put_in_force();

    assert!(
        within_deadline(try_connection(address, &old_peer))
            .await
            .is_err()
    );
    assert!(
        within_deadline(try_connection(address, &new_peer))
            .await
            .is_ok()
    );
}

#[tokio::test]
async fn broken_files_are_refused_without_telling_what_they_hold() {
    let directory = TestDirectory::new("tls-broken");
    let authority = Authority::new(directory.path());
    let good = authority.issue("node", PEER);
    let other = authority.issue("other", PEER);
    let tls = server_tls(&good);
    let secret = std::fs::read_to_string(&good.key).unwrap();
    std::fs::write(
        directory.path().join("garbage.key"),
        &secret[..secret.len() / 2],
    )
    .unwrap();
    let broken = [
        ("missing.key", "No such file"),
        ("garbage.key", "PEM"),
        ("other.key", "cannot be used"),
    ];
    assert!(other.key.ends_with("other.key"));

    for (key, reason) in broken {
        let paths = TlsPaths {
            key: directory.path().join(key),
            ..good.clone()
        };
        let error = tls.read_again(paths).err().unwrap().to_string();
        assert!(error.contains(reason), "{error}");
        for line in secret.lines() {
            assert!(!error.contains(line), "{error}");
        }
    }
}
