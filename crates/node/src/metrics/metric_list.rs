//! All metrics of the traffic side.

use super::MetricKind::{Counter, Gauge, Histogram};
use super::{MetricDescription, MetricKind};

pub(super) const REQUESTS: &str = "ryerouter_requests_total";
pub(super) const REFUSALS: &str = "ryerouter_refusals_total";
pub(super) const REJECTED: &str = "ryerouter_rejected_requests_total";
pub(super) const ACTIVE: &str = "ryerouter_active_requests";
pub(super) const DURATION: &str = "ryerouter_request_duration_seconds";
pub(super) const FIRST_TOKEN: &str = "ryerouter_time_to_first_token_seconds";
pub(super) const ATTEMPTS: &str = "ryerouter_attempts_total";
pub(super) const RESUMED: &str = "ryerouter_streams_resumed_total";
pub(super) const STREAM_FAULTS: &str = "ryerouter_stream_faults_total";
pub(super) const CHUNKS: &str = "ryerouter_stream_chunks_total";
pub(super) const DUPLICATES: &str = "ryerouter_stream_duplicate_chunks_total";
pub(super) const PROMPT_TOKENS: &str = "ryerouter_prompt_tokens_total";
pub(super) const CACHED_TOKENS: &str = "ryerouter_cached_prompt_tokens_total";
pub(super) const CANCELS: &str = "ryerouter_cancels_total";
pub(super) const CONNECTS: &str = "ryerouter_back_end_connections_opened_total";
pub(super) const CALLERS: &str = "ryerouter_caller_connections";
pub(super) const CALLERS_REFUSED: &str = "ryerouter_caller_connections_refused_total";
pub(super) const CONFIG_VERSION: &str = "ryerouter_config_version";

/// All metrics of the traffic side.
///
/// Labels are bounded: pools by the configuration, all others by the program.
pub const TRAFFIC_METRICS: &[MetricDescription] = &[
    metric(
        REQUESTS,
        Counter,
        &["pool", "outcome"],
        "Requests ended, by outcome: completed, refused, cancelled.",
    ),
    metric(
        REFUSALS,
        Counter,
        &["reason", "run_state"],
        "Requests refused, by reason and by whether they ran.",
    ),
    metric(
        REJECTED,
        Counter,
        &["status"],
        "Requests refused as malformed, unauthorised or unknown, by status.",
    ),
    metric(ACTIVE, Gauge, &[], "Requests submitted and not ended."),
    metric(
        DURATION,
        Histogram,
        &["pool"],
        "Time from the arrival of a request to its end.",
    ),
    metric(
        FIRST_TOKEN,
        Histogram,
        &["pool"],
        "Time from the arrival of a request to the first chunk of its answer.",
    ),
    metric(
        ATTEMPTS,
        Counter,
        &["outcome"],
        "Attempts ended, by outcome.",
    ),
    metric(
        RESUMED,
        Counter,
        &["how"],
        "Broken streams gone on with: same_engine or continued elsewhere.",
    ),
    metric(
        STREAM_FAULTS,
        Counter,
        &["fault"],
        "Streams of back ends that broke off, by fault.",
    ),
    metric(
        CHUNKS,
        Counter,
        &[],
        "Stream chunks delivered to callers; counted when their stream ends.",
    ),
    metric(
        DUPLICATES,
        Counter,
        &[],
        "Stream chunks dropped because they had been delivered already.",
    ),
    metric(
        PROMPT_TOKENS,
        Counter,
        &["pool"],
        "Prompt tokens, as counted by engines.",
    ),
    metric(
        CACHED_TOKENS,
        Counter,
        &["pool"],
        "Prompt tokens that engines took from their caches.",
    ),
    metric(
        CANCELS,
        Counter,
        &[],
        "Attempts cancelled at their back end.",
    ),
    metric(CONNECTS, Counter, &[], "Connections opened to back ends."),
    metric(CALLERS, Gauge, &[], "Open connections of callers."),
    metric(
        CALLERS_REFUSED,
        Counter,
        &[],
        "Connections of callers closed because there were too many.",
    ),
    metric(
        CONFIG_VERSION,
        Gauge,
        &[],
        "Version of the configuration in force.",
    ),
];

const fn metric(
    name: &'static str,
    kind: MetricKind,
    labels: &'static [&'static str],
    help: &'static str,
) -> MetricDescription {
    MetricDescription {
        name,
        kind,
        labels,
        help,
    }
}
