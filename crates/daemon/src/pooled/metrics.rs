//! Metrics of the pooled mode.

use flamingorock_pool::traffic::MetricEvent;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Upper bounds of the latency buckets, in seconds.
const BUCKETS_S: [f64; 12] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Labels of served statements.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServedLabel {
    database: String,
    /// Role of the instance that served the statement: `primary` or `replica`.
    by: &'static str,
}

/// Labels of statements that ended with an error.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct FailedLabel {
    database: String,
    code: String,
}

fn latency_histogram() -> Histogram {
    Histogram::new(BUCKETS_S)
}

/// Counters, gauges and histograms, shared by the threads.
#[derive(Clone, Debug)]
pub struct PooledMetrics {
    served: Family<ServedLabel, Histogram, fn() -> Histogram>,
    failed: Family<FailedLabel, Counter>,
    retried: Counter,
    connections_opened: Counter,
    probes: Counter,
    /// Open sessions of callers. Set by the traffic thread.
    pub sessions: Gauge,
    /// Requests queued for a connection to an instance. Set by the traffic thread.
    pub waiting: Gauge,
    /// Version of the configuration in force, 0 if none has been read. Set by the control thread.
    pub configuration_version: Gauge,
    /// Proxies of the fleet, this one included. Set by the control thread.
    pub proxies: Gauge,
    /// Epoch of the agreed membership, 0 if none is known. Set by the control thread.
    pub membership_epoch: Gauge,
    /// Members of the agreed membership. Set by the control thread.
    pub members: Gauge,
    /// Remaining time of the permit to serve from primaries, in milliseconds; 0 if it has expired.
    /// Set by the control thread.
    pub permit_left_ms: Gauge,
    /// Calls to the store, including those that fail.
    pub store_calls: Counter,
}

impl Default for PooledMetrics {
    fn default() -> Self {
        Self {
            served: Family::new_with_constructor(latency_histogram as fn() -> Histogram),
            failed: Family::default(),
            retried: Counter::default(),
            connections_opened: Counter::default(),
            probes: Counter::default(),
            sessions: Gauge::default(),
            waiting: Gauge::default(),
            configuration_version: Gauge::default(),
            proxies: Gauge::default(),
            membership_epoch: Gauge::default(),
            members: Gauge::default(),
            permit_left_ms: Gauge::default(),
            store_calls: Counter::default(),
        }
    }
}

impl PooledMetrics {
    /// Counts an event of the traffic state machine, or adds it to a histogram.
    pub fn record(&self, event: &MetricEvent) {
        match event {
            MetricEvent::Served { database, by_primary, latency_us } => {
                let label = ServedLabel {
                    database: String::from_utf8_lossy(database).into_owned(),
                    by: if *by_primary { "primary" } else { "replica" },
                };
                self.served
                    .get_or_create(&label)
                    .observe(*latency_us as f64 / MICROSECONDS_PER_SECOND);
            }
            MetricEvent::Failed { database, code } => {
                let label = FailedLabel {
                    database: String::from_utf8_lossy(database).into_owned(),
                    code: code.to_string(),
                };
                self.failed.get_or_create(&label).inc();
            }
            MetricEvent::Retried => {
                self.retried.inc();
            }
            MetricEvent::ConnectionOpened => {
                self.connections_opened.inc();
            }
            MetricEvent::Probed => {
                self.probes.inc();
            }
        }
    }

    /// All metrics in the text format of Prometheus.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut registry = Registry::with_prefix("flamingorock_pool");
        registry.register_with_unit(
            "served",
            "Latency of served statements",
            Unit::Seconds,
            self.served.clone(),
        );
        registry.register("failed", "Statements that ended with an error", self.failed.clone());
        registry.register("retried", "Statements that were sent again", self.retried.clone());
        registry.register(
            "connections_opened",
            "Connections opened to instances",
            self.connections_opened.clone(),
        );
        registry.register("probes", "Probes of instances", self.probes.clone());
        registry.register("sessions", "Open sessions", self.sessions.clone());
        registry.register("waiting", "Requests that wait", self.waiting.clone());
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            self.configuration_version.clone(),
        );
        registry.register("proxies", "Proxies of the fleet", self.proxies.clone());
        registry.register(
            "membership_epoch",
            "Epoch of the agreed membership",
            self.membership_epoch.clone(),
        );
        registry.register("members", "Members of the agreed membership", self.members.clone());
        registry.register(
            "permit_left_ms",
            "Remaining time of the permit to serve from primaries",
            self.permit_left_ms.clone(),
        );
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        let mut output = String::new();
        // Writing to a string does not fail; an error comes from a metric's own encoder.
        if let Err(error) = text::encode(&mut output, &registry) {
            tracing::warn!(event = "metrics_unreadable", %error);
        }
        output
    }
}
