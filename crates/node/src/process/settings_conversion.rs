//! Settings as the parts of the process take them.

use ryerouter_core::identity::Incarnation;
use ryerouter_settings::{NodeSettings, TlsFiles};

use crate::control::ControlOptions;
use crate::platform::PlatformLimits;
use crate::tls::TlsPaths;
use crate::traffic::TrafficSettings;

pub(super) fn control_options(settings: &NodeSettings, incarnation: Incarnation) -> ControlOptions {
    let platform = &settings.platform;
    ControlOptions {
        name: settings.name.clone(),
        incarnation,
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        zone: settings.zone.clone(),
        peer_listen: settings.listen.peers,
        seeds: settings.peers.seeds.clone(),
        object_api: platform.object_api,
        machine_list: platform.machine_list,
        platform_limits: PlatformLimits {
            call_timeout: platform.call_timeout,
            watch_idle_timeout: platform.watch_idle_timeout,
            ..PlatformLimits::default()
        },
        machine_list_interval: platform.machine_list_interval,
        may_direct: true,
        // Differs between nodes and between starts: claim ids and back-offs follow from it.
        seed: rand::random(),
    }
}

pub(super) fn traffic_settings(settings: &NodeSettings) -> TrafficSettings {
    let limits = &settings.limits;
    TrafficSettings {
        listen: settings.listen.callers,
        // Set by the caller, which holds the certificates.
        tls: None,
        node: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        zone: settings.zone.clone(),
        threads: settings.traffic_threads,
        seed: rand::random(),
        max_connections: limits.connections,
        max_active_requests: limits.active_requests,
        max_body_bytes: limits.body_bytes,
        max_held_body_bytes: limits.held_body_bytes,
        max_event_bytes: limits.event_bytes,
        answer_buffer_bytes: limits.answer_buffer_bytes,
        connection_buffer_bytes: limits.connection_buffer_bytes,
        header_read_timeout: limits.header_timeout,
        body_read_timeout: limits.body_timeout,
        caller_stall_timeout: limits.caller_stall_timeout,
        connect_timeout: limits.connect_timeout,
        answer_head_timeout: limits.answer_head_timeout,
        engine_idle_timeout: limits.engine_idle_timeout,
        idle_connection_timeout: limits.idle_connection_timeout,
        idle_connections_per_back_end: limits.idle_connections_per_back_end,
        stop_connections_timeout: limits.stop_connections_timeout,
        stop_retry_after: limits.stop_retry_after,
        trace_capacity: limits.explained_requests,
    }
}

pub(super) fn tls_paths(files: &TlsFiles) -> TlsPaths {
    TlsPaths {
        certificate: files.certificate.clone(),
        key: files.key.clone(),
        authority: files.authority.clone(),
    }
}
