//! Settings of a node.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ryerouter_core::identity::{DataCentreName, NodeName, RegionName, ZoneName};

use super::checked_values::CheckedValues;
use super::{
    FIELDS, Field, LimitSettings, ListenSettings, LogLevel, OperatorSettings, PeerSettings,
    PlatformSettings, SettingValue, SettingsError, TlsSettings,
};

/// Settings of a node, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Its name.
    pub name: NodeName,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its zone.
    pub zone: ZoneName,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Other nodes.
    pub peers: PeerSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Limits.
    pub limits: LimitSettings,
    /// Traffic threads.
    pub traffic_threads: usize,
    /// Files for TLS.
    pub tls: TlsSettings,
    /// Operators.
    pub operators: OperatorSettings,
    /// Least severe log lines that are written.
    pub log_level: LogLevel,
    values: BTreeMap<&'static str, SettingValue>,
}

impl NodeSettings {
    /// The fields whose values differ from those of `other`.
    pub fn changed_fields(&self, other: &Self) -> Vec<&'static Field> {
        let changed = |field: &&Field| self.values.get(field.path) != other.values.get(field.path);
        FIELDS.iter().filter(changed).collect()
    }

    pub(crate) fn build(mut values: CheckedValues) -> Result<Self, SettingsError> {
        let tls = TlsSettings::read(&mut values);
        check_listen_addresses(&mut values);
        check_body_limits(&mut values);
        let mut settings = Self {
            name: NodeName::new(values.text("name")),
            region: RegionName::new(values.text("region")),
            data_centre: DataCentreName::new(values.text("data_centre")),
            zone: ZoneName::new(values.text("zone")),
            listen: read_listen(&values),
            peers: PeerSettings {
                seeds: values.addresses("peers.seeds"),
                key_file: values.file("peers.key_file"),
            },
            platform: read_platform(&values),
            limits: LimitSettings::read(&values),
            traffic_threads: values.integer("threads.traffic") as usize,
            tls,
            operators: OperatorSettings {
                keys_file: values.file("operators.keys_file"),
            },
            log_level: LogLevel::from_word(values.text("log.level")).unwrap_or(LogLevel::Info),
            values: BTreeMap::new(),
        };
        let (values, faults) = values.into_parts();
        if !faults.is_empty() {
            return Err(SettingsError::Invalid { faults });
        }
        settings.values = values;
        Ok(settings)
    }
}

/// The address at `path`; anything when it has a fault, as the settings are refused then.
fn address(values: &CheckedValues, path: &str) -> SocketAddr {
    let anything = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    values.address(path).unwrap_or(anything)
}

fn read_listen(values: &CheckedValues) -> ListenSettings {
    ListenSettings {
        callers: address(values, "listen.callers"),
        rpc: address(values, "listen.rpc"),
        peers: address(values, "listen.peers"),
    }
}

fn read_platform(values: &CheckedValues) -> PlatformSettings {
    let milliseconds = |path| Duration::from_millis(values.integer(path));
    PlatformSettings {
        object_api: address(values, "platform.object_api"),
        machine_list: address(values, "platform.machine_list"),
        call_timeout: milliseconds("platform.call_timeout_ms"),
        watch_idle_timeout: milliseconds("platform.watch_idle_timeout_ms"),
        machine_list_interval: milliseconds("platform.machine_list_interval_ms"),
    }
}

fn check_listen_addresses(values: &mut CheckedValues) {
    let paths = ["listen.callers", "listen.rpc", "listen.peers"];
    for (index, path) in paths.iter().enumerate() {
        let Some(own) = values.address(path).filter(|own| own.port() != 0) else {
            continue;
        };
        let taken = paths[..index]
            .iter()
            .find(|other| values.address(other) == Some(own));
        if let Some(other) = taken {
            values.add_fault(path, own, &format!("is also the address of {other}"));
        }
    }
    if let Some(peers) = values.address("listen.peers")
        && peers.ip().is_unspecified()
    {
        let reason = "is told to other nodes, so it must be an address they can reach";
        values.add_fault("listen.peers", peers, reason);
    }
}

fn check_body_limits(values: &mut CheckedValues) {
    let body = values.integer("limits.body_bytes");
    let held = values.integer("limits.held_body_bytes");
    if held != 0 && held < body {
        let reason = format!("must be at least limits.body_bytes, {body}");
        values.add_fault("limits.held_body_bytes", held, &reason);
    }
}
