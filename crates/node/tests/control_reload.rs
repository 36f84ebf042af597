//! A whole node whose settings and keys change while it runs.

mod control_support;

use std::path::Path;

use control_support::{Authority, ObjectApi, TestDirectory, create_tenant, within_deadline};
use ryerouter_core::lifecycle::NodePhase;
use ryerouter_node::logging::{LevelSwitch, discarding_logger};
use ryerouter_node::process::{BoundNode, NodeProcess, SettingsSource};
use ryerouter_settings::LogLevel;
use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::configuration_service_client::ConfigurationServiceClient;
use ryerouter_wire::generated::v1::operations_service_client::OperationsServiceClient;
use ryerouter_wire::generated::v1::tenant_service_client::TenantServiceClient;
use sha2::{Digest, Sha256};
use tonic::transport::{Certificate, Channel, ClientTlsConfig};
use tonic::{Code, Request};

const RPC: &str = "ryerouter";

struct Files {
    directory: TestDirectory,
}

impl Files {
    fn new(name: &str) -> Self {
        Self {
            directory: TestDirectory::new(name),
        }
    }

    fn path(&self) -> &Path {
        self.directory.path()
    }

    fn write_settings(&self, api: &ObjectApi, more: &str) -> SettingsSource {
        let path = self.path().join("node.toml");
        let address = api.address;
        let text = format!(
            "name = \"a\"\nregion = \"r\"\ndata_centre = \"d\"\nzone = \"z\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\nrpc = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             [platform]\nobject_api = \"{address}\"\nmachine_list = \"{address}\"\n{more}"
        );
        std::fs::write(&path, text).unwrap();
        SettingsSource {
            path,
            overrides: Vec::new(),
        }
    }

    fn write_keys(&self, keys: &[(&str, &str, &str)]) {
        let entry = |(name, role, key): &(&str, &str, &str)| {
            let hash = hex::encode(Sha256::digest(key.as_bytes()));
            format!("[[operator]]\nname = \"{name}\"\nrole = \"{role}\"\nkey_sha256 = \"{hash}\"\n")
        };
        let text: String = keys.iter().map(entry).collect();
        std::fs::write(self.path().join("operators.toml"), text).unwrap();
    }
}

fn start(source: SettingsSource) -> NodeProcess {
    let settings = source.load().unwrap();
    let level = LevelSwitch::new(LogLevel::Info);
    let bound = BoundNode::bind(settings, Some(source), discarding_logger(), level);
    bound.unwrap().start().unwrap()
}

fn with_key<T>(key: &str, message: T) -> Request<T> {
    let mut request = Request::new(message);
    let value = format!("Bearer {key}").parse().unwrap();
    request.metadata_mut().insert("authorization", value);
    request
}

async fn plain_channel(node: &NodeProcess) -> Channel {
    let uri = format!("http://{}", node.rpc_address());
    Channel::from_shared(uri).unwrap().connect().await.unwrap()
}

async fn tls_channel(
    node: &NodeProcess,
    authority: &Authority,
) -> Result<Channel, tonic::transport::Error> {
    let uri = format!("https://{}", node.rpc_address());
    let tls = ClientTlsConfig::new()
        .ca_certificate(Certificate::from_pem(authority.certificate_pem()))
        .domain_name(RPC);
    let endpoint = Channel::from_shared(uri).unwrap().tls_config(tls)?;
    endpoint.connect().await
}

#[tokio::test]
async fn an_operator_may_do_what_the_role_of_the_key_allows() {
    let files = Files::new("roles");
    files.write_keys(&[("vera", "viewer", "key-v"), ("ed", "editor", "key-e")]);
    let api = ObjectApi::start().await;
    let more = "[operators]\nkeys_file = \"operators.toml\"\n";
    let more = more.replace(
        "operators.toml",
        files.path().join("operators.toml").to_str().unwrap(),
    );
    let node = start(files.write_settings(&api, &more));
    let mut tenants = TenantServiceClient::new(plain_channel(&node).await);
    let mut operations = OperationsServiceClient::new(plain_channel(&node).await);
    let create = || create_tenant("mahoe", "change-1");

    let keyless = tenants.create_tenant(create()).await.unwrap_err();
    let unknown = tenants.create_tenant(with_key("key-x", create())).await;
    let viewer = tenants.create_tenant(with_key("key-v", create())).await;
    let reload = v1::ReloadRequest {};
    let editor_reload = operations.reload(with_key("key-e", reload)).await;

    assert_eq!(keyless.code(), Code::Unauthenticated);
    assert_eq!(unknown.unwrap_err().code(), Code::Unauthenticated);
    assert_eq!(viewer.unwrap_err().code(), Code::PermissionDenied);
    assert_eq!(editor_reload.unwrap_err().code(), Code::PermissionDenied);
    assert_eq!(api.writes(), 0);
    let created = tenants.create_tenant(with_key("key-e", create())).await;
    assert!(created.is_ok(), "{created:?}");
    let changes = node.control().changes();
    let entry = changes.find(&"change-1".into()).unwrap();
    assert_eq!(entry.change.author, "ed", "the key says who it is");
    within_deadline(node.stop()).await;
}

