//! Counters and histograms.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// All metrics of a gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub requests: IntCounterVec,
    /// Attempts by how they ended.
    pub attempts: IntCounterVec,
    /// Streams that callers took up again, by who knew their software version; `refused` if nobody did.
    pub continuations: IntCounterVec,
    /// Attempts after the first of a request.
    pub retries: IntCounter,
    /// Requests beyond the limit of their tenant; there are as many labels as tenants.
    pub over_limit: IntCounterVec,
    /// Requests refused because their pool can't begin them in time, by pool and priority.
    pub overloaded: IntCounterVec,
    /// Time in milliseconds until engines have begun the work that waits, by pool.
    pub pool_wait_ms: IntGaugeVec,
    /// Retries that the budget did not allow.
    pub retries_denied: IntCounter,
    /// Prompt tokens by where they were expected: cached, fetched or read.
    pub prompt_tokens: IntCounterVec,
    /// Time from the arrival of a request to the head of its answer or its first event.
    pub first_answer_seconds: Histogram,
    /// Calls to the source and to engines by how they ended and on what connection.
    pub calls: IntCounterVec,
    /// Connections that seemed silent, by what became of it.
    pub silences: IntCounterVec,
    /// How long requests that ended unserved were held, by where.
    pub held_seconds: HistogramVec,
    /// What engines said of themselves in answers, by kind.
    pub engine_signals: IntCounterVec,
    /// Engines doubted for what other nodes told, by what became of it.
    pub engine_doubts: IntCounterVec,
    /// Requests of pools while a release goes on, by whether they went to the target version.
    pub release_requests: IntCounterVec,
    /// Orders to engines by outcome.
    pub orders: IntCounterVec,
    /// Questions to the source by kind of item, way of asking and how they ended.
    pub source_questions: IntCounterVec,
    /// Age of the list of engines when a request was sent by it.
    pub list_age_seconds: Histogram,
    /// Requests sent by a list of engines that was known to be old.
    pub sent_by_old_list: IntCounter,
    /// Answers to callers who asked for nodes, by how far away those are.
    pub callers_by_ring: IntCounterVec,
    /// Requests placed, by how far away their engines are.
    pub placements_by_distance: IntCounterVec,
    /// Version of the configuration in force.
    pub configuration_version: IntGauge,
    /// How long this node has not served yet, in milliseconds, by what it lacks.
    pub not_ready_ms: IntGaugeVec,
    /// Bytes held for callers: bodies, and answers that they have not taken yet.
    pub held_bytes: IntGauge,
    /// Requests refused because there was no memory for their body, by its length: long or short.
    pub bodies_refused: IntCounterVec,
    /// Engines in the list.
    pub engines: IntGauge,
    /// Engines with older weights than published, by reason, while this node holds the lease of orders.
    pub engines_behind: IntGaugeVec,
    /// Other nodes that are alive.
    pub peers: IntGauge,
    /// Engines that are reached only through other nodes.
    pub blocked_paths: IntGauge,
    /// Tunnels that other nodes have asked for, by answer.
    pub tunnels_served: IntCounterVec,
    /// Requests for permits of engines that withstand few refusals, by answer; `none` when no issuer has answered.
    pub permits: IntCounterVec,
    /// Requests whose engine fell for the requests that it refused.
    pub refusal_falls: IntCounter,
    /// Delay of each KV store that is slow, in milliseconds; zero while it is quick.
    pub kv_store_delay_ms: IntGaugeVec,
    /// Stages that releases entered while this node directed them.
    pub release_stages: IntCounterVec,
    /// Answers in the release of each pool, as its director last knew them.
    pub release_answers: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            requests: vector(
                &registry,
                "requests_total",
                "Requests by outcome",
                "outcome",
            ),
            attempts: vector(
                &registry,
                "attempts_total",
                "Attempts by outcome",
                "outcome",
            ),
            continuations: vector(
                &registry,
                "streams_taken_up_total",
                "Streams taken up again by who knew their software version: list, own, peer, store, record, refused",
                "known_by",
            ),
            retries: counter(&registry, "retries_total", "Attempts after the first"),
            over_limit: vector(
                &registry,
                "over_limit_total",
                "Requests beyond the limit of their tenant",
                "tenant",
            ),
            overloaded: overloaded(&registry),
            pool_wait_ms: pool_wait_ms(&registry),
            retries_denied: counter(&registry, "retries_denied_total", "Retries without budget"),
            prompt_tokens: vector(&registry, "prompt_tokens_total", "Prompt tokens", "source"),
            first_answer_seconds: histogram(
                &registry,
                "first_answer_seconds",
                "Time to the first answer",
            ),
            calls: vector_of(
                &registry,
                "calls_total",
                "Calls by outcome and connection",
                &["outcome", "connection"],
            ),
            silences: vector(
                &registry,
                "connection_silences_total",
                "Connections that seemed silent: suspected, withdrawn, confirmed",
                "verdict",
            ),
            held_seconds: held(&registry),
            engine_signals: vector(
                &registry,
                "engine_signals_total",
                "What engines said of themselves in answers",
                "kind",
            ),
            engine_doubts: vector(
                &registry,
                "engine_doubts_total",
                "Engines that several nodes could not reach: doubted, heard, lapsed",
                "verdict",
            ),
            release_requests: vector_of(
                &registry,
                "release_requests_total",
                "Requests during releases by pool and version: target or present",
                &["pool", "version"],
            ),
            orders: vector(&registry, "orders_total", "Orders by outcome", "outcome"),
            source_questions: vector(
                &registry,
                "source_questions_total",
                "Questions to the source by kind of item, way of asking and how they ended",
                "question",
            ),
            list_age_seconds: histogram(
                &registry,
                "list_age_seconds",
                "Age of the proof of the list of engines by which requests were sent",
            ),
            sent_by_old_list: counter(
                &registry,
                "sent_by_old_list_total",
                "Requests sent by a list of engines known to be old",
            ),
            callers_by_ring: vector(
                &registry,
                "callers_named_nodes_total",
                "Answers to callers who asked for nodes, by ring: zone, region, all",
                "ring",
            ),
            placements_by_distance: vector(
                &registry,
                "placements_by_distance_total",
                "Requests placed, by how far away the engine is: zone, region, remote",
                "distance",
            ),
            configuration_version: gauge(
                &registry,
                "configuration_version",
                "Configuration in force",
            ),
            not_ready_ms: not_ready_ms(&registry),
            held_bytes: gauge(
                &registry,
                "held_bytes",
                "Bytes held for callers: bodies, and answers that they have not taken yet",
            ),
            bodies_refused: vector(
                &registry,
                "bodies_refused_total",
                "Requests refused for want of memory for their body, by its length: long, short",
                "length",
            ),
            engines: gauge(&registry, "engines", "Engines in the list"),
            engines_behind: engines_behind(&registry),
            peers: gauge(&registry, "peers_alive", "Other nodes that are alive"),
            blocked_paths: gauge(
                &registry,
                "blocked_paths",
                "Engines that are reached only through other nodes",
            ),
            tunnels_served: vector(
                &registry,
                "tunnels_served_total",
                "Tunnels that other nodes have asked for, by answer",
                "answer",
            ),
            permits: vector(
                &registry,
                "permits_total",
                "Requests for permits of engines that withstand few refusals, by answer",
                "answer",
            ),
            refusal_falls: counter(
                &registry,
                "refusal_falls_total",
                "Requests whose engine fell for the requests that it refused",
            ),
            kv_store_delay_ms: kv_store_delay_ms(&registry),
            release_stages: vector_of(
                &registry,
                "release_stages_total",
                "Stages that releases entered while this node directed them",
                &["pool", "version", "stage"],
            ),
            release_answers: release_answers(&registry),
            registry,
        }
    }

    /// All metrics as text.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        // Writing to memory fails only for metrics without a name.
        let _ = TextEncoder::new().encode(&families, &mut text);
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("ryerouter_gateway")
}

