//! The metrics of one process.

use std::time::Duration;

use hyper::StatusCode;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use ryerouter_core::dispatch::{AttemptOutcome, FinalOutcome, Refusal, ResumePoint};
use ryerouter_core::identity::PoolName;

use super::metric_list::*;
use super::{MetricDescription, RequestEnd, TRAFFIC_METRICS};

/// Upper bounds, in seconds, of the buckets of both histograms.
const BUCKETS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0,
];

/// The metrics of one process, in a registry of their own: one program may run several processes'
/// worth of nodes.
pub struct TrafficMetrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    rejected: IntCounterVec,
    duration: HistogramVec,
    first_token: HistogramVec,
    attempts: IntCounterVec,
    resumed: IntCounterVec,
    chunks: IntCounter,
    duplicates: IntCounter,
    prompt_tokens: IntCounterVec,
    cached_tokens: IntCounterVec,
    pub(crate) stream_faults: IntCounterVec,
    pub(crate) active_requests: IntGauge,
    pub(crate) cancels: IntCounter,
    pub(crate) back_end_connects: IntCounter,
    pub(crate) caller_connections: IntGauge,
    pub(crate) caller_connections_refused: IntCounter,
    pub(crate) config_version: IntGauge,
}

impl TrafficMetrics {
    /// Registers all metrics of [`TRAFFIC_METRICS`].
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            requests: counter_vec(&registry, REQUESTS),
            refusals: counter_vec(&registry, REFUSALS),
            rejected: counter_vec(&registry, REJECTED),
            duration: histogram_vec(&registry, DURATION),
            first_token: histogram_vec(&registry, FIRST_TOKEN),
            attempts: counter_vec(&registry, ATTEMPTS),
            resumed: counter_vec(&registry, RESUMED),
            chunks: counter(&registry, CHUNKS),
            duplicates: counter(&registry, DUPLICATES),
            prompt_tokens: counter_vec(&registry, PROMPT_TOKENS),
            cached_tokens: counter_vec(&registry, CACHED_TOKENS),
            stream_faults: counter_vec(&registry, STREAM_FAULTS),
            active_requests: gauge(&registry, ACTIVE),
            cancels: counter(&registry, CANCELS),
            back_end_connects: counter(&registry, CONNECTS),
            caller_connections: gauge(&registry, CALLERS),
            caller_connections_refused: counter(&registry, CALLERS_REFUSED),
            config_version: gauge(&registry, CONFIG_VERSION),
            registry,
        }
    }

    /// The registry, to which others may add.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// All metrics as text.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("writing to memory cannot fail");
        text
    }

    pub(crate) fn request_ended(&self, pool: &PoolName, end: &RequestEnd, duration: Duration) {
        let pool = pool.as_str();
        self.requests.with_label_values(&[pool, end.label()]).inc();
        let histogram = self.duration.with_label_values(&[pool]);
        histogram.observe(duration.as_secs_f64());
        if let FinalOutcome::Refused(refusal) = end.outcome() {
            self.count_refused(&refusal);
        }
    }

    /// Counts a request that was refused without having been submitted.
    pub(crate) fn count_refused_at_gate(&self, refusal: &Refusal) {
        self.count_refused(refusal);
    }

    pub(crate) fn count_rejected(&self, status: StatusCode) {
        self.rejected.with_label_values(&[status.as_str()]).inc();
    }

    pub(crate) fn first_token(&self, pool: &PoolName, waited: Duration) {
        let histogram = self.first_token.with_label_values(&[pool.as_str()]);
        histogram.observe(waited.as_secs_f64());
    }

    pub(crate) fn attempt_ended(&self, outcome: AttemptOutcome) {
        let label = match outcome {
            AttemptOutcome::Completed => "completed",
            AttemptOutcome::NotRun(_) => "not_run",
            AttemptOutcome::Broken { .. } => "broken",
            AttemptOutcome::Unknown => "unknown",
            AttemptOutcome::Cancelled => "cancelled",
        };
        self.attempts.with_label_values(&[label]).inc();
    }

    pub(crate) fn count_resumed(&self, resume: &ResumePoint) {
        let how = match resume {
            ResumePoint::SameEngine { .. } => "same_engine",
            ResumePoint::Continue { .. } => "continued",
        };
        self.resumed.with_label_values(&[how]).inc();
    }

    pub(crate) fn stream_ended(&self, chunks: u64, duplicates: u64) {
        self.chunks.inc_by(chunks);
        self.duplicates.inc_by(duplicates);
    }

    pub(crate) fn prompt_tokens(
        &self,
        pool: &PoolName,
        prompt_tokens: Option<u32>,
        cached_tokens: Option<u32>,
    ) {
        let pool = &[pool.as_str()];
        if let Some(tokens) = prompt_tokens {
            let counter = self.prompt_tokens.with_label_values(pool);
            counter.inc_by(u64::from(tokens));
        }
        if let Some(tokens) = cached_tokens {
            let counter = self.cached_tokens.with_label_values(pool);
            counter.inc_by(u64::from(tokens));
        }
    }

    fn count_refused(&self, refusal: &Refusal) {
        let reason = refusal.reason.to_string();
        let run_state = refusal.run_state.to_string();
        let labels = &[reason.as_str(), run_state.as_str()];
        self.refusals.with_label_values(labels).inc();
    }
}

impl Default for TrafficMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn description(name: &str) -> &'static MetricDescription {
    TRAFFIC_METRICS
        .iter()
        .find(|metric| metric.name == name)
        .expect("every metric is in the list")
}

fn options(name: &str) -> Opts {
    Opts::new(name, description(name).help)
}

fn register<M>(registry: &Registry, metric: prometheus::Result<M>) -> M
where
    M: prometheus::core::Collector + Clone + 'static,
{
    let metric = metric.expect("the list holds valid metrics");
    registry
        .register(Box::new(metric.clone()))
        .expect("the list holds each metric once");
    metric
}

fn counter(registry: &Registry, name: &str) -> IntCounter {
    register(registry, IntCounter::with_opts(options(name)))
}

fn gauge(registry: &Registry, name: &str) -> IntGauge {
    register(registry, IntGauge::with_opts(options(name)))
}

fn counter_vec(registry: &Registry, name: &str) -> IntCounterVec {
    let labels = description(name).labels;
    register(registry, IntCounterVec::new(options(name), labels))
}

fn histogram_vec(registry: &Registry, name: &str) -> HistogramVec {
    let labels = description(name).labels;
    let options = HistogramOpts::from(options(name)).buckets(BUCKETS.to_vec());
    register(registry, HistogramVec::new(options, labels))
}
