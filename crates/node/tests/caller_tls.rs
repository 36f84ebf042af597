//! Callers over TLS.

mod support;

use std::sync::Arc;

use ryerouter_node::tls::{ClientCertificates, ServerTls, TlsPaths};
use support::{Cluster, Script, ScriptedBackEnd, granted, stream_events, test_settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};
use tokio_rustls::rustls::{ClientConfig, RootCertStore};

const HOST: &str = "node.test";

/// A directory of a certificate and its key, removed when dropped.
struct Certificate {
    directory: std::path::PathBuf,
    der: CertificateDer<'static>,
}

impl Certificate {
    fn new() -> Self {
        let signed = rcgen::generate_simple_self_signed([HOST.to_owned()]).unwrap();
        let name = format!("ryerouter-caller-tls-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(directory.join("certificate.pem"), signed.cert.pem()).unwrap();
        let key = signed.signing_key.serialize_pem();
        std::fs::write(directory.join("key.pem"), key).unwrap();
        Self {
            directory,
            der: signed.cert.der().clone(),
        }
    }

    fn server(&self) -> ServerTls {
        let paths = TlsPaths {
            certificate: self.directory.join("certificate.pem"),
            key: self.directory.join("key.pem"),
            authority: None,
        };
        ServerTls::load(paths, ClientCertificates::NotAsked, &["h2", "http/1.1"]).unwrap()
    }

    fn connector(&self) -> TlsConnector {
        let mut roots = RootCertStore::empty();
        roots.add(self.der.clone()).unwrap();
        let config = ClientConfig::builder().with_root_certificates(roots);
        TlsConnector::from(Arc::new(config.with_no_client_auth()))
    }
}

impl Drop for Certificate {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

#[tokio::test]
async fn streams_are_served_over_tls_and_plain_text_is_not() {
    let certificate = Certificate::new();
    let engine = ScriptedBackEnd::start(4, |r| Script::stream(r, &stream_events(&["a"], 0))).await;
    let mut settings = test_settings();
    settings.tls = Some(Arc::new(certificate.server()));
    let cluster = Cluster::start_with(settings, granted(), &[&engine], &[]);
    let address = cluster.node.address();
    let body = Cluster::stream_body();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n\
         authorization: Bearer test-key\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );

    let mut plain = TcpStream::connect(address).await.unwrap();
    plain.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _ = plain.read_to_end(&mut answer).await;
    assert!(!answer.starts_with(b"HTTP"), "{answer:?}");

    let stream = TcpStream::connect(address).await.unwrap();
    let name = ServerName::try_from(HOST).unwrap();
    let mut stream = certificate.connector().connect(name, stream).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    assert!(answer.contains("data: [DONE]"), "{answer}");
}