fn vector(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    vector_of(registry, name, help, &[label])
}

fn vector_of(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(options(name, help), labels).expect("name is valid");
    register(registry, &metric);
    metric
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::with_opts(options(name, help)).expect("name is valid");
    register(registry, &metric);
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::with_opts(options(name, help)).expect("name is valid");
    register(registry, &metric);
    metric
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(name, help)
        .namespace("ryerouter_gateway")
        .buckets(LATENCY_BUCKETS.to_vec());
    let metric = Histogram::with_opts(options).expect("name is valid");
    register(registry, &metric);
    metric
}

fn held(registry: &Registry) -> HistogramVec {
    let help = "Time that requests were held that ended unserved";
    let options = HistogramOpts::new("held_seconds", help)
        .namespace("ryerouter_gateway")
        .buckets(LATENCY_BUCKETS.to_vec());
    let metric = HistogramVec::new(options, &["at"]).expect("name is valid");
    register(registry, &metric);
    metric
}

fn release_answers(registry: &Registry) -> IntGaugeVec {
    let help = "Answers of target and present version in a release, as its director last knew";
    let labels = ["pool", "version", "judgement"];
    let metric = IntGaugeVec::new(options("release_answers", help), &labels);
    let metric = metric.expect("name is valid");
    register(registry, &metric);
    metric
}

fn overloaded(registry: &Registry) -> IntCounterVec {
    let help = "Requests refused because their pool can't begin them in time";
    let labels = ["pool", "priority"];
    let metric = IntCounterVec::new(options("refused_overloaded_total", help), &labels);
    let metric = metric.expect("name is valid");
    register(registry, &metric);
    metric
}

fn pool_wait_ms(registry: &Registry) -> IntGaugeVec {
    let help = "Time until engines have begun the work that waits at a pool";
    let metric = IntGaugeVec::new(options("pool_wait_ms", help), &["pool"]);
    let metric = metric.expect("name is valid");
    register(registry, &metric);
    metric
}

fn kv_store_delay_ms(registry: &Registry) -> IntGaugeVec {
    let help = "Delay of first tokens by fetches from slow KV stores, in milliseconds";
    let metric = IntGaugeVec::new(options("kv_store_delay_ms", help), &["store"]);
    let metric = metric.expect("name is valid");
    register(registry, &metric);
    metric
}

fn not_ready_ms(registry: &Registry) -> IntGaugeVec {
    let help = "Time for which a node that has not served yet lacks what it needs, by what it is";
    let metric = IntGaugeVec::new(options("not_ready_ms", help), &["needs"]);
    let metric = metric.expect("name is valid");
    register(registry, &metric);
    metric
}

fn engines_behind(registry: &Registry) -> IntGaugeVec {
    let help = "Engines with older weights than published by reason, at the node that gives orders";
    let metric = IntGaugeVec::new(options("engines_behind", help), &["reason"]);
    let metric = metric.expect("name is valid");
    register(registry, &metric);
    metric
}

fn register<M: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: &M) {
    registry
        .register(Box::new(metric.clone()))
        .expect("names differ");
}