#[tokio::test]
async fn keys_and_certificates_change_without_a_restart_and_all_or_nothing() {
    let files = Files::new("reload");
    let old = Authority::new(&files.path().join("old"));
    let new = Authority::new(&files.path().join("new"));
    files.write_keys(&[("ada", "administrator", "key-1")]);
    let api = ObjectApi::start().await;
    let settings_with = |paths: &ryerouter_node::tls::TlsPaths| {
        format!(
            "[tls.rpc]\ncertificate_file = \"{}\"\nkey_file = \"{}\"\n\
             [operators]\nkeys_file = \"{}\"\n",
            paths.certificate.display(),
            paths.key.display(),
            files.path().join("operators.toml").display(),
        )
    };
    let node = start(files.write_settings(&api, &settings_with(&old.issue("node", RPC))));
    let old_channel = tls_channel(&node, &old).await.unwrap();
    assert!(tls_channel(&node, &new).await.is_err());
    let mut operations = OperationsServiceClient::new(old_channel);

    // One file is good and one is not: neither is put in force.
    files.write_settings(&api, &settings_with(&new.issue("node", RPC)));
    std::fs::write(
        files.path().join("operators.toml"),
        "[[operator]]\nname = 7\n",
    )
    .unwrap();
    let reload = with_key("key-1", v1::ReloadRequest {});
    let refused = operations.reload(reload).await.unwrap_err();
    assert_eq!(refused.code(), Code::FailedPrecondition);
    assert!(tls_channel(&node, &old).await.is_ok());
    assert!(tls_channel(&node, &new).await.is_err());

    files.write_keys(&[("ada", "administrator", "key-2")]);
    let reload = with_key("key-1", v1::ReloadRequest {});
    let report = operations.reload(reload).await.unwrap().into_inner();
    assert_eq!(
        report.changed_settings,
        ["tls.rpc.certificate_file", "tls.rpc.key_file"]
    );
    assert!(tls_channel(&node, &old).await.is_err());
    assert!(tls_channel(&node, &new).await.is_ok());
    let former_key = with_key("key-1", v1::StatusRequest {});
    let refused = operations.status(former_key).await.unwrap_err();
    assert_eq!(refused.code(), Code::Unauthenticated);
    let new_key = with_key("key-2", v1::StatusRequest {});
    // The connection opened with the old certificate goes on.
    assert!(operations.status(new_key).await.is_ok());
    drop(operations);
    within_deadline(node.stop()).await;
}

#[tokio::test]
async fn a_reload_tells_what_differs_from_what_runs() {
    let files = Files::new("restart-needed");
    let api = ObjectApi::start().await;
    let node = start(files.write_settings(&api, ""));
    let overridden = |more: &str| files.write_settings(&api, more);

    overridden("[limits]\nconnections = 7\n[log]\nlevel = \"debug\"\n");
    let first = node.reload().unwrap();
    let again = node.reload().unwrap();
    overridden("");
    let back = node.reload().unwrap();

    assert_eq!(first.changed, ["log.level"]);
    assert_eq!(first.restart_needed, ["limits.connections"]);
    assert!(again.changed.is_empty());
    assert_eq!(again.restart_needed, ["limits.connections"]);
    assert_eq!(back.changed, ["log.level"]);
    assert!(back.restart_needed.is_empty());
    within_deadline(node.stop()).await;
}

#[tokio::test]
async fn a_planned_stop_ends_watches_and_then_the_node() {
    let files = Files::new("stop-watch");
    let api = ObjectApi::start().await;
    let node = start(files.write_settings(&api, ""));
    let mut configuration = ConfigurationServiceClient::new(plain_channel(&node).await);
    let request = v1::WatchRequest { after_version: 0 };
    let mut watch = configuration.watch(request).await.unwrap().into_inner();
    let mut phases = node.control().phases();

    let stopping = tokio::spawn(node.stop());
    let told = within_deadline(watch.message()).await.unwrap_err();

    assert_eq!(told.code(), Code::Unavailable);
    drop((watch, configuration));
    let report = within_deadline(stopping).await.unwrap();
    assert!(!report.operator_calls_cut);
    let phase = *phases.borrow_and_update();
    assert_eq!(phase, NodePhase::Stopped);
}
